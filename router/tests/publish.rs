//! Tests of the publication of configurations with lost replies, outages and concurrent changes.

mod support;

use std::time::Duration;

use laburnumwheel_core::config::Config;
use laburnumwheel_router::kv;
use laburnumwheel_router::publish;
use laburnumwheel_router::publish::Change;
use laburnumwheel_router::publish::Error;
use laburnumwheel_router::publish::Outcome;
use laburnumwheel_standin::kv::Mode;

use support::Site;

fn change(config: &Config, operation: &str, expected: Option<u64>, weight: u32) -> Change {
    let mut config = config.clone();
    config.organisations[0].weight = weight;
    Change { config, operation: operation.to_owned(), expected }
}

/// The reply to a change is lost after the write took effect. Publishing the same change again must
/// report it as accepted and must not create another version.
#[tokio::test]
async fn lost_reply_is_resolved_by_the_operation_id() {
    // Arrange
    let site = Site::start(0, 1, Duration::ZERO).await;
    let kv = kv::Client::new(site.key_value.address).expect("an address");
    let retried = change(&site.config, "mine", None, 2);

    // Act
    site.key_value.set_mode(Mode::LoseReplies);
    let lost = publish::apply(&kv, &retried).await;
    site.key_value.set_mode(Mode::Up);
    let (root, _) = publish::read_root(&kv).await.expect("a root");
    let again = publish::apply(&kv, &retried).await;

    // Assert
    assert!(matches!(lost, Err(Error::Unavailable(_) | Error::OutcomeUnknown(..))), "{lost:?}");
    let resolved = matches!(again, Ok(Outcome::Accepted(2) | Outcome::Unchanged(2)));
    assert!(resolved, "{again:?}, root {root:?}");
    assert_eq!(publish::read_root(&kv).await.expect("a root").0.version, 2);
}

/// Two operators change version 1 at the same time. One change must be accepted; the other must be
/// refused with a conflict that lists the changed entries.
#[tokio::test]
async fn concurrent_change_gets_a_conflict() {
    // Arrange
    let site = Site::start(0, 1, Duration::ZERO).await;
    let kv = kv::Client::new(site.key_value.address).expect("an address");
    let (first, second) =
        (change(&site.config, "ana", Some(1), 2), change(&site.config, "rui", Some(1), 3));

    // Act
    let results = tokio::join!(publish::apply(&kv, &first), publish::apply(&kv, &second));

    // Assert
    let conflicts: Vec<String> = [results.0, results.1]
        .into_iter()
        .filter_map(|r| match r {
            Err(Error::Conflict { expected: 1, found: 2, changed, .. }) => Some(changed),
            Ok(Outcome::Accepted(2)) => None,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(conflicts, vec!["organisation museo".to_owned()]);
}

/// During an outage of the key-value service, the error must state that nothing was accepted.
#[tokio::test]
async fn no_change_is_accepted_during_an_outage() {
    // Arrange
    let site = Site::start(0, 1, Duration::ZERO).await;
    let kv = kv::Client::new(site.key_value.address).expect("an address");
    site.key_value.set_mode(Mode::Down);

    // Act
    let result = publish::apply(&kv, &change(&site.config, "mine", None, 2)).await;

    // Assert
    assert!(matches!(result, Err(Error::Unavailable(_))), "{result:?}");
}
