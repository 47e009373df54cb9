//! A revoked key is honoured for a bounded time only.

use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::time::Span;

use crate::support::START;
use crate::support::gateway;
use crate::support::submission;

/// A gateway is cut off from the store, and an operator takes a key away. The gateway can't hear
/// of it; it must stop to honour keys before the bound has passed since its last sound read.
#[test]
fn a_gateway_that_is_cut_off_stops_to_honour_keys() {
    let mut gateway = gateway(3);
    let call = submission("report", &[]);

    let young = gateway.admit(START + Span::millis(4_400), &call);
    let old = gateway.admit(START + Span::millis(4_600), &call).unwrap_err();

    assert!(young.is_ok());
    assert_eq!(old.reason, Reason::StaleConfiguration);
    assert!(old.not_run);
}

/// A call is admitted with a young proof and then waits, for its body or for a connection, while
/// the host is suspended. Right before it leaves for a replica the proof is too old.
#[test]
fn the_proof_is_looked_at_again_before_a_call_leaves() {
    let mut gateway = gateway(3);
    let call = submission("report", &[]);
    let mut grant = gateway.admit(START + Span::secs(4), &call).unwrap();

    let refusal = gateway.recheck(START + Span::secs(5), &call, &mut grant).unwrap_err();

    assert_eq!(refusal.reason, Reason::StaleConfiguration);
}

/// A peer's proof that covers the same view counts from when the question was sent less its age;
/// an older one never makes a younger one older.
#[test]
fn a_peers_proof_ages_from_the_peers_own_read() {
    let mut gateway = gateway(3);
    let asked = START + Span::secs(3);
    let age = Span::secs(1);

    gateway.confirm_view(asked - age);
    gateway.confirm_view(asked - Span::secs(2));

    assert_eq!(gateway.proved_at(), Some(START + Span::secs(2)));
    assert!(gateway.admit(START + Span::millis(6_400), &submission("report", &[])).is_ok());
    assert!(gateway.admit(START + Span::millis(6_600), &submission("report", &[])).is_err());
}

/// A route is added while a gateway is cut off. It knows no such route, but neither does it know
/// that there is none; a caller who hears "not found" never comes back.
#[test]
fn a_gateway_that_is_cut_off_does_not_deny_a_route() {
    let mut gateway = gateway(3);
    let call = submission("added-since", &[]);

    let young = gateway.admit(START + Span::secs(1), &call).unwrap_err();
    let old = gateway.admit(START + Span::secs(6), &call).unwrap_err();

    assert_eq!(young.reason, Reason::NoRoute);
    assert_eq!(old.reason, Reason::StaleConfiguration);
    assert!(old.retry_after > Span(0));
}
