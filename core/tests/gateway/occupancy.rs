//! Ledgers of engines: a burst of long prompts over many gateways.
//!
//! Figures are those of the engines in use: sixteen places, a report of 2,890 own tokens that
//! takes 26 ms to read, and its objective of 800 ms for the first event.

use std::collections::BTreeSet;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::directory::Heartbeat;
use laburnumwheel_core::gateway::directory::short_hash;
use laburnumwheel_core::gateway::gossip::Demand;
use laburnumwheel_core::gateway::gossip::Observation;
use laburnumwheel_core::gateway::occupancy::Change;
use laburnumwheel_core::gateway::occupancy::Occupancy;
use laburnumwheel_core::gateway::occupancy::Snapshot;
use laburnumwheel_core::gateway::occupancy::Update;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::refusal::Refusal;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::incarnation::Incarnation;
use laburnumwheel_core::time::Span;

use crate::support::START;
use crate::support::ask;
use crate::support::entry;
use crate::support::gateway;

const ENGINE: Digest = Digest(7);
const SETTLED: Span = Span::secs(2);

fn update(call: u64, change: Change) -> Update {
    Update { engine: ENGINE, call, change }
}

fn report(thing: u64) -> [(u64, u32); 3] {
    [(1, 2_520), (1_000 + thing, 3_780), (1_000_000 + thing, 2_890)]
}

/// What the owners of all of a report's engines say.
fn snapshots(gateway: &mut Gateway, calls: u16, pending_prefill_ms: f32) -> Vec<Snapshot> {
    let call = ask("report", &report(1));
    let grant = gateway.admit(START, &call).unwrap();
    let asked = gateway.queries(START, &call, &grant);
    let engines = asked.into_values().flatten();
    engines
        .map(|engine| Snapshot { engine, calls, pending_prefill_ms, interval_ms: 60.0 })
        .collect()
}

fn pick(gateway: &mut Gateway, snapshots: &[Snapshot]) -> Result<Pick, Refusal> {
    let call = ask("report", &report(1));
    let mut grant = gateway.admit(START, &call).unwrap();
    gateway.pick(START, &call, &mut grant, snapshots)
}

/// Reports of all engines, as heard from a peer just now.
fn all_busy(gateway: &mut Gateway, engines: usize, running: u16, waiting: u16) {
    let replica = |i: usize| Incarnation::without_start(&format!("engine-{i}")).digest();
    let sighting = |i: usize| Observation { replica: replica(i), running, waiting, age_ms: 0 };
    let loads = (0..engines).map(sighting).collect();
    let heartbeat = Heartbeat {
        entry: entry("two"),
        demands: Vec::new(),
        loads,
        prefill: Vec::new(),
        quarantine: Vec::new(),
        plans: Vec::new(),
        version: 1,
        proof_age: None,
    };
    gateway.receive(START, &heartbeat);
}

fn live(gateway: &mut Gateway, names: &[&str]) {
    for name in names {
        let demand = Demand { gateway: short_hash(name), open: true, sensitive: 0, age_ms: 0 };
        let heartbeat = Heartbeat {
            entry: entry(name),
            demands: vec![demand],
            loads: Vec::new(),
            prefill: Vec::new(),
            quarantine: Vec::new(),
            plans: Vec::new(),
            version: 1,
            proof_age: None,
        };
        gateway.receive(START, &heartbeat);
    }
}

#[test]
fn a_keeper_counts_calls_until_they_end_and_prompts_until_they_are_read() {
    let mut occupancy = Occupancy::default();
    occupancy.record(START, &update(1, Change::Sent(26.0)));
    occupancy.record(START, &update(2, Change::Sent(40.0)));
    occupancy.record(START, &update(1, Change::FirstEvent));

    let both = occupancy.snapshot(START + SETTLED, ENGINE).unwrap();
    occupancy.record(START + SETTLED, &update(1, Change::Ended));
    let one = occupancy.snapshot(START + SETTLED, ENGINE).unwrap();

    assert_eq!((both.calls, both.pending_prefill_ms), (2, 40.0));
    assert_eq!((one.calls, one.pending_prefill_ms), (1, 40.0));
}

/// An owner dies in a burst. The next one has seen none of the calls at the engine, and would call
/// a full engine empty; all gateways would send there at once.
#[test]
fn a_keeper_that_has_just_begun_says_nothing() {
    let mut occupancy = Occupancy::default();
    occupancy.record(START, &update(1, Change::Sent(26.0)));

    assert_eq!(occupancy.snapshot(START + Span::millis(200), ENGINE), None);
}

/// A gateway loses power with calls at an engine. Nobody tells the owner that they have ended, and
/// the engine would look full for ever.
#[test]
fn calls_of_a_gateway_that_is_gone_count_no_longer() {
    let mut occupancy = Occupancy::default();
    let of = |gateway: &str| u64::from(short_hash(gateway)) << 32;
    occupancy.record(START, &update(of("gone") | 1, Change::Sent(26.0)));
    occupancy.record(START, &update(of("alive") | 1, Change::Sent(26.0)));

    occupancy.retain_gateways(|gateway| gateway == short_hash("alive"));

    assert_eq!(occupancy.snapshot(START + SETTLED, ENGINE).unwrap().calls, 1);
}

