//! A revoked key is accepted for a bounded time only.

use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::time::Span;

use crate::support::START;
use crate::support::gateway;
use crate::support::submission;

/// A gateway is partitioned from the store while an operator revokes a key. The gateway cannot read
/// the change, so it must stop accepting keys before its last valid read is too old.
#[test]
fn a_partitioned_gateway_stops_accepting_keys() {
    let mut gateway = gateway(3);
    let call = submission("report", &[]);

    let recent = gateway.admit(START + Span::millis(4_400), &call);
    let stale = gateway.admit(START + Span::millis(4_600), &call).unwrap_err();

    assert!(recent.is_ok());
    assert_eq!(stale.reason, Reason::StaleConfiguration);
    assert!(stale.not_run);
}

/// A call is admitted with a recent proof and then waits for its body or a connection while the
/// host is suspended. When it is to be sent to a replica, the proof is too old.
#[test]
fn the_proof_is_checked_again_before_an_attempt() {
    let mut gateway = gateway(3);
    let call = submission("report", &[]);
    let mut grant = gateway.admit(START + Span::secs(4), &call).unwrap();

    let refusal = gateway.recheck(START + Span::secs(5), &call, &mut grant).unwrap_err();

    assert_eq!(refusal.reason, Reason::StaleConfiguration);
}

/// A peer's proof of the same view counts like a read that was sent at the time of the proof
/// request, minus the age that the peer states. An older proof never replaces a newer one.
#[test]
fn a_peers_proof_ages_from_the_peers_read() {
    let mut gateway = gateway(3);
    let requested = START + Span::secs(3);
    let age = Span::secs(1);

    gateway.confirm_view(requested - age);
    gateway.confirm_view(requested - Span::secs(2));

    assert_eq!(gateway.proved_at(), Some(START + Span::secs(2)));
    assert!(gateway.admit(START + Span::millis(6_400), &submission("report", &[])).is_ok());
    assert!(gateway.admit(START + Span::millis(6_600), &submission("report", &[])).is_err());
}

/// A route is added while a gateway is partitioned. The gateway must not deny the route, because
/// its configuration is stale and a caller does not retry after "not found".
#[test]
fn a_partitioned_gateway_does_not_deny_a_route() {
    let mut gateway = gateway(3);
    let call = submission("added-since", &[]);

    let recent = gateway.admit(START + Span::secs(1), &call).unwrap_err();
    let stale = gateway.admit(START + Span::secs(6), &call).unwrap_err();

    assert_eq!(recent.reason, Reason::NoRoute);
    assert_eq!(stale.reason, Reason::StaleConfiguration);
    assert!(stale.retry_after > Span(0));
}
