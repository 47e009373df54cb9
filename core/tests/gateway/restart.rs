//! Replicas that start again under the identity that they had.

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::directory::Heartbeat;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::fleet::Load;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::gossip::Observation;
use laburnumwheel_core::gateway::occupancy::Change;
use laburnumwheel_core::gateway::occupancy::Update;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::incarnation::Incarnation;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::support::START;
use crate::support::entry;
use crate::support::gateway;
use crate::support::listing;
use crate::support::submission;

const ID: &str = "engine-0";
/// Start of the first life, in Unix milliseconds, and of the one after it.
const FIRST: u64 = 1_764_700_000_000;
const SECOND: u64 = FIRST + 90_000;
/// A long shared head and a call's own part.
const PARTS: [(u64, u32); 2] = [(1, 6_300), (2, 2_890)];

fn life(born: u64) -> Listing {
    Listing { incarnation: Incarnation::new(ID, born), ..listing(ID) }
}

fn digest(born: u64) -> Digest {
    Incarnation::new(ID, born).digest()
}

fn list(gateway: &mut Gateway, now: Time, listings: Vec<Listing>) -> Vec<String> {
    gateway.update_lists(now, now, listings, vec![]).replaced
}

/// A gateway before a single engine in its first life.
fn before(born: u64) -> Gateway {
    let mut gateway = gateway(0);
    list(&mut gateway, START, vec![life(born)]);
    gateway
}

fn pick(gateway: &mut Gateway, now: Time) -> (Grant, Pick) {
    let call = submission("report", &PARTS);
    let mut grant = gateway.admit(now, &call).unwrap();
    let picked = gateway.pick(now, &call, &mut grant, &[]).ok();
    // Refused for load or not, it says what the engine was taken to have.
    let pick = picked.or(grant.last_pick.clone()).unwrap();
    (grant, pick)
}

fn send(gateway: &mut Gateway, now: Time) -> Pick {
    let call = submission("report", &PARTS);
    let (mut grant, mut pick) = pick(gateway, now);
    gateway.record_sent(now, &call, &mut grant, &mut pick);
    pick
}

fn gossip(gateway: &mut Gateway, now: Time, replica: Digest) {
    let loads = vec![Observation { replica, running: 16, waiting: 30, age_ms: 0 }];
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
    gateway.receive(now, &heartbeat);
}

/// What a call would find at the engine, as far as the gateway knows.
fn seen(gateway: &mut Gateway, now: Time) -> (f64, f64, Option<Span>) {
    let (_, pick) = pick(gateway, now);
    (pick.claim.load, pick.claim.waiting, pick.claim.report_age)
}

const NOTHING: (f64, f64, Option<Span>) = (0.0, 0.0, None);

/// Long prompts are late at an engine that has just restarted, and short ones are refused as if it
/// were full. It keeps its identity over the restart, and the gateway takes it for the one that had
/// the prompts cached and the calls running, for as long as the old facts last.
#[test]
fn all_that_was_learnt_goes_with_the_life_it_was_learnt_of() {
    let mut gateway = before(FIRST);
    let mut running = send(&mut gateway, START);
    gateway.record_first_event(START, &mut running.claim);
    gateway.record_activity(
        START,
        &running.claim,
        Some(Load { running: 16, waiting: 30, slots: 16 }),
    );
    let known = pick(&mut gateway, START).1.claim;

    let replaced = list(&mut gateway, START, vec![life(SECOND)]);

    let now = pick(&mut gateway, START).1.claim;
    assert_eq!(replaced, [ID]);
    assert!(known.load > 16.0 && known.prefill_ms < 60.0);
    assert_eq!(seen(&mut gateway, START), NOTHING);
    assert_ne!(now.replica, known.replica);
    assert_eq!(gateway.fleet().iter().map(|r| r.own_calls()).collect::<Vec<_>>(), [0]);
    assert_eq!(gateway.fleet().sensitive_streams(), 0);
    assert_eq!(gateway.time_until_silent(START, &running.claim), Span(0));
}

/// An engine fails and can't be reached until it restarts. Marked as resting, failing and leaving
/// for what its former life did, it stands idle beside those that are overloaded.
#[test]
fn rest_failures_and_drain_marks_end_with_the_life() {
    let mut gateway = before(FIRST);
    let (mut grant, first) = pick(&mut gateway, START);
    gateway.record_unsent(START, &mut grant, first.claim.replica, Outcome::Unreachable);
    let resting = gateway.fleet().usable(START, "engines");
    list(&mut gateway, START, vec![Listing { leaving: true, ..life(FIRST) }]);

    list(&mut gateway, START, vec![life(SECOND)]);

    assert_eq!(resting, 0);
    assert_eq!(gateway.fleet().usable(START, "engines"), 1);
    assert!(!grant.tried.contains(&pick(&mut gateway, START).1.claim.replica));
}

