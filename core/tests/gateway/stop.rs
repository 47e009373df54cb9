//! A planned stop: what a gateway that leaves still takes.

use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::submission::Submission;
use laburnumwheel_core::time::Span;

use crate::support::START;
use crate::support::gateway;
use crate::support::submission;

const LEARNED: Span = Span::millis(2_700);
const GRACE: Span = Span::millis(7_400);

/// A bidder's chat was cut in the middle of an answer during a planned stop. Its caller had an old
/// answer of the directory and asked 3.5 s after the signal; the gateway took the call although
/// its time limit lay far behind the end of the grace time, and the process ended under it.
#[test]
fn a_long_call_that_comes_late_in_a_stop_is_sent_elsewhere() {
    let mut gateway = gateway(2);
    gateway.stop(START, LEARNED, GRACE);
    let late = START + Span::millis(3_500);

    let refusal = gateway.admit(late, &submission("chat", &[(1, 500)])).unwrap_err();

    assert_eq!(refusal.reason, Reason::Stopping);
    assert!(refusal.not_run);
    assert!(refusal.retry_after < Span::millis(100));
}

#[test]
fn callers_who_can_not_know_of_a_stop_yet_are_served() {
    let mut gateway = gateway(2);
    gateway.stop(START, LEARNED, GRACE);

    let grant = gateway.admit(START + Span::millis(2_600), &submission("chat", &[(1, 500)]));

    assert!(grant.is_ok());
}

#[test]
fn a_call_that_fits_into_what_is_left_of_a_stop_is_served() {
    let mut gateway = gateway(2);
    gateway.stop(START, LEARNED, GRACE);

    let grant = gateway.admit(START + Span::millis(3_500), &submission("draft", &[(1, 500)]));

    assert!(grant.is_ok());
}

/// A chat came early in a stop, and its body late, or its first replica refused it late. Sent on
/// now it would be cut off with the process.
#[test]
fn a_long_call_that_was_admitted_early_does_not_begin_late_in_a_stop() {
    let mut gateway = gateway(2);
    gateway.stop(START, LEARNED, GRACE);
    let chat = Submission { patience: Some(Span::secs(15)), ..submission("chat", &[(1, 500)]) };
    let grant = gateway.admit(START + Span::millis(2_600), &chat).unwrap();

    let soon = gateway.may_begin(START + LEARNED, &grant);
    let late = gateway.may_begin(START + Span::millis(5_000), &grant);

    assert!(soon.is_ok());
    let refusal = late.unwrap_err();
    assert_eq!(refusal.reason, Reason::Stopping);
    assert!(refusal.not_run);
}
