//! Contents under which replicas end: which are held back, for how long, and by whom.

use std::collections::BTreeSet;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::fingerprint::Source;
use laburnumwheel_core::gateway::fleet::Claim;
use laburnumwheel_core::gateway::fleet::Load;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::quarantine::CRASH_THRESHOLD;
use laburnumwheel_core::gateway::quarantine::Crash;
use laburnumwheel_core::gateway::quarantine::LIVENESS_DELAY;
use laburnumwheel_core::gateway::quarantine::MAX_FINGERPRINTS;
use laburnumwheel_core::gateway::quarantine::MAX_GOSSIP_RECORDS;
use laburnumwheel_core::gateway::quarantine::Quarantine;
use laburnumwheel_core::gateway::quarantine::Record;
use laburnumwheel_core::gateway::quarantine::Transition;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::submission::Submission;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use proptest::prop_assert_eq;
use proptest::proptest;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::START;
use crate::support::ask;
use crate::support::gateway;

const DEADLY: Fingerprint = Fingerprint(1);
const HARMLESS: Fingerprint = Fingerprint(2);
/// Time from one heartbeat to the next, and peers that get it, as the shell has them.
const HEARTBEAT: Span = Span::millis(250);
const FANOUT: usize = 4;
/// Time in which all gateways must know of the last end.
const WINDOW: Span = Span::secs(3);
/// Longest that a fingerprint may be held after three ends.
const HOLD: Span = Span::secs(600);

fn at(seconds: u64) -> Time {
    START + Span::secs(seconds)
}

/// One that saw `fingerprint` end these replicas, one a second.
fn after_ends(fingerprint: Fingerprint, replicas: &[u32]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (second, replica) in (0..).zip(replicas) {
        quarantine.record_crash(at(second), fingerprint, Digest(*replica));
    }
    quarantine
}

fn nobody(_: Digest, _: Time) -> bool {
    false
}

#[test]
fn a_content_is_held_from_the_third_replica_that_ends_under_it() {
    let two = after_ends(DEADLY, &[1, 2]);
    let twice_the_same = after_ends(DEADLY, &[1, 2, 2, 1]);
    let three = after_ends(DEADLY, &[1, 2, 3]);

    assert_eq!(two.remaining(at(3), DEADLY), None);
    assert_eq!(twice_the_same.remaining(at(4), DEADLY), None);
    assert!(three.remaining(at(3), DEADLY).is_some());
    assert_eq!(three.remaining(at(3), HARMLESS), None);
}

/// A report is cut off with its engine three times, each time for another reason, and the fourth engine
/// answers it: its caller must not be refused when he asks again.
#[test]
fn a_whole_answer_clears_a_content_and_what_others_still_tell_of_it() {
    let mut quarantine = after_ends(HARMLESS, &[1, 2, 3]);
    let told = quarantine.gossip(at(3));

    quarantine.record_answer(at(4), HARMLESS);
    quarantine.merge(at(5), &told);

    assert_eq!(quarantine.remaining(at(5), HARMLESS), None);
}

/// Connections break while the replicas live, as when all links of a gateway are reset. Whoever is
/// heard of afterwards has not ended, also when others tell of the same break again.
#[test]
fn a_replica_that_is_heard_of_later_has_not_ended() {
    let mut quarantine = after_ends(HARMLESS, &[1, 2, 3]);
    let told = quarantine.gossip(at(3));

    quarantine.reevaluate(at(4), |replica, _| replica == Digest(2));
    quarantine.merge(at(5), &told);

    assert_eq!(quarantine.remaining(at(5), HARMLESS), None);
    assert!(quarantine.gossip(at(5)).iter().all(|record| record.crashes.len() == 2));
}

/// A long answer was at each of the engines that a draft ended, as it is sent on after each end.
/// Once the draft is known to end engines, these ends count against nothing else.
#[test]
fn ends_that_another_content_explains_do_not_count() {
    let mut quarantine = after_ends(DEADLY, &[1, 2, 3, 4]);
    for (second, replica) in (0..).zip([1, 2, 3]) {
        quarantine.record_crash(at(second), HARMLESS, Digest(replica));
    }

    assert!(quarantine.remaining(at(5), DEADLY).is_some());
    assert_eq!(quarantine.remaining(at(5), HARMLESS), None);
}

