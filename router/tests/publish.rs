//! Accepting configurations at the key-value service: lost replies, outages, racing operators.

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

/// The reply to an operator's change is lost after the write took effect. Sending the same change
/// again tells that it was accepted, and it stands in the history once.
#[tokio::test]
async fn a_lost_reply_is_settled_by_the_operation_id() {
    // Arrange
    let site = Site::start(0, 1, Duration::ZERO).await;
    let kv = kv::Client::new(site.key_value.address).expect("an address");
    let wanted = change(&site.config, "mine", None, 2);

    // Act
    site.key_value.set_mode(Mode::LoseReplies);
    let lost = publish::apply(&kv, &wanted).await;
    site.key_value.set_mode(Mode::Up);
    let (root, _) = publish::read_root(&kv).await.expect("a root");
    let again = publish::apply(&kv, &wanted).await;

    // Assert
    assert!(matches!(lost, Err(Error::Unavailable(_) | Error::OutcomeUnknown(..))), "{lost:?}");
    let settled = matches!(again, Ok(Outcome::Accepted(2) | Outcome::Unchanged(2)));
    assert!(settled, "{again:?}, root {root:?}");
    assert_eq!(publish::read_root(&kv).await.expect("a root").0.version, 2);
}

/// Two operators edit version 1 at the same time. One is accepted; the other hears of a conflict
/// that names what the first changed, and changes nothing.
#[tokio::test]
async fn of_two_racing_operators_one_gets_a_conflict() {
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

/// The service is out: the operator hears that nothing was accepted.
#[tokio::test]
async fn an_outage_accepts_nothing() {
    // Arrange
    let site = Site::start(0, 1, Duration::ZERO).await;
    let kv = kv::Client::new(site.key_value.address).expect("an address");
    site.key_value.set_mode(Mode::Down);

    // Act
    let result = publish::apply(&kv, &change(&site.config, "mine", None, 2)).await;

    // Assert
    assert!(matches!(result, Err(Error::Unavailable(_))), "{result:?}");
}