#[test]
fn a_call_whose_end_was_lost_on_the_way_counts_only_for_a_while() {
    let mut occupancy = Occupancy::default();
    occupancy.record(START, &update(1, Change::Sent(26.0)));

    assert_eq!(occupancy.snapshot(START + Span::secs(16), ENGINE).unwrap().calls, 0);
}

/// In a burst of reports all gateways see the same old loads, refuse together, and then send
/// together: engines are overrun and idle by turns. What the owner says goes before the reports.
#[test]
fn a_free_engine_gets_a_report_although_all_reports_say_that_it_is_full() {
    let mut gateway = gateway(10);
    all_busy(&mut gateway, 10, 16, 20);
    let free = snapshots(&mut gateway, 3, 30.0);

    let pick = pick(&mut gateway, &free).unwrap();

    assert!(pick.claim.from_snapshot);
    assert!(pick.claim.expected_ms < 200.0);
}

#[test]
fn a_report_is_refused_where_all_its_engines_are_full_although_reports_say_they_are_free() {
    let mut gateway = gateway(10);
    all_busy(&mut gateway, 10, 2, 0);
    let full = snapshots(&mut gateway, 32, 900.0);

    let refusal = pick(&mut gateway, &full).unwrap_err();

    assert_eq!(refusal.reason, Reason::Overloaded);
    assert!(refusal.not_run);
}

#[test]
fn a_report_goes_to_the_home_with_the_shorter_queue() {
    let mut gateway = gateway(10);
    let mut asked = snapshots(&mut gateway, 16, 300.0);
    asked[1].calls = 4;
    asked[1].pending_prefill_ms = 20.0;

    let pick = pick(&mut gateway, &asked).unwrap();

    let hash = Incarnation::without_start(&pick.id).digest();
    assert_eq!(hash, asked[1].engine);
}

/// A chat waits for its first event less than an objective of 200 ms; a full engine of its lane
/// would make it late.
#[test]
fn a_chat_goes_to_the_engine_of_its_lane_that_has_places() {
    let mut gateway = gateway(10);
    let call = ask("chat", &[(2, 103), (500, 69), (2_000_000, 543)]);
    let mut grant = gateway.admit(START, &call).unwrap();
    let asked = gateway.queries(START, &call, &grant).into_values().flatten();
    let snapshot = |(i, engine)| {
        let calls = if i == 0 { 16 } else { 4 };
        Snapshot { engine, calls, pending_prefill_ms: 0.0, interval_ms: 60.0 }
    };
    let asked: Vec<Snapshot> = asked.enumerate().map(snapshot).collect();

    let pick = gateway.pick(START, &call, &mut grant, &asked).unwrap();

    let hash = Incarnation::without_start(&pick.id).digest();
    assert_eq!(asked.len(), 2);
    assert_eq!(hash, asked[1].engine);
}

#[test]
fn engines_are_spread_over_the_gateways_that_live() {
    let mut gateway = gateway(60);
    live(&mut gateway, &["two", "three", "four"]);

    let owners: BTreeSet<Option<String>> = (0..40)
        .flat_map(|thing| {
            let call = ask("report", &report(thing));
            let grant = gateway.admit(START, &call).unwrap();
            gateway.queries(START, &call, &grant).into_keys()
        })
        .collect();
    let later = START + Span::secs(5);
    let call = ask("report", &report(1));
    let grant = gateway.admit(START, &call).unwrap();
    let alone = gateway.queries(later, &call, &grant);

    assert_eq!(owners.len(), 4);
    assert!(alone.keys().all(Option::is_none));
}

/// Each end is told once, whatever way a call ends, so that no occupancy grows for ever.
#[test]
fn what_a_call_does_is_told_in_order() {
    let mut gateway = gateway(10);
    live(&mut gateway, &["two", "three", "four"]);
    let call = ask("report", &report(1));
    let mut grant = gateway.admit(START, &call).unwrap();
    let mut pick = gateway.pick(START, &call, &mut grant, &[]).unwrap();

    gateway.record_sent(START, &call, &mut grant, &mut pick);
    gateway.record_first_event(START, &mut pick.claim);
    gateway.record_first_event(START, &mut pick.claim);
    let outcome = laburnumwheel_core::gateway::fleet::Outcome::Cancelled;
    gateway.record_end(START, pick.claim, outcome);
    let mut told = gateway.drain_updates(START).into_values().flatten().map(|n| n.change);

    // A gateway that keeps the engine itself has nothing to tell.
    if let Some(first) = told.next() {
        assert!(matches!(first, Change::Sent(ms) if ms > 20.0));
        assert_eq!(told.collect::<Vec<_>>(), [Change::FirstEvent, Change::Ended]);
    }
    assert!(gateway.drain_updates(START).is_empty());
}