/// Two deadly fingerprints that come at the same time are both held, although they met at one engine.
#[test]
fn two_deadly_contents_are_both_held() {
    let mut quarantine = after_ends(DEADLY, &[1, 2, 3]);
    for (second, replica) in (10..).zip([3, 4, 5, 6]) {
        quarantine.record_crash(at(second), HARMLESS, Digest(replica));
    }

    assert!(quarantine.remaining(at(20), DEADLY).is_some());
    assert!(quarantine.remaining(at(20), HARMLESS).is_some());
}

/// Whatever was held wrongly is tried again after ten minutes; what ends one more replica then is held
/// for twice as long.
#[test]
fn a_hold_ends_and_doubles_with_a_further_end() {
    let mut quarantine = after_ends(DEADLY, &[1, 2, 3]);
    let third = at(2);

    let last = quarantine.remaining(third + HOLD - Span(1), DEADLY);
    let over = quarantine.remaining(third + HOLD, DEADLY);
    quarantine.record_crash(third + HOLD, DEADLY, Digest(4));
    let again = quarantine.remaining(third + HOLD, DEADLY);

    assert_eq!(last, Some(Span(1)));
    assert_eq!(over, None);
    assert_eq!(again, Some(Span(2 * HOLD.0)));
}

#[test]
fn fewer_ends_are_forgotten_after_ten_minutes() {
    let mut quarantine = after_ends(DEADLY, &[1, 2]);

    quarantine.reevaluate(at(700), nobody);
    quarantine.record_crash(at(701), DEADLY, Digest(3));

    assert_eq!(quarantine.remaining(at(701), DEADLY), None);
}

#[test]
fn a_verdict_is_told_once() {
    let mut quarantine = after_ends(DEADLY, &[1, 2, 3]);

    let first = quarantine.reevaluate(at(3), nobody);
    let second = quarantine.reevaluate(at(4), nobody);
    quarantine.record_answer(at(5), DEADLY);
    let third = quarantine.reevaluate(at(5), nobody);

    let told = |verdicts: &[Transition]| {
        verdicts.iter().map(|v| (v.fingerprint, v.quarantined)).collect::<Vec<_>>()
    };
    assert_eq!(told(&first), [(DEADLY, true)]);
    assert_eq!(told(&second), []);
    assert_eq!(told(&third), [(DEADLY, false)]);
}

/// A rack is lost with all that runs there, and then again: what is remembered and told stays bounded,
/// and what is held goes before the rest.
#[test]
fn memory_and_heartbeats_are_bounded() {
    let mut quarantine = after_ends(DEADLY, &[1, 2, 3]);
    for fingerprint in 10..20_000 {
        quarantine.record_crash(at(3), Fingerprint(fingerprint), Digest(7));
    }
    quarantine.reevaluate(at(3), nobody);

    let told = quarantine.gossip(at(4));

    assert_eq!(quarantine.tracked_count(), MAX_FINGERPRINTS);
    assert_eq!(told.len(), MAX_GOSSIP_RECORDS);
    assert_eq!(told[0].fingerprint, DEADLY);
    assert!(quarantine.remaining(at(4), DEADLY).is_some());
}

proptest! {
    /// Gateways that hear the same in another order, in parts and more than once, judge alike.
    #[test]
    fn the_order_in_which_things_are_heard_changes_nothing(
        ends in proptest::collection::vec((0u64..4, 0u32..6), 0..16),
        seed: u64,
    ) {
        let record = |(fingerprint, replica): &(u64, u32)| Record {
            fingerprint: Fingerprint(*fingerprint),
            crashes: vec![Crash { replica: Digest(*replica), age_ms: u64::from(*replica) * 1_000 }],
            answered_ms: None,
        };
        let records: Vec<Record> = ends.iter().map(record).collect();
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut one, mut other) = (Quarantine::default(), Quarantine::default());

        one.merge(at(10), &records);
        for _ in 0..8 * records.len() {
            other.merge(at(10), &[records[rng.random_range(0..records.len())].clone()]);
        }
        other.merge(at(10), &records);

        for fingerprint in (0..4).map(Fingerprint) {
            prop_assert_eq!(one.remaining(at(10), fingerprint), other.remaining(at(10), fingerprint));
        }
    }
}

