//! Eras that the store's responses state.

mod support;

use std::sync::Arc;
use std::time::Duration;

use laburnumwheel_gateway::era::Eras;
use laburnumwheel_gateway::store::Error;
use laburnumwheel_gateway::store::View;

use crate::support::config;
use crate::support::gateway_reading;
use crate::support::run;
use crate::support::wait_until;

/// Time to wait for an event that must not happen.
const QUIET: Duration = Duration::from_millis(20);

/// After a return of the store to an older copy, one connection still reaches the former instance,
/// whose responses describe a state that no longer exists.
#[test]
fn response_of_an_earlier_era_is_an_error() {
    let eras = Eras::default();
    eras.observe(Some(b"3")).unwrap();
    eras.observe(Some(b"4")).unwrap();

    let late = eras.observe(Some(b"3"));

    assert_eq!(late, Err(Error::Outdated));
    assert_eq!(eras.newest(), Some(4));
}

/// A response whose era is missing or malformed stays valid.
#[test]
fn missing_or_unreadable_era_counts_as_the_newest_one() {
    let eras = Eras::default();
    eras.observe(Some(b"3")).unwrap();

    for stated in [None, Some(&b""[..]), Some(b"x"), Some(b"\xff"), Some(b"-1"), Some(b"1e9")] {
        assert_eq!(eras.observe(stated), Ok(()));
    }

    assert_eq!(eras.newest(), Some(3));
}

/// The store returns to an older copy during a read of several responses. The first ones are of one
/// era and the rest of the next, so together they describe a state that never existed.
#[test]
fn read_across_a_change_of_era_is_discarded() {
    run(async {
        let read = |number: u32, eras: &Eras| {
            let era: &[u8] = if number == 1 { b"1" } else { b"2" };
            eras.observe(Some(era)).unwrap();
            let version = [1, 9, 5][number.min(3) as usize - 1];
            View { config: Some(Arc::new(config(version))), ..View::default() }
        };

        let running = gateway_reading(read).await;
        wait_until("a later version", || running.shared.gateway.borrow().version() > 1).await;

        assert_eq!(running.shared.gateway.borrow().version(), 5);
    });
}

#[test]
fn change_of_era_is_reported_once_and_the_first_era_is_not_a_change() {
    run(async {
        let eras = Eras::default();
        let mut watcher = eras.watch();
        eras.observe(Some(b"1")).unwrap();
        let first = tokio::time::timeout(QUIET, watcher.next()).await;
        eras.observe(Some(b"1")).unwrap();
        eras.observe(Some(b"2")).unwrap();

        let second = tokio::time::timeout(QUIET, watcher.next()).await;
        let third = tokio::time::timeout(QUIET, watcher.next()).await;

        assert!(first.is_err());
        assert_eq!(second, Ok((1, 2)));
        assert!(third.is_err());
    });
}
