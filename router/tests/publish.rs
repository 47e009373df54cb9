//! Tests of the publication of configurations with lost replies, outages and concurrent changes.

mod support;

use std::time::Duration;

use laburnumwheel_core::config::Config;
use laburnumwheel_core::sync::ROOT_KEY;
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

/// Guards against a malformed root of another writer ending the program that publishes a change, or being
/// replaced by it: a version that is too large would wrap to an earlier one, which no router takes.
#[tokio::test]
async fn change_of_a_malformed_root_is_refused() {
    // Arrange
    let site = Site::start(0, 1, Duration::ZERO).await;
    let kv = kv::Client::new(site.key_value.address).expect("an address");
    let (root, _) = publish::read_root(&kv).await.expect("a root");
    let readable = serde_json::to_string(&root).expect("a text");
    let with_version = |version: &str| {
        let text = format!("\"version\":{}", root.version);
        readable.replacen(&text, &format!("\"version\":{version}"), 1)
    };
    let nested = "[".repeat(100_000);
    let mut malformed =
        vec![String::new(), "null".to_owned(), nested.clone(), with_version(&nested)];
    malformed.push(readable[..readable.len() / 2].to_owned());
    for version in ["18446744073709551615", "18446744073709551616", "-1", "1e400", "1.5", "null"] {
        malformed.push(with_version(version));
    }

    for value in malformed {
        // Act
        kv.put(ROOT_KEY, value.clone().into()).await.expect("an answer");
        let result = publish::apply(&kv, &change(&site.config, "mine", None, 2)).await;

        // Assert
        assert!(matches!(result, Err(Error::MalformedRoot(_))), "{value:.90}: {result:?}");
        let (stored, _) = kv.get(ROOT_KEY).await.expect("an answer").expect("a root");
        assert_eq!(stored, value.as_bytes());
    }

    kv.put(ROOT_KEY, readable.into()).await.expect("an answer");
    let accepted = publish::apply(&kv, &change(&site.config, "mine", None, 2)).await;
    assert!(matches!(accepted, Ok(Outcome::Accepted(2))), "{accepted:?}");
}