/// Gateways that gossip: three of them see one end each, and all of them must hold the fingerprint before
/// the window is over. One heartbeat in twenty is lost.
fn time_until_all_hold(count: usize, seed: u64) -> (Span, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut gateways = vec![Quarantine::default(); count];
    for (place, replica) in (0..CRASH_THRESHOLD).map(|i| (i * count / CRASH_THRESHOLD, i as u32)) {
        gateways[place].record_crash(START, DEADLY, Digest(replica));
    }
    let (mut now, mut largest) = (START, 0);
    while now.since(START) < Span(2 * WINDOW.0) {
        now = now + HEARTBEAT;
        for from in 0..count {
            let told = gateways[from].gossip(now);
            largest = largest.max(postcard::to_stdvec(&told).unwrap().len());
            for _ in 0..FANOUT {
                let to = rng.random_range(0..count);
                if !rng.random_bool(0.05) {
                    gateways[to].merge(now, &told);
                }
            }
        }
        if gateways.iter().all(|g| g.remaining(now, DEADLY).is_some()) {
            break;
        }
    }
    (now.since(START), largest)
}

/// The same fingerprint comes by another gateway each time, so no gateway sees more than one end of it.
/// All must know before the next tries come, at any size of the fleet.
#[test]
fn all_gateways_of_a_fleet_hold_a_content_within_the_window() {
    for count in [9, 100, 300, 440] {
        for seed in 0..5 {
            let (took, bytes) = time_until_all_hold(count, seed);

            assert!(took <= WINDOW, "{count} gateways, seed {seed}: {took}");
            assert!(bytes < 100, "{count} gateways, seed {seed}: {bytes} bytes a heartbeat");
        }
    }
}

fn fingerprint(organisation: &str, body: &str) -> Fingerprint {
    Fingerprint::of(&Source {
        organisation: Some(organisation),
        method: "POST",
        host: "a.example",
        path: "/draft/x",
        body: body.as_bytes(),
    })
}

/// What one organisation sends must not have another's calls refused.
#[test]
fn contents_of_two_organisations_are_two() {
    assert_eq!(fingerprint("museum", "a"), fingerprint("museum", "a"));
    assert_ne!(fingerprint("museum", "a"), fingerprint("dealer", "a"));
    assert_ne!(fingerprint("museum", "a"), fingerprint("museum", "b"));
}

/// A call of `fingerprint`, sent to an engine.
fn sent(
    gateway: &mut Gateway,
    now: Time,
    call: &Submission,
    fingerprint: Fingerprint,
) -> Option<(Grant, Claim)> {
    gateway.confirm_view(now);
    let mut grant = gateway.admit(now, call).unwrap();
    grant.fingerprint = Some(fingerprint);
    let mut pick = gateway.pick(now, call, &mut grant, &[]).ok()?;
    gateway.record_sent(now, call, &mut grant, &mut pick);
    Some((grant, pick.claim))
}

/// Sends calls of `fingerprint` until none is sent any more, each of which ends its engine.
fn ended(gateway: &mut Gateway, call: &Submission, fingerprint: Fingerprint) -> BTreeSet<String> {
    let mut engines = BTreeSet::new();
    for second in 0..10 {
        let Some((grant, claim)) = sent(gateway, at(second), call, fingerprint) else {
            break;
        };
        let listing = &gateway.fleet().get(claim.replica).unwrap().listing;
        engines.insert(listing.incarnation.id.clone());
        gateway.record_crash(at(second), &grant, &claim);
        gateway.record_end(at(second), claim, Outcome::Failed);
        gateway.record_unsent(at(second), &mut grant.clone(), claim.replica, Outcome::Unreachable);
    }
    engines
}

