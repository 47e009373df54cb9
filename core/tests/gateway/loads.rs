//! Patterns of load: who gets which engine, and who is refused.
//!
//! Figures are those of the engines in use: sixteen requests in a batch, 110 prompt tokens read in
//! a millisecond, a report of 6,300 shared and 2,890 own tokens, a chat of 710.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::directory::Heartbeat;
use laburnumwheel_core::gateway::directory::short_hash;
use laburnumwheel_core::gateway::fleet::Load;
use laburnumwheel_core::gateway::gossip::Demand;
use laburnumwheel_core::gateway::gossip::Observation;
use laburnumwheel_core::gateway::occupancy::Snapshot;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::refusal::Refusal;
use laburnumwheel_core::incarnation::Incarnation;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::support::START;
use crate::support::ask;
use crate::support::entry;
use crate::support::gateway;

const ENGINES: usize = 30;

/// Sends a call and returns where it went.
fn send(
    gateway: &mut Gateway,
    now: Time,
    route: &str,
    parts: &[(u64, u32)],
) -> Result<Pick, Refusal> {
    let call = ask(route, parts);
    let mut grant = gateway.admit(now, &call)?;
    let mut pick = gateway.pick(now, &call, &mut grant, &[])?;
    gateway.record_sent(now, &call, &mut grant, &mut pick);
    Ok(pick)
}

/// A report about one of many things: a common head, the thing's own part, and the call's.
fn report(thing: u64, call: u64) -> [(u64, u32); 3] {
    [(1, 2_520), (1_000 + thing, 3_780), (1_000_000 + call, 2_890)]
}

fn chat(call: u64) -> [(u64, u32); 3] {
    [(2, 103), (500 + call % 100, 69), (2_000_000 + call, 543)]
}

fn heartbeat(demands: Vec<Demand>, loads: Vec<Observation>) -> Heartbeat {
    Heartbeat {
        entry: entry("two"),
        demands,
        loads,
        prefill: Vec::new(),
        quarantine: Vec::new(),
        plans: Vec::new(),
        version: 1,
        proof_age: None,
    }
}

fn demand_of_chats(streams: u16) -> Demand {
    Demand { gateway: short_hash("two"), open: true, sensitive: streams, age_ms: 0 }
}

/// An engine of the chats' lane, and one outside of it.
fn lane_and_rest(gateway: &mut Gateway) -> (String, String) {
    let mut pick = |route: &str| {
        let call = ask(route, &[(1, 500)]);
        let mut grant = gateway.admit(START, &call).unwrap();
        gateway.pick(START, &call, &mut grant, &[]).unwrap().id
    };
    (pick("chat"), pick("report"))
}

fn snapshot(engine: &str, calls: u16, pending_prefill_ms: f32) -> Snapshot {
    let engine = Incarnation::without_start(engine).digest();
    Snapshot { engine, calls, pending_prefill_ms, interval_ms: 60.0 }
}

fn busy(gateway: &mut Gateway, now: Time, running: u16, waiting: u16) {
    let seen = |i: usize| Observation {
        replica: Incarnation::without_start(&format!("engine-{i}")).digest(),
        running,
        waiting,
        age_ms: 0,
    };
    gateway.receive(now, &heartbeat(vec![], (0..ENGINES).map(seen).collect()));
}

/// Burst of long prompts: 40 reports about each of 20 things. Read anywhere, each head would be
/// read thirty times and push the others out; at its homes it is read twice at most.
#[test]
fn reports_about_one_thing_share_two_engines_at_most() {
    let mut gateway = gateway(ENGINES);
    let mut homes: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();

    for call in 0..800 {
        let thing = call % 20;
        if let Ok(pick) = send(&mut gateway, START, "report", &report(thing, call)) {
            homes.entry(thing).or_default().insert(pick.id);
        }
    }

    assert_eq!(homes.len(), 20);
    assert!(homes.values().all(|engines| engines.len() <= 2), "{homes:?}");
}

/// All gateways must send a head to the same engine, or each of them reads it anew somewhere else.
/// They have not talked, and list the engines in another order.
#[test]
fn gateways_agree_on_homes_without_a_message() {
    let mut one = gateway(ENGINES);
    let mut two = gateway(0);
    let mut listed = crate::support::listings(ENGINES);
    listed.reverse();
    two.update_lists(START, START, listed, vec![]);

    for thing in 0..40 {
        let a = send(&mut one, START, "report", &report(thing, thing)).unwrap();
        let b = send(&mut two, START, "report", &report(thing, 100 + thing)).unwrap();
        assert_eq!(a.id, b.id, "thing {thing}");
        one.record_end(START, a.claim, laburnumwheel_core::gateway::fleet::Outcome::Answered);
        two.record_end(START, b.claim, laburnumwheel_core::gateway::fleet::Outcome::Answered);
    }
}

