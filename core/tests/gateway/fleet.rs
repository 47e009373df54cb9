//! Tests which replicas may get calls.

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::directory::Heartbeat;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::support::START;
use crate::support::entry;
use crate::support::gateway;
use crate::support::listing;
use crate::support::listings;
use crate::support::submission;

/// Id of the replica that a call would go to.
fn chosen(gateway: &mut Gateway, now: Time) -> Option<String> {
    let call = submission("report", &[]);
    let mut grant = gateway.admit(now, &call).ok()?;
    gateway.pick(now, &call, &mut grant, &[]).ok().map(|pick| pick.id)
}

/// Heartbeat of a gateway that read the store `age` ago.
fn heartbeat(name: &str, age: Span) -> Heartbeat {
    Heartbeat {
        entry: entry(name),
        demands: Vec::new(),
        loads: Vec::new(),
        prefill: Vec::new(),
        quarantine: Vec::new(),
        plans: Vec::new(),
        version: 1,
        proof_age: Some(age.0),
    }
}

#[test]
fn a_replica_marked_as_leaving_gets_no_new_calls() {
    let mut gateway = gateway(2);
    let mut leaving = listings(2);
    leaving[0].leaving = true;

    let changes = gateway.update_lists(START, START, leaving, vec![]);

    assert_eq!(changes.closed, ["engine-0"]);
    assert_eq!(chosen(&mut gateway, START).as_deref(), Some("engine-1"));
}

/// Some replicas are never marked as leaving: their entry is removed, and they serve on for a
/// while.
#[test]
fn a_replica_whose_entry_is_missing_gets_no_new_calls() {
    let mut gateway = gateway(2);

    gateway.update_lists(
        START + Span::millis(600),
        START + Span::millis(600),
        vec![listing("engine-1")],
        vec![],
    );

    assert_eq!(chosen(&mut gateway, START).as_deref(), Some("engine-1"));
}

/// On a busy link, reads of the store lie 2.6 s apart. Only heartbeats of other gateways show that
/// the store was available meanwhile.
#[test]
fn slow_reads_are_no_outage_while_other_gateways_read() {
    let mut gateway = gateway(2);
    for ms in (500..=2_500).step_by(500) {
        let now = START + Span::millis(ms);
        gateway.receive(now, &heartbeat("two", Span::millis(200)));
    }
    let sent = START + Span::millis(2_600);
    gateway.record_read(sent, None);
    let now = sent + Span::millis(950);

    let changes = gateway.update_lists(
        sent,
        now,
        vec![listing("engine-1")],
        vec![entry("one"), entry("two")],
    );

    assert_eq!(changes.closed, ["engine-0"]);
    assert_eq!(chosen(&mut gateway, now).as_deref(), Some("engine-1"));
}

/// The store is back after an outage, and another gateway reads it first. Its heartbeat has a
/// recent proof before this gateway's own list arrives, and that list lacks replicas that are
/// running.
#[test]
fn a_heartbeat_after_an_outage_does_not_hide_the_outage() {
    let mut gateway = gateway(2);
    let back = START + Span::secs(4);
    gateway.receive(back, &heartbeat("two", Span(0)));
    let now = back + Span::millis(500);
    gateway.record_read(now, None);

    let changes = gateway.update_lists(now, now, vec![], vec![entry("one"), entry("two")]);

    assert_eq!(changes.retained, ["engine-0", "engine-1"]);
    assert!(chosen(&mut gateway, now).is_some());
}

/// A replica leaves while this gateway's link is busy, so that the list without it arrives 2.6 s
/// after the last one. Taken for an outage of the store, the delay would keep the replica in use.
/// Heartbeats show that other gateways have read the store meanwhile, so that no lease can have
/// expired.
#[test]
fn a_late_list_is_no_outage_while_other_gateways_read() {
    let mut gateway = gateway(2);
    for ms in (500..=2_500).step_by(500) {
        let now = START + Span::millis(ms);
        gateway.receive(now, &heartbeat("two", Span::millis(200)));
    }
    let now = START + Span::millis(2_600);
    let sent = START + Span::millis(1_700);
    gateway.record_read(sent, None);

    let changes = gateway.update_lists(
        sent,
        now,
        vec![listing("engine-1")],
        vec![entry("one"), entry("two")],
    );

    assert_eq!(changes.closed, ["engine-0"]);
    assert_eq!(chosen(&mut gateway, now).as_deref(), Some("engine-1"));
}

