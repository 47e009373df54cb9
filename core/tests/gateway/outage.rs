//! Missing entries of live replicas after an outage of the store.

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::directory;
use laburnumwheel_core::gateway::directory::Heartbeat;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::gossip::Demand;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::support::START;
use crate::support::entry;
use crate::support::gateway;
use crate::support::listing;
use crate::support::settings;

/// Time from sending a read of the store to receiving its result over a saturated link.
const READ_TIME: Span = Span::millis(950);

fn at(ms: u64) -> Time {
    START + Span::millis(ms)
}

/// A heartbeat of a gateway whose read of the store is `age` old.
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

/// Applies a read that was sent at `sent`, received after `took` and found `replicas`; returns the
/// replicas that are retained although they are missing.
fn read(gateway: &mut Gateway, sent: Time, took: Span, replicas: &[&str]) -> Vec<String> {
    gateway.record_read(sent, None);
    let found = replicas.iter().map(|id| listing(id)).collect();
    gateway.update_lists(sent, sent + took, found, vec![entry("one"), entry("two")]).retained
}

/// After an outage of 4 s all replicas live. Links are saturated, so the second read is sent 1.5 s
/// after the end of the outage and received 2.45 s after it. It cannot find entries that were
/// written after 2 s, so it must not close replicas by the time at which it was received.
#[test]
fn a_read_sent_before_entries_are_written_again_closes_nothing() {
    let mut gateway = gateway(2);
    read(&mut gateway, at(4_000), READ_TIME, &[]);

    let retained = read(&mut gateway, at(5_500), READ_TIME, &[]);

    assert_eq!(retained, ["engine-0", "engine-1"]);
}

/// The first read after an outage comes in several parts over a saturated link. It takes longer
/// than missing entries are retained, and must still not close the whole fleet.
#[test]
fn a_slow_first_read_after_an_outage_closes_nothing() {
    let mut gateway = gateway(2);

    let retained = read(&mut gateway, at(4_000), Span::millis(2_300), &[]);

    assert_eq!(retained, ["engine-0", "engine-1"]);
}

/// The store hangs for 3.3 s, and three of four leases expire. A read that was sent 0.85 s before
/// the end is answered at the end. Counted until that read was sent, the outage would last 2.45 s,
/// too short to be detected, and live replicas would be closed.
#[test]
fn an_outage_lasts_until_a_reply_is_received() {
    let mut gateway = gateway(2);

    let retained = read(&mut gateway, at(2_450), Span::millis(850), &[]);

    assert_eq!(retained, ["engine-0", "engine-1"]);
}

/// The store is down from 0.1 s to 3.4 s. A heartbeat with a recent proof, sent when the outage
/// began, waits 0.9 s in this gateway's saturated link. If its proof counted, the outage would seem
/// shorter by the wait, and live replicas with expired leases would be closed.
#[test]
fn a_delayed_heartbeat_hides_no_outage() {
    let mut gateway = gateway(2);
    gateway.receive(at(1_000), &heartbeat(Span(0)));

    let retained = read(&mut gateway, at(3_450), Span::millis(10), &[]);

    assert_eq!(retained, ["engine-0", "engine-1"]);
}

/// A gateway is paused for 3 s and then handles the peers' heartbeats of that time at once. They
/// must not look like the first reply after an outage of the store, or calls go to a replica that
/// left seconds before.
#[test]
fn a_paused_gateway_does_not_detect_an_outage() {
    let mut gateway = gateway(2);
    for _ in 0..12 {
        gateway.receive(at(3_000), &heartbeat(Span::millis(200)));
    }

    let retained = read(&mut gateway, at(3_050), Span::millis(10), &["engine-1"]);

    assert!(retained.is_empty(), "{retained:?}");
}

/// A replica leaves during an outage, and nothing else changes for a long time. Gateways that do
/// not read the store themselves only get proofs that nothing has changed. These have to close the
/// replica after 2.2 s, or calls are sent there until any other entry changes.
#[test]
fn a_retained_replica_is_closed_in_time_although_nothing_changes() {
    let mut gateway = gateway(2);
    let outage_end = at(4_000);
    read(&mut gateway, outage_end, Span::millis(10), &["engine-1"]);
    for ms in (4_500..=9_000).step_by(500) {
        gateway.confirm_view(at(ms));
    }

    let usable = gateway.fleet().usable(at(9_000), "engines");

    assert_eq!(usable, 1);
}

/// After an outage two of three replicas are listed again, and the third has left. Proofs that
/// nothing has changed close it once it had the time to be listed again, not before.
#[test]
fn a_retained_replica_is_closed_by_a_recent_enough_proof() {
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

/// Two outages follow one another. The state left from the first must not shorten the time in which
/// entries are retained after the second.
#[test]
fn a_second_outage_counts_like_the_first() {
    let mut gateway = gateway(2);
    read(&mut gateway, at(4_000), Span::millis(10), &[]);

    let retained = read(&mut gateway, at(9_000), Span::millis(10), &[]);

    assert_eq!(retained, ["engine-0", "engine-1"]);
}

/// The replicas of one service were started together, so their leases expire together in an outage
/// of 3 s. Those of other services do not, so that more entries are listed than missing overall.
/// The service must not lose all of its replicas.
#[test]
fn a_service_whose_entries_all_expired_keeps_its_replicas() {
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

/// The store is down for 2 s, up for 0.3 s and down again. Gateways get a reply in between, but few
/// replicas renew their leases in so short a time, so all leases expire. No time without a reply is
/// long enough for an outage, and the next list must still not close the whole fleet.
#[test]
fn two_short_outages_in_a_row_count_as_one() {
    let mut gateway = gateway(4);
    read(
        &mut gateway,
        at(2_100),
        Span::millis(10),
        &["engine-0", "engine-1", "engine-2", "engine-3"],
    );

    let retained = read(&mut gateway, at(4_400), Span::millis(10), &[]);

    assert_eq!(retained.len(), 4);
}

/// The store is slow for a second, so no gateway has a fresh proof. If all of a large fleet then
/// read it, none of the reads ends in time, and the fleet refuses its callers for good. A small
/// fleet may read at once, and so may a gateway that knows no other or has long had no answer.
#[test]
fn few_gateways_of_a_large_fleet_read_the_store_without_a_fresh_proof() {
    let mut gateway = Gateway::new(settings("own"), START);
    let alone = gateway.fallback_probability(11_000, 0);
    for name in (0..984).map(|i| format!("gateway-{i}")) {
        let gateway_hash = directory::short_hash(&name);
        let demand = Demand { gateway: gateway_hash, open: true, sensitive: 0, age_ms: 0 };
        let entry = entry(&name);
        let heartbeat = Heartbeat { entry, demands: vec![demand], ..heartbeat(Span(0)) };
        gateway.receive(START, &heartbeat);
    }

    let reads_in = |round| 985.0 * gateway.fallback_probability(11_000, round);

    assert_eq!(alone, 1.0);
    assert!((1.0..10.0).contains(&reads_in(0)), "{}", reads_in(0));
    assert!(reads_in(3) < 40.0, "{}", reads_in(3));
    assert_eq!(gateway.fallback_probability(11_000, 8), 1.0);
    assert_eq!(gateway.fallback_probability(400, 0), 1.0);
}