/// What a caller is told of a held call is true, and says when it is worth asking again; other calls
/// go on.
#[test]
fn a_held_call_is_refused_as_not_run_with_a_time_to_return() {
    let mut gateway = gateway(12);
    let call = ask("draft", &[(1, 500)]);
    let engines = ended(&mut gateway, &call, DEADLY);

    gateway.confirm_view(at(20));
    let mut grant = gateway.admit(at(20), &call).unwrap();
    grant.fingerprint = Some(DEADLY);
    let refusal = gateway.pick(at(20), &call, &mut grant, &[]).unwrap_err();

    assert_eq!(engines.len(), CRASH_THRESHOLD);
    assert_eq!((refusal.reason, refusal.not_run), (Reason::Quarantined, true));
    assert!(refusal.retry_after > Span(0) && refusal.retry_after <= HOLD);
    assert!(sent(&mut gateway, at(20), &call, HARMLESS).is_some());
}

/// The connections of a call break at three engines that go on serving others.
#[test]
fn breaks_at_engines_that_live_hold_nothing_back() {
    let mut gateway = gateway(12);
    let call = ask("draft", &[(1, 500)]);
    let mut claims = Vec::new();
    while claims.len() < CRASH_THRESHOLD {
        let (grant, claim) = sent(&mut gateway, START, &call, HARMLESS).unwrap();
        gateway.record_crash(START, &grant, &claim);
        gateway.record_unsent(START, &mut grant.clone(), claim.replica, Outcome::Unreachable);
        claims.push(claim);
    }
    let before = gateway.fingerprints_quarantined(START);

    let later = START + LIVENESS_DELAY + Span::millis(1);
    for claim in &claims {
        gateway.record_activity(later, claim, Some(Load { running: 1, waiting: 0, slots: 16 }));
    }
    gateway.reevaluate_quarantine(later);

    assert_eq!(before, 1);
    assert_eq!(gateway.fingerprints_quarantined(later), 0);
}

/// All gateways end at once, and those that start know what the store holds. It must hold the fingerprint
/// soon, be written once and not by each gateway in turn, and let go of what was answered.
#[test]
fn the_store_keeps_what_is_held_until_it_is_answered() {
    let mut before = gateway(12);
    let call = ask("draft", &[(1, 500)]);
    ended(&mut before, &call, DEADLY);
    let kept = before.quarantine_to_store(at(20), &[]).unwrap();

    let mut after = gateway(12);
    after.restore_quarantine(at(20), &kept);
    let held = sent(&mut after, at(20), &call, DEADLY).is_none();
    let again = after.quarantine_to_store(at(20), &kept);
    after.confirm_view(at(20));
    let mut grant = after.admit(at(20), &call).unwrap();
    grant.fingerprint = Some(DEADLY);
    after.record_answer(at(30), &grant);

    assert!(held);
    assert_eq!(again, None);
    assert_eq!(before.quarantine_to_store(at(20), &kept), None);
    assert_eq!(after.quarantine_to_store(at(30), &kept), Some(Vec::new()));
    assert!(sent(&mut after, at(30), &call, DEADLY).is_some());
}

/// Two gateways make different things of what they saw. What one has written stays, so that they do
/// not write in turn for as long as they differ.
#[test]
fn gateways_that_differ_do_not_write_in_turn() {
    let mut one = gateway(12);
    let call = ask("draft", &[(1, 500)]);
    ended(&mut one, &call, DEADLY);
    let kept = one.quarantine_to_store(at(20), &[]).unwrap();

    let mut other = gateway(12);
    ended(&mut other, &call, HARMLESS);
    let both = other.quarantine_to_store(at(20), &kept).unwrap();

    assert_eq!(both.len(), 2);
    assert_eq!(other.quarantine_to_store(at(20), &both), None);
    assert_eq!(one.quarantine_to_store(at(20), &both), None);
}