/// The store is out for seconds, and leases expire meanwhile. When it is back, most entries are
/// missing for a moment although their replicas run; applied as it is, the list would empty the
/// fleet.
#[test]
fn replicas_missing_after_an_outage_are_retained_for_a_while() {
    let mut gateway = gateway(3);
    let back = START + Span::secs(4);
    gateway.record_read(back, None);

    gateway.update_lists(back, back, vec![], vec![]);
    let at_once = chosen(&mut gateway, back);
    gateway.update_lists(
        back + Span::millis(2_300),
        back + Span::millis(2_300),
        vec![listing("engine-2")],
        vec![],
    );
    let later = chosen(&mut gateway, back + Span::millis(2_300));

    assert!(at_once.is_some());
    assert_eq!(later.as_deref(), Some("engine-2"));
}

/// Another writer has made the entry of a replica unreadable. After an outage of the store,
/// replicas with missing entries are retained; one with an unreadable entry is not, because its
/// entry exists.
#[test]
fn a_replica_with_an_unreadable_entry_is_closed_even_after_an_outage() {
    let mut gateway = gateway(3);
    let back = START + Span::secs(4);
    gateway.record_read(back, None);

    let changes = gateway.update_lists(back, back, vec![Listing::unreadable("engine-0")], vec![]);
    let used = gateway.fleet().usable(back, "engines");
    let whole = back + Span::millis(500);
    gateway.update_lists(whole, whole, listings(3), vec![]);

    assert_eq!(changes.closed, ["engine-0"]);
    assert_eq!(changes.retained, ["engine-1", "engine-2"]);
    assert_eq!(used, 2);
    assert_eq!(gateway.fleet().usable(whole, "engines"), 3);
}

#[test]
fn an_unreadable_entry_of_an_unknown_replica_is_ignored() {
    let mut gateway = gateway(1);
    let mut listed = listings(1);
    listed.push(Listing::unreadable("stray"));

    let changes = gateway.update_lists(START, START, listed, vec![]);

    assert!(changes.added.is_empty() && changes.closed.is_empty());
    assert_eq!(gateway.fleet().iter().count(), 1);
}

/// An address is reused for a replica of another service. The first call detects it, and no further
/// call goes to the address until it is listed again.
#[test]
fn a_replica_replaced_at_its_address_gets_no_more_calls() {
    let mut gateway = gateway(2);
    let call = submission("report", &[]);
    let mut grant = gateway.admit(START, &call).unwrap();
    let mut pick = gateway.pick(START, &call, &mut grant, &[]).unwrap();
    gateway.record_sent(START, &call, &mut grant, &mut pick);

    gateway.record_end(START, pick.claim, Outcome::Replaced);

    let next: Vec<Option<String>> = (0..5).map(|_| chosen(&mut gateway, START)).collect();
    assert!(next.iter().all(|id| id.as_ref().is_some_and(|id| *id != pick.id)));
}

/// A host becomes unreachable: connections to it hang, and each call that tries it misses its
/// objective. After a failed connection the replica is in backoff, which grows until one succeeds.
#[test]
fn an_unreachable_replica_is_in_backoff() {
    let mut gateway = gateway(2);
    let call = submission("report", &[]);
    let mut grant = gateway.admit(START, &call).unwrap();
    let first = gateway.pick(START, &call, &mut grant, &[]).unwrap();
    gateway.record_unsent(START, &mut grant, first.claim.replica, Outcome::Unreachable);

    let usable = |ms: u64| gateway.fleet().usable(START + Span::millis(ms), "engines");

    assert_eq!((usable(100), usable(500)), (1, 2));
    let at_once = chosen(&mut gateway, START + Span::millis(100));
    assert!(at_once.is_some_and(|id| id != first.id));
}

#[test]
fn without_a_replica_a_call_is_refused_with_a_time_to_retry() {
    let mut gateway = gateway(0);
    let call = submission("report", &[]);
    let mut grant = gateway.admit(START, &call).unwrap();

    let refusal = gateway.pick(START, &call, &mut grant, &[]).unwrap_err();

    assert_eq!(refusal.reason, Reason::NoReplica);
    assert!(refusal.not_run && refusal.retry_after > Span(0));
}

#[test]
fn a_gateway_is_not_among_its_own_peers() {
    let mut gateway = gateway(1);

    gateway.update_lists(START, START, listings(1), vec![entry("one"), entry("two")]);

    assert_eq!(gateway.peer_addresses(), ["two:2"]);
}
