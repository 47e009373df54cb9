//! Graceful stop: which calls a stopping gateway still serves.
//!
//! Chats are streams with a deadline of up to 15 s, drafts are calls with one of up to 3 s.

use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::submission::Submission;
use laburnumwheel_core::time::Span;

use crate::support::START;
use crate::support::gateway;
use crate::support::submission;

const ANNOUNCEMENT: Span = Span::millis(2_700);
const GRACE: Span = Span::millis(7_400);

/// A caller with an outdated list of gateways sends a chat 3.5 s after the stop began. The chat's
/// deadline is far after the end of the grace period, so its answer would be cut off in the middle
/// when the process ends.
#[test]
fn a_long_call_that_comes_late_in_a_stop_is_sent_elsewhere() {
    let mut gateway = gateway(2);
    gateway.stop(START, ANNOUNCEMENT, GRACE);
    let late = START + Span::millis(3_500);

    let refusal = gateway.admit(late, &submission("chat", &[(1, 500)])).unwrap_err();

    assert_eq!(refusal.reason, Reason::Stopping);
    assert!(refusal.not_run);
    assert!(refusal.retry_after < Span::millis(100));
}

#[test]
fn callers_that_cannot_know_of_a_stop_yet_are_served() {
    let mut gateway = gateway(2);
    gateway.stop(START, ANNOUNCEMENT, GRACE);

    let grant = gateway.admit(START + Span::millis(2_600), &submission("chat", &[(1, 500)]));

    assert!(grant.is_ok());
}

#[test]
fn a_call_that_ends_within_the_grace_period_is_served() {
    let mut gateway = gateway(2);
    gateway.stop(START, ANNOUNCEMENT, GRACE);

    let grant = gateway.admit(START + Span::millis(3_500), &submission("draft", &[(1, 500)]));

    assert!(grant.is_ok());
}

/// A chat is admitted early in a stop, but its body arrives late or its first replica refuses it
/// late. An attempt that began then would be cut off when the process ends.
#[test]
fn a_long_call_admitted_early_does_not_begin_late_in_a_stop() {
    let mut gateway = gateway(2);
    gateway.stop(START, ANNOUNCEMENT, GRACE);
    let chat = Submission { patience: Some(Span::secs(15)), ..submission("chat", &[(1, 500)]) };
    let grant = gateway.admit(START + Span::millis(2_600), &chat).unwrap();

    let early = gateway.may_begin(START + ANNOUNCEMENT, &grant);
    let late = gateway.may_begin(START + Span::millis(5_000), &grant);

    assert!(early.is_ok());
    let refusal = late.unwrap_err();
    assert_eq!(refusal.reason, Reason::Stopping);
    assert!(refusal.not_run);
}