/// Chats beside long prompts: a chat whose engine reads a 9,000-token prompt pauses for more than
/// its 150 ms. With 60 chats in progress elsewhere, this gateway's chats go to the engines that are
/// set apart, and no report goes there.
#[test]
fn chats_and_reports_do_not_share_engines() {
    let mut gateway = gateway(ENGINES);
    let demand = Demand { gateway: short_hash("two"), open: true, sensitive: 60, age_ms: 0 };
    gateway.receive(START, &heartbeat(vec![demand], vec![]));

    let chats: BTreeSet<String> = (0..40)
        .filter_map(|call| send(&mut gateway, START, "chat", &chat(call)).ok())
        .map(|pick| pick.id)
        .collect();
    let reports: BTreeSet<String> = (0..200)
        .filter_map(|call| send(&mut gateway, START, "report", &report(call, call)).ok())
        .map(|pick| pick.id)
        .collect();

    assert!(chats.len() >= 5, "{chats:?}");
    assert!(reports.len() >= 10, "{reports:?}");
    assert!(chats.is_disjoint(&reports));
}

/// Burst of chats: six times as many in a moment. The engines set apart grow with them, but leave
/// two in five to the rest.
#[test]
fn a_burst_of_chats_takes_more_engines_but_not_all() {
    let lane = |streams: u16| {
        let mut gateway = gateway(ENGINES);
        let demand =
            Demand { gateway: short_hash("two"), open: true, sensitive: streams, age_ms: 0 };
        gateway.receive(START, &heartbeat(vec![demand], vec![]));
        let sent = (0..100).filter_map(|c| send(&mut gateway, START, "chat", &chat(c)).ok());
        sent.map(|pick| pick.id).collect::<BTreeSet<_>>().len()
    };

    let (few, many) = (lane(0), lane(2_000));

    assert!(few <= 11, "{few}");
    assert_eq!(many, ENGINES * 3 / 5);
}

/// Hot part: every second report is about one thing. Its first home fills; the second takes over
/// instead of a queue at the first.
#[test]
fn a_hot_part_spreads_over_its_two_homes() {
    let mut gateway = gateway(ENGINES);
    let mut engines: BTreeMap<String, u32> = BTreeMap::new();

    for call in 0..60 {
        if let Ok(pick) = send(&mut gateway, START, "report", &report(7, call)) {
            *engines.entry(pick.id).or_default() += 1;
        }
    }

    assert_eq!(engines.len(), 2, "{engines:?}");
    assert!(engines.values().all(|n| *n >= 5), "{engines:?}");
}

/// Overload: engines report full batches and queues of 20. A report would wait two seconds for a
/// first event that must come within 0.8, so it is refused at once; a draft, which engines admit
/// before reports, is not. Refused callers come back spread over a second, not together.
#[test]
fn in_overload_the_lowest_rank_is_refused_first_and_returns_are_spread() {
    let mut gateway = gateway(ENGINES);
    busy(&mut gateway, START, 16, 20);

    let refused: Vec<Refusal> = (0..50)
        .filter_map(|call| send(&mut gateway, START, "report", &report(call, call)).err())
        .collect();
    let drafts = (0..50)
        .filter(|call| send(&mut gateway, START, "draft", &[(9_000 + call, 1_800)]).is_ok())
        .count();

    assert!(refused.len() >= 45, "{}", refused.len());
    assert!(refused.iter().all(|r| r.reason == Reason::Overloaded && r.not_run));
    let returns: BTreeSet<u64> = refused.iter().map(|r| r.retry_after.as_millis() / 100).collect();
    assert!(returns.len() >= 8, "{returns:?}");
    assert!(drafts >= 45, "{drafts}");
}

/// A stream breaks off while engines are full, and is to go on elsewhere. Refused for load, its
/// caller would lose the events that it has; "not run" would not even be true.
#[test]
fn a_call_that_was_sent_is_not_refused_for_load() {
    let mut gateway = gateway(ENGINES);
    let call = ask("report", &report(1, 1));
    let mut grant = gateway.admit(START, &call).unwrap();
    let mut pick = gateway.pick(START, &call, &mut grant, &[]).unwrap();
    gateway.record_sent(START, &call, &mut grant, &mut pick);
    busy(&mut gateway, START + Span::millis(10), 16, 40);

    let again = gateway.pick(START + Span::millis(20), &call, &mut grant, &[]);

    assert!(again.is_ok_and(|next| next.id != pick.id));
}

