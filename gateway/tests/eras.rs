//! What answers of the store state of its life.

mod support;

use std::time::Duration;

use laburnumwheel_gateway::era::Eras;
use laburnumwheel_gateway::store::Error;

use crate::support::run;

/// Time for which nothing must happen.
const QUIET: Duration = Duration::from_millis(20);

/// One connection still reaches the life before the return: what it says is of a state that is gone.
#[test]
fn an_answer_of_an_earlier_era_is_none() {
    let eras = Eras::default();
    eras.hear(Some(b"3")).unwrap();
    eras.hear(Some(b"4")).unwrap();

    let late = eras.hear(Some(b"3"));

    assert_eq!(late, Err(Error::Outdated));
    assert_eq!(eras.newest(), Some(4));
}

/// Bytes that are no era cost the answer nothing.
#[test]
fn a_missing_or_unreadable_era_counts_as_the_one_before() {
    let eras = Eras::default();
    eras.hear(Some(b"3")).unwrap();

    for stated in [None, Some(&b""[..]), Some(b"x"), Some(b"\xff"), Some(b"-1"), Some(b"1e9")] {
        assert_eq!(eras.hear(stated), Ok(()));
    }

    assert_eq!(eras.newest(), Some(3));
}

#[test]
fn a_rise_is_told_once_and_the_first_era_is_none() {
    run(async {
        let eras = Eras::default();
        let mut rises = eras.rises();
        eras.hear(Some(b"1")).unwrap();
        let first = tokio::time::timeout(QUIET, rises.next()).await;
        eras.hear(Some(b"1")).unwrap();
        eras.hear(Some(b"2")).unwrap();

        let second = tokio::time::timeout(QUIET, rises.next()).await;
        let third = tokio::time::timeout(QUIET, rises.next()).await;

        assert!(first.is_err());
        assert_eq!(second, Ok((1, 2)));
        assert!(third.is_err());
    });
}