/// The caller of a long answer leaves, and the gateway notes the end of a call that a former life
/// ran. Counted against the life that is there now, its load would be one too low for ever, and
/// its occupancy would lose a call that runs.
#[test]
fn late_events_of_a_former_life_change_nothing_of_the_next() {
    let mut gateway = before(FIRST);
    let mut former = send(&mut gateway, START);
    list(&mut gateway, START, vec![life(SECOND)]);
    send(&mut gateway, START);
    let before = seen(&mut gateway, START);

    gateway.record_first_event(START, &mut former.claim);
    gateway.record_activity(START, &former.claim, Some(Load { running: 9, waiting: 9, slots: 16 }));
    gateway.record_end(START, former.claim, Outcome::Replaced);

    assert_eq!(seen(&mut gateway, START), before);
    assert_eq!(gateway.fleet().iter().map(|r| r.own_calls()).collect::<Vec<_>>(), [1]);
    assert_eq!(gateway.fleet().usable(START, "engines"), 1);
}

/// Heartbeats pass loads on for more than a second. After a restart they speak of the former life,
/// and a gateway that believes them finds the empty engine full.
#[test]
fn late_gossip_of_a_former_life_is_not_believed() {
    let mut gateway = before(FIRST);
    list(&mut gateway, START, vec![life(SECOND)]);

    gossip(&mut gateway, START, digest(FIRST));
    let after_former = seen(&mut gateway, START);
    gossip(&mut gateway, START, digest(SECOND));

    assert_eq!(after_former, NOTHING);
    assert_eq!(seen(&mut gateway, START).0, 46.0);
    assert!(gateway.heartbeat(START).loads.iter().all(|s| s.replica == digest(SECOND)));
}

/// Senders tell an owner late that calls have come to the engine's former life. In the occupancy of
/// the next life these calls would never end, and reports would be refused for them.
#[test]
fn a_keeper_keeps_no_ledger_of_a_former_life() {
    let mut gateway = before(FIRST);
    let update = |engine, call| Update { engine, call, change: Change::Sent(20.0) };
    gateway.snapshots(START, &[digest(FIRST)]);
    list(&mut gateway, START, vec![life(SECOND)]);
    gateway.snapshots(START, &[digest(SECOND)]);

    gateway.record_updates(START, &[update(digest(FIRST), 1), update(digest(FIRST), 2)]);

    let later = START + Span::secs(2);
    let snapshots = gateway.snapshots(later, &[digest(FIRST), digest(SECOND)]);
    assert_eq!(snapshots.len(), 1);
    assert_eq!((snapshots[0].engine, snapshots[0].calls), (digest(SECOND), 0));
}

/// A host's clock is set back over a restart, or lay in the future before it. Were the greater
/// start believed, the dead life would be taken for the living one until the clock catches up.
#[test]
fn a_clock_that_jumped_does_not_pin_the_dead_life() {
    let mut gateway = before(SECOND);
    send(&mut gateway, START);

    let back = list(&mut gateway, START, vec![life(FIRST)]);
    let after_back = seen(&mut gateway, START);
    send(&mut gateway, START);
    let ahead = list(&mut gateway, START, vec![life(u64::MAX)]);
    send(&mut gateway, START);
    let again = list(&mut gateway, START, vec![life(SECOND)]);

    assert_eq!([back, ahead, again], [[ID], [ID], [ID]]);
    assert_eq!((after_back, seen(&mut gateway, START)), (NOTHING, NOTHING));
}

/// Right after an outage of the store most entries are missing and are used on. One that is there
/// under another start is not missing: its former life is gone.
#[test]
fn a_restart_shows_also_behind_an_outage_of_the_store() {
    let mut gateway = before(FIRST);
    let others = ["engine-1", "engine-2"].map(listing);
    list(&mut gateway, START, [vec![life(FIRST)], others.to_vec()].concat());
    let back = START + Span::secs(4);
    gateway.record_read(back, None);

    let changes = gateway.update_lists(back, back, vec![life(SECOND)], vec![]);

    assert_eq!(changes.replaced, [ID]);
    assert_eq!(changes.retained, ["engine-1", "engine-2"]);
}

/// The same entry is read again and again; only another start is another life.
#[test]
fn an_entry_that_stays_keeps_its_life() {
    let mut gateway = before(FIRST);
    let running = send(&mut gateway, START);

    let replaced = list(&mut gateway, START, vec![life(FIRST)]);

    assert!(replaced.is_empty());
    assert_eq!(pick(&mut gateway, START).1.claim.replica, running.claim.replica);
}

/// Calls of one service reach a replica of another. An entry names another service than before
/// under the same identity, and the fleet goes on listing its replica under the former one.
#[test]
fn a_replica_that_is_listed_for_another_service_leaves_the_former_one() {
    let mut gateway = before(FIRST);

    list(&mut gateway, START, vec![Listing { service: "other".to_owned(), ..life(FIRST) }]);

    assert_eq!(gateway.fleet().usable(START, "engines"), 0);
    assert_eq!(gateway.fleet().usable(START, "other"), 1);
}