/// Reports of load grow old: one that is four seconds old says nothing of now, and a gateway that
/// went by it would refuse for ever, since refusing brings no new report.
#[test]
fn an_old_report_does_not_refuse() {
    let mut gateway = gateway(ENGINES);
    busy(&mut gateway, START, 16, 40);

    let later = START + Span::secs(4);
    let sent = (0..20).filter(|c| send(&mut gateway, later, "report", &report(*c, *c)).is_ok());

    assert_eq!(sent.count(), 20);
}

/// What a gateway is told directly counts at once, and is passed on with its age.
#[test]
fn loads_are_passed_on_with_their_age() {
    let mut gateway = gateway(ENGINES);
    let pick = send(&mut gateway, START, "report", &report(1, 1)).unwrap();
    gateway.record_activity(START, &pick.claim, Some(Load { running: 9, waiting: 2, slots: 16 }));

    let young = gateway.heartbeat(START + Span::millis(300)).loads;
    let old = gateway.heartbeat(START + Span::millis(1_500)).loads;

    let told: Vec<(u16, u16, u16)> =
        young.iter().map(|s| (s.running, s.waiting, s.age_ms)).collect();
    assert_eq!(told, [(9, 2, 300)]);
    assert!(old.is_empty());
}

/// A burst of reports fills all engines outside the chats' lane. A draft ranks above reports: an
/// engine full of them stops one for it, and reads that report's prompt again. The lane has places.
#[test]
fn a_draft_takes_a_free_place_in_the_lane_before_it_stops_a_report() {
    let mut gateway = gateway(ENGINES);
    let demand = demand_of_chats(60);
    gateway.receive(START, &heartbeat(vec![demand], Vec::new()));
    let (in_lane, outside) = lane_and_rest(&mut gateway);
    let call = ask("draft", &[(9_000, 1_800)]);
    let mut grant = gateway.admit(START, &call).unwrap();
    let full = snapshot(&outside, 20, 200.0);
    let free = snapshot(&in_lane, 6, 0.0);

    let pick = gateway.pick(START, &call, &mut grant, &[full, free]).unwrap();

    assert_eq!(pick.id, in_lane);
}

/// A burst of chats fills the lane before it has grown. A chat that waits there for a place waits for
/// others as urgent as itself, longer than its objective, while engines outside have places.
#[test]
fn a_chat_that_the_lane_has_no_place_for_goes_elsewhere() {
    let mut gateway = gateway(ENGINES);
    gateway.receive(START, &heartbeat(vec![demand_of_chats(60)], Vec::new()));
    let (in_lane, outside) = lane_and_rest(&mut gateway);
    let mut pick = |calls_in_lane: u16| {
        let call = ask("chat", &chat(1));
        let mut grant = gateway.admit(START, &call).unwrap();
        let lane = snapshot(&in_lane, calls_in_lane, 0.0);
        let rest = snapshot(&outside, 6, 100.0);
        gateway.pick(START, &call, &mut grant, &[lane, rest]).unwrap().id
    };

    let (with_places, full, full_beyond) = (pick(12), pick(16), pick(22));

    assert_eq!(with_places, in_lane);
    assert_eq!(full, in_lane, "a place is free within the objective");
    assert_eq!(full_beyond, outside);
}

/// The owner of an engine outside the lane is asked too, or nothing would be known of it.
#[test]
fn a_chat_asks_for_one_engine_outside_of_the_lane() {
    let mut gateway = gateway(ENGINES);
    gateway.receive(START, &heartbeat(vec![demand_of_chats(60)], Vec::new()));
    let call = ask("chat", &chat(1));
    let grant = gateway.admit(START, &call).unwrap();

    let asked = gateway.queries(START, &call, &grant);

    assert_eq!(asked.into_values().flatten().count(), 3);
}

/// Drafts beside chats: engines of the lane have little to read, so by queues alone they are the better
/// ones for a draft as well. Each one that goes there lengthens the pauses of all chats on it.
#[test]
fn a_draft_stays_out_of_the_lane_while_others_have_places() {
    let mut gateway = gateway(ENGINES);
    gateway.receive(START, &heartbeat(vec![demand_of_chats(60)], Vec::new()));
    let (in_lane, outside) = lane_and_rest(&mut gateway);
    let call = ask("draft", &[(9_000, 1_800)]);
    let mut grant = gateway.admit(START, &call).unwrap();
    let asked = [snapshot(&outside, 12, 60.0), snapshot(&in_lane, 1, 0.0)];

    let pick = gateway.pick(START, &call, &mut grant, &asked).unwrap();

    assert_eq!(pick.id, outside);
}
