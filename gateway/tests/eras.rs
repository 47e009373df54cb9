//! What answers of the store state of its life.

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

/// Time for which nothing must happen.
const QUIET: Duration = Duration::from_millis(20);

/// One connection still reaches the life before the return: what it says is of a state that is gone.
#[test]
fn an_answer_of_an_earlier_era_is_none() {
    let eras = Eras::default();
    eras.observe(Some(b"3")).unwrap();
    eras.observe(Some(b"4")).unwrap();

    let late = eras.observe(Some(b"3"));

    assert_eq!(late, Err(Error::Outdated));
    assert_eq!(eras.newest(), Some(4));
}

/// Bytes that are no era cost the answer nothing.
#[test]
fn a_missing_or_unreadable_era_counts_as_the_one_before() {
    let eras = Eras::default();
    eras.observe(Some(b"3")).unwrap();

    for stated in [None, Some(&b""[..]), Some(b"x"), Some(b"\xff"), Some(b"-1"), Some(b"1e9")] {
        assert_eq!(eras.observe(stated), Ok(()));
    }

    assert_eq!(eras.newest(), Some(3));
}

/// The store comes back from a copy while a read of several answers is on its way: the first of them are
/// of one life, the rest of the next. Taken for one state, it would be one that never was.
#[test]
fn a_read_in_which_the_store_came_back_is_none() {
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
fn a_rise_is_told_once_and_the_first_era_is_none() {
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
