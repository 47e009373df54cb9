//! Which missing entries count as lapsed in an outage of the store.

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::directory::Heartbeat;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::support::START;
use crate::support::entry;
use crate::support::gateway;
use crate::support::listing;

/// Time from a gateway's read of the store to its being taken in, over a link that is full.
const READ: Span = Span::millis(950);

fn at(ms: u64) -> Time {
    START + Span::millis(ms)
}

/// A heartbeat of a gateway that read the store `age` before it sent it.
fn heartbeat(age: Span) -> Heartbeat {
    Heartbeat {
        entry: entry("two"),
        demands: Vec::new(),
        loads: Vec::new(),
        prefill: Vec::new(),
        quarantine: Vec::new(),
        plans: Vec::new(),
        version: 1,
        proof_age: Some(age.0),
    }
}

/// Takes in what a read that was sent at `sent` and answered after `took` found of `replicas`;
/// returns those that are used although they were not found.
fn read(gateway: &mut Gateway, sent: Time, took: Span, replicas: &[&str]) -> Vec<String> {
    gateway.record_read(sent, None);
    let found = replicas.iter().map(|id| listing(id)).collect();
    gateway.update_lists(sent, sent + took, found, vec![entry("one"), entry("two")]).retained
}

/// Callers are refused for want of replicas after an outage of four seconds, although all live.
/// Links are full, so the second read, sent 1.5 s after the store is back, is taken in at 2.45 s.
/// It could not find what was written at 2 s, yet it is judged by the moment when it came.
#[test]
fn a_read_that_is_older_than_the_return_of_entries_closes_nothing() {
    let mut gateway = gateway(2);
    read(&mut gateway, at(4_000), READ, &[]);

    let kept = read(&mut gateway, at(5_500), READ, &[]);

    assert_eq!(kept, ["engine-0", "engine-1"]);
}

/// The same with the first read in several parts over a link that is full: it takes longer than
/// entries are kept, counted from when it was sent, so the whole fleet is closed by it.
#[test]
fn the_first_read_after_an_outage_closes_nothing_however_long_it_takes() {
    let mut gateway = gateway(2);

    let kept = read(&mut gateway, at(4_000), Span::millis(2_300), &[]);

    assert_eq!(kept, ["engine-0", "engine-1"]);
}

/// The store hangs for 3.3 s, and three of four leases lapse. A read that was sent 0.85 s before
/// its end is answered at its end. Counted from call to call the outage seems to last 2.45 s,
/// which is taken for none, and replicas that live are closed.
#[test]
fn an_outage_lasts_until_an_answer_comes_not_until_its_call_is_sent() {
    let mut gateway = gateway(2);

    let kept = read(&mut gateway, at(2_450), Span::millis(850), &[]);

    assert_eq!(kept, ["engine-0", "engine-1"]);
}

/// The store is out from 0.1 s to 3.4 s. A heartbeat that was sent as it went, with a fresh proof,
/// waits 0.9 s in this gateway's full link. Its proof seems younger by the wait, the outage
/// shorter, and replicas whose leases have lapsed are closed although they live.
#[test]
fn a_heartbeat_that_waited_in_a_link_hides_no_outage() {
    let mut gateway = gateway(2);
    gateway.receive(at(1_000), &heartbeat(Span(0)));

    let kept = read(&mut gateway, at(3_450), Span::millis(10), &[]);

    assert_eq!(kept, ["engine-0", "engine-1"]);
}

/// Callers get answers from a replica that left seconds before. The gateway was frozen for 3 s;
/// what peers sent meanwhile is handled when it wakes, all of it by the clock of that moment. The
/// first datagram looks like the store's first answer for 3 s, though peers read it all along.
#[test]
fn a_gateway_that_was_frozen_does_not_take_that_for_an_outage() {
    let mut gateway = gateway(2);
    for _ in 0..12 {
        gateway.receive(at(3_000), &heartbeat(Span::millis(200)));
    }

    let kept = read(&mut gateway, at(3_050), Span::millis(10), &["engine-1"]);

    assert!(kept.is_empty(), "{kept:?}");
}

/// A replica leaves during an outage, and nothing else changes for a long time. Gateways that do
/// not read the store are told "nothing has changed" from then on, which closes nothing: they send
/// calls to the replica until some other entry changes, not for the 2.2 s that are meant.
#[test]
fn a_missing_entry_that_was_kept_is_closed_in_time_although_nothing_changes() {
    let mut gateway = gateway(2);
    let back = at(4_000);
    read(&mut gateway, back, Span::millis(10), &["engine-1"]);
    for ms in (4_500..=9_000).step_by(500) {
        gateway.confirm_view(at(ms));
    }

    let usable = gateway.fleet().usable(at(9_000), "engines");

    assert_eq!(usable, 1);
}

/// After an outage two of three replicas come back, and the third had left. Gateways that do not
/// read the store are told "nothing has changed" for as long as nothing does; that is when they
/// have to close it, and not before it could have come back.
#[test]
fn a_kept_entry_is_closed_by_a_proof_that_is_young_enough() {
    let mut gateway = gateway(3);
    read(&mut gateway, at(4_000), Span::millis(10), &["engine-1"]);
    read(&mut gateway, at(5_000), Span::millis(10), &["engine-1", "engine-2"]);

    let early = gateway.confirm_view(at(6_200));
    let usable = gateway.fleet().usable(at(6_200), "engines");
    let late = gateway.confirm_view(at(6_300));

    assert!(early.is_empty(), "{early:?}");
    assert_eq!(usable, 3);
    assert_eq!(late, ["engine-0"]);
}

/// The store is out twice. What was noted of the first outage must not end the grace of the second.
#[test]
fn a_second_outage_counts_like_the_first() {
    let mut gateway = gateway(2);
    read(&mut gateway, at(4_000), Span::millis(10), &[]);

    let kept = read(&mut gateway, at(9_000), Span::millis(10), &[]);

    assert_eq!(kept, ["engine-0", "engine-1"]);
}

/// Callers of one service are refused for want of replicas after an outage of three seconds,
/// although all live. Its replicas were started together, so their leases lapsed together; those of
/// the other services did not, and more entries are listed than missing.
#[test]
fn a_service_whose_entries_all_lapsed_is_not_left_without_replicas() {
    let mut gateway = gateway(4);
    let mut both = crate::support::listings(4);
    for id in ["bid-0", "bid-1"] {
        both.push(Listing { service: "bids".to_owned(), ..listing(id) });
    }
    gateway.record_read(at(10), None);
    gateway.update_lists(at(10), at(20), both, vec![]);
    gateway.record_read(at(3_100), None);

    gateway.update_lists(at(3_100), at(3_110), crate::support::listings(4), vec![]);

    assert_eq!(gateway.fleet().usable(at(3_110), "bids"), 2);
}

/// The store goes for two seconds, is there for 0.3 s and goes again. Gateways have an answer in
/// between, few replicas renew in so short a time, and all leases lapse: no gap of answers is as
/// long as an outage, and the first list after the second one empties the fleet.
#[test]
fn two_outages_in_a_row_are_as_long_as_both() {
    let mut gateway = gateway(4);
    read(
        &mut gateway,
        at(2_100),
        Span::millis(10),
        &["engine-0", "engine-1", "engine-2", "engine-3"],
    );

    let kept = read(&mut gateway, at(4_400), Span::millis(10), &[]);

    assert_eq!(kept.len(), 4);
}
