//! Quarantine of request fingerprints that crash replicas, with its gossip and storage.

use std::collections::BTreeSet;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::fingerprint::Source;
use laburnumwheel_core::gateway::fleet::Claim;
use laburnumwheel_core::gateway::fleet::Load;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::quarantine::CRASH_THRESHOLD;
use laburnumwheel_core::gateway::quarantine::Connection;
use laburnumwheel_core::gateway::quarantine::Crash;
use laburnumwheel_core::gateway::quarantine::LIVENESS_DELAY;
use laburnumwheel_core::gateway::quarantine::MAX_FINGERPRINTS;
use laburnumwheel_core::gateway::quarantine::MAX_GOSSIP_RECORDS;
use laburnumwheel_core::gateway::quarantine::Quarantine;
use laburnumwheel_core::gateway::quarantine::Record;
use laburnumwheel_core::gateway::quarantine::Refutation;
use laburnumwheel_core::gateway::quarantine::Release;
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
use crate::support::running_gateway as gateway;
use crate::support::submission;

const CRASHING: Fingerprint = Fingerprint(1);
const HARMLESS: Fingerprint = Fingerprint(2);
/// Time from one heartbeat to the next, as in the gateway program.
const HEARTBEAT: Span = Span::millis(250);
/// Peers that receive each heartbeat, as in the gateway program.
const FANOUT: usize = 4;
/// Time within which all gateways must know of the last crash.
const WINDOW: Span = Span::secs(3);
/// Duration of a quarantine after three crashes.
const MIN_QUARANTINE: Span = Span::secs(600);

fn at(seconds: u64) -> Time {
    START + Span::secs(seconds)
}

/// A quarantine with crashes of `replicas`, one a second, recorded for `fingerprint`.
fn after_crashes(fingerprint: Fingerprint, replicas: &[u32]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (second, replica) in (0..).zip(replicas) {
        quarantine.record_crash(at(second), fingerprint, connection(*replica));
    }
    quarantine
}

/// A connection to this replica from before all crashes.
fn connection(replica: u32) -> Connection {
    Connection { replica: Digest(replica), opened: START }
}

fn never_alive(_: Digest, _: Time) -> Option<Refutation> {
    None
}

#[test]
fn three_different_replicas_that_crash_quarantine_a_fingerprint() {
    let two = after_crashes(CRASHING, &[1, 2]);
    let twice_the_same = after_crashes(CRASHING, &[1, 2, 2, 1]);
    let three = after_crashes(CRASHING, &[1, 2, 3]);

    assert_eq!(two.remaining(at(3), CRASHING), None);
    assert_eq!(twice_the_same.remaining(at(4), CRASHING), None);
    assert!(three.remaining(at(3), CRASHING).is_some());
    assert_eq!(three.remaining(at(3), HARMLESS), None);
}

/// A harmless request is interrupted by three crashes with other causes, and the fourth engine
/// completes it: the caller's next request must not be refused.
#[test]
fn a_complete_answer_clears_crashes_and_older_gossip_of_them() {
    let mut quarantine = after_crashes(HARMLESS, &[1, 2, 3]);
    let records = quarantine.gossip(at(3));

    quarantine.record_answer(at(4), HARMLESS);
    quarantine.merge(at(5), &records);

    assert_eq!(quarantine.remaining(at(5), HARMLESS), None);
}

/// All connections of a gateway are reset while the replicas keep running. A replica that gives a
/// sign of life afterwards has not crashed, also if a peer gossips the same broken connection
/// again.
#[test]
fn a_later_sign_of_life_clears_a_crash() {
    let mut quarantine = after_crashes(HARMLESS, &[1, 2, 3]);
    let records = quarantine.gossip(at(3));

    quarantine
        .reevaluate(at(4), |replica, _| (replica == Digest(2)).then_some(Refutation::Survived));
    quarantine.merge(at(5), &records);

    assert_eq!(quarantine.remaining(at(5), HARMLESS), None);
    assert!(quarantine.gossip(at(5)).iter().all(|record| record.crashes.len() == 2));
}

/// A harmless stream is resumed after each crash and each time lands on the engine that crashes
/// next. Once the cause is quarantined, these crashes must not count against the stream.
#[test]
fn crashes_explained_by_another_fingerprint_do_not_count() {
    let mut quarantine = after_crashes(CRASHING, &[1, 2, 3, 4]);
    for (second, replica) in (0..).zip([1, 2, 3]) {
        quarantine.record_crash(at(second), HARMLESS, connection(replica));
    }

    assert!(quarantine.remaining(at(5), CRASHING).is_some());
    assert_eq!(quarantine.remaining(at(5), HARMLESS), None);
}

/// Two crashing fingerprints that share one crashed engine must both be quarantined.
#[test]
fn two_crashing_fingerprints_are_both_quarantined() {
    let mut quarantine = after_crashes(CRASHING, &[1, 2, 3]);
    for (second, replica) in (10..).zip([3, 4, 5, 6]) {
        quarantine.record_crash(at(second), HARMLESS, connection(replica));
    }

    assert!(quarantine.remaining(at(20), CRASHING).is_some());
    assert!(quarantine.remaining(at(20), HARMLESS).is_some());
}

/// A long stream is interrupted by four crashes, two of which another request causes. Counted like
/// its crashes, those of the stream would explain two of the cause's, and it would be sent again.
#[test]
fn a_stream_that_crashes_interrupted_does_not_explain_those_of_their_cause() {
    let mut quarantine = Quarantine::default();
    for (second, replica) in (0..).zip([1, 2, 3, 4]) {
        quarantine.record_interruption(at(second), HARMLESS, connection(replica), START);
        if let 1 | 2 = replica {
            quarantine.record_crash(at(second), CRASHING, connection(replica));
        }
    }
    quarantine.reevaluate(at(4), never_alive);
    quarantine.record_crash(at(4), CRASHING, connection(5));

    assert!(quarantine.remaining(at(4), CRASHING).is_some());
    quarantine.reevaluate(at(6), never_alive);
    assert_eq!(quarantine.remaining(at(6), HARMLESS), None);
}

/// A request crashes each replica in the middle of its answer.
#[test]
fn interruptions_that_no_other_request_explains_quarantine_a_fingerprint() {
    let mut quarantine = Quarantine::default();
    for (second, replica) in (0..).zip([1, 2, 3]) {
        quarantine.record_interruption(at(second), CRASHING, connection(replica), START);
    }

    quarantine.reevaluate(at(2), never_alive);
    let early = quarantine.remaining(at(2), CRASHING);
    quarantine.reevaluate(at(3), never_alive);

    assert_eq!(early, None);
    assert!(quarantine.remaining(at(3), CRASHING).is_some());
}

/// A replica without a stated start is back under its id, so that its crashes are of one incarnation
/// for all that is known. Counted once, a request would crash a few such replicas for good.
#[test]
fn crashes_of_a_replica_that_started_again_count() {
    let mut quarantine = Quarantine::default();
    for second in [0, 4, 8] {
        let connection = Connection { replica: Digest(1), opened: at(second) };
        quarantine.record_crash(at(second), CRASHING, connection);
        // Connections of the same process, noticed late.
        quarantine.record_crash(at(second + 2), CRASHING, connection);
    }
    let early = after_crashes(CRASHING, &[1, 1, 1]);
    let mut peer = Quarantine::default();
    peer.merge(at(9), &quarantine.gossip(at(9)));
    peer.merge(at(10), &quarantine.gossip(at(10)));

    assert!(quarantine.remaining(at(9), CRASHING).is_some());
    assert!(peer.remaining(at(10), CRASHING).is_some());
    assert!(peer.gossip(at(10)).iter().all(|record| record.crashes.len() == CRASH_THRESHOLD));
    assert_eq!(early.remaining(at(3), CRASHING), None);
}

/// The links of a gateway break, and later the replicas crash. The first must not hide the second.
#[test]
fn crashes_after_survived_ones_count_at_all_gateways() {
    let mut quarantine = after_crashes(CRASHING, &[1, 2, 3]);
    let mut peer = Quarantine::default();
    peer.merge(at(3), &quarantine.gossip(at(3)));
    let survived = |_: Digest, crashed: Time| (crashed < at(4)).then_some(Refutation::Survived);
    for known in [&mut quarantine, &mut peer] {
        known.reevaluate(at(4), survived);
    }
    let between = quarantine.remaining(at(4), CRASHING);

    for (second, replica) in (5..).zip([1, 2, 3]) {
        quarantine.record_crash(at(second), CRASHING, connection(replica));
    }
    peer.merge(at(8), &quarantine.gossip(at(8)));

    assert_eq!(between, None);
    for known in [&mut quarantine, &mut peer] {
        known.reevaluate(at(8), survived);
        assert!(known.remaining(at(8), CRASHING).is_some());
    }
}

/// Replicas crash right after the first event of an answer, while other calls wait in them. Each of
/// these is new; if they explained the crashes, the request would go free for good.
#[test]
fn calls_that_wait_in_crashed_replicas_do_not_excuse_the_cause() {
    let mut quarantine = Quarantine::default();
    for (second, replica) in (0..).zip([1, 2, 3]) {
        quarantine.record_interruption(at(second), CRASHING, connection(replica), at(second));
        quarantine.record_crash(at(second), Fingerprint(100 + second), connection(replica));
    }

    quarantine.reevaluate(at(4), never_alive);

    assert!(quarantine.remaining(at(4), CRASHING).is_some());
}

/// Two requests crash the same three replicas, which keep their ids, at different times. Neither
/// explains the crashes of the other.
#[test]
fn crashes_of_the_same_replicas_at_other_times_explain_nothing() {
    let mut quarantine = after_crashes(CRASHING, &[1, 2, 3]);
    for (second, replica) in (20..).step_by(4).zip([1, 2, 3, 1]) {
        let connection = Connection { replica: Digest(replica), opened: at(second) };
        quarantine.record_crash(at(second), HARMLESS, connection);
    }

    assert!(quarantine.remaining(at(40), CRASHING).is_some());
    assert!(quarantine.remaining(at(40), HARMLESS).is_some());
}

/// A complete answer clears interruptions that are not decided yet.
#[test]
fn an_answer_clears_interruptions() {
    let mut quarantine = Quarantine::default();
    for replica in [1, 2, 3] {
        quarantine.record_interruption(at(1), HARMLESS, connection(replica), START);
    }

    quarantine.record_answer(at(1), HARMLESS);
    quarantine.reevaluate(at(3), never_alive);

    assert_eq!(quarantine.remaining(at(3), HARMLESS), None);
}

/// Two crashing requests are sent to the same two replicas by chance. Both must stay quarantined
/// from their third crash on, although each explains two crashes of the other.
#[test]
fn crashing_fingerprints_that_share_two_crashes_do_not_excuse_each_other() {
    let mut quarantine = after_crashes(CRASHING, &[1, 2, 3]);
    let other = Fingerprint(77);
    for (second, replica) in (0..).zip([1, 2, 4]) {
        quarantine.record_crash(at(second), other, connection(replica));
    }
    let both = [CRASHING, other].map(|fingerprint| quarantine.remaining(at(5), fingerprint));

    quarantine.record_crash(at(5), other, connection(5));

    assert!(both.iter().all(Option::is_some));
    assert!(quarantine.remaining(at(5), CRASHING).is_some());
}

/// A fingerprint may be sent again after ten minutes, in case it was quarantined wrongly. One more
/// crash quarantines it for twice as long.
#[test]
fn a_quarantine_expires_and_doubles_with_a_further_crash() {
    let mut quarantine = after_crashes(CRASHING, &[1, 2, 3]);
    let third = at(2);

    let last = quarantine.remaining(third + MIN_QUARANTINE - Span(1), CRASHING);
    let over = quarantine.remaining(third + MIN_QUARANTINE, CRASHING);
    quarantine.record_crash(third + MIN_QUARANTINE, CRASHING, connection(4));
    let again = quarantine.remaining(third + MIN_QUARANTINE, CRASHING);

    assert_eq!(last, Some(Span(1)));
    assert_eq!(over, None);
    assert_eq!(again, Some(Span(2 * MIN_QUARANTINE.0)));
}

#[test]
fn too_few_crashes_expire_after_ten_minutes() {
    let mut quarantine = after_crashes(CRASHING, &[1, 2]);

    quarantine.reevaluate(at(700), never_alive);
    quarantine.record_crash(at(701), CRASHING, connection(3));

    assert_eq!(quarantine.remaining(at(701), CRASHING), None);
}

#[test]
fn a_transition_is_reported_once() {
    let mut quarantine = after_crashes(CRASHING, &[1, 2, 3]);

    let first = quarantine.reevaluate(at(3), never_alive);
    let second = quarantine.reevaluate(at(4), never_alive);
    quarantine.record_answer(at(5), CRASHING);
    let third = quarantine.reevaluate(at(5), never_alive);

    let summary = |transitions: &[Transition]| {
        transitions.iter().map(|v| (v.fingerprint, v.release)).collect::<Vec<_>>()
    };
    assert_eq!(summary(&first), [(CRASHING, None)]);
    assert_eq!(summary(&second), []);
    assert_eq!(summary(&third), [(CRASHING, Some(Release::Answered))]);
}

/// An operator reads from the reason of a release whether a crashing request got through.
#[test]
fn a_release_states_its_reason() {
    let quarantined = || {
        let mut quarantine = after_crashes(HARMLESS, &[1, 2, 3]);
        quarantine.reevaluate(at(3), never_alive);
        quarantine
    };
    let release = |mut quarantine: Quarantine, now: Time, survivor: Option<u32>| {
        let transitions = quarantine.reevaluate(now, |replica, _| {
            (Some(replica.0) == survivor).then_some(Refutation::Survived)
        });
        transitions.iter().find(|v| v.fingerprint == HARMLESS).and_then(|v| v.release)
    };
    let mut withdrawn = quarantined();
    withdrawn.withdraw_crash(HARMLESS, Digest(2));
    let mut explained = quarantined();
    for (second, replica) in (0..).zip([1, 2, 3, 4]) {
        explained.record_crash(at(second), CRASHING, connection(replica));
    }

    let reasons = [
        release(quarantined(), at(4), Some(1)),
        release(quarantined(), at(602), None),
        release(withdrawn, at(4), None),
        release(explained, at(4), None),
    ];

    assert_eq!(
        reasons,
        [
            Some(Release::Refuted(Refutation::Survived)),
            Some(Release::Expired),
            Some(Release::Refuted(Refutation::Withdrawn)),
            Some(Release::RequestExplains),
        ]
    );
}

/// The loss of a rack records crashes for thousands of fingerprints. Memory and heartbeats must
/// stay bounded, and quarantined fingerprints take precedence.
#[test]
fn memory_and_heartbeats_are_bounded() {
    let mut quarantine = after_crashes(CRASHING, &[1, 2, 3]);
    for fingerprint in 10..20_000 {
        quarantine.record_crash(at(3), Fingerprint(fingerprint), connection(7));
    }
    quarantine.reevaluate(at(3), never_alive);

    let records = quarantine.gossip(at(4));

    assert_eq!(quarantine.tracked_count(), MAX_FINGERPRINTS);
    assert_eq!(records.len(), MAX_GOSSIP_RECORDS);
    assert_eq!(records[0].fingerprint, CRASHING);
    assert!(quarantine.remaining(at(4), CRASHING).is_some());
}

proptest! {
    /// Gateways that merge the same records in different orders, in parts and repeatedly, must
    /// quarantine the same fingerprints.
    #[test]
    fn the_order_of_merges_does_not_matter(
        crashes in proptest::collection::vec((0u64..4, 0u32..6), 0..16),
        seed: u64,
    ) {
        let record = |(fingerprint, replica): &(u64, u32)| Record {
            fingerprint: Fingerprint(*fingerprint),
            crashes: vec![Crash { replica: Digest(*replica), age_ms: u64::from(*replica) * 1_000 }],
            answered_ms: None,
        };
        let records: Vec<Record> = crashes.iter().map(record).collect();
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut a, mut b) = (Quarantine::default(), Quarantine::default());

        a.merge(at(10), &records);
        for _ in 0..8 * records.len() {
            b.merge(at(10), &[records[rng.random_range(0..records.len())].clone()]);
        }
        b.merge(at(10), &records);

        for fingerprint in (0..4).map(Fingerprint) {
            prop_assert_eq!(a.remaining(at(10), fingerprint), b.remaining(at(10), fingerprint));
        }
    }
}

/// Simulates gossip in which three gateways record one crash each and one heartbeat in twenty is
/// lost. Returns the time until all gateways quarantine the fingerprint and the largest encoded
/// gossip.
fn time_until_all_quarantine(count: usize, seed: u64) -> (Span, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut gateways = vec![Quarantine::default(); count];
    for (index, replica) in (0..CRASH_THRESHOLD).map(|i| (i * count / CRASH_THRESHOLD, i as u32)) {
        gateways[index].record_crash(START, CRASHING, connection(replica));
    }
    let (mut now, mut largest) = (START, 0);
    while now.since(START) < Span(2 * WINDOW.0) {
        now = now + HEARTBEAT;
        for from in 0..count {
            let records = gateways[from].gossip(now);
            largest = largest.max(postcard::to_stdvec(&records).unwrap().len());
            for _ in 0..FANOUT {
                let to = rng.random_range(0..count);
                if !rng.random_bool(0.05) {
                    gateways[to].merge(now, &records);
                }
            }
        }
        if gateways.iter().all(|g| g.remaining(now, CRASHING).is_some()) {
            break;
        }
    }
    (now.since(START), largest)
}

/// Each request with the same fingerprint arrives at another gateway, so no gateway sees more than
/// one crash. All gateways must quarantine it in time at any size of the fleet.
#[test]
fn all_gateways_quarantine_a_fingerprint_within_the_window() {
    for count in [9, 100, 300, 440] {
        for seed in 0..5 {
            let (took, bytes) = time_until_all_quarantine(count, seed);

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

/// Requests of one organisation must not quarantine those of another.
#[test]
fn fingerprints_of_two_organisations_differ() {
    assert_eq!(fingerprint("museum", "a"), fingerprint("museum", "a"));
    assert_ne!(fingerprint("museum", "a"), fingerprint("dealer", "a"));
    assert_ne!(fingerprint("museum", "a"), fingerprint("museum", "b"));
}

/// Sends a call with `fingerprint` to an engine; `None` if no engine may be picked.
fn send(
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

/// Sends calls with `fingerprint`, each of which crashes its engine, until they are refused.
/// Returns the crashed engines.
fn crash_engines(
    gateway: &mut Gateway,
    call: &Submission,
    fingerprint: Fingerprint,
) -> BTreeSet<String> {
    let mut engines = BTreeSet::new();
    for second in 0..10 {
        let Some((grant, claim)) = send(gateway, at(second), call, fingerprint) else {
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

/// The refusal of a quarantined call must state that it was not run and when to retry. Other calls
/// must still be sent.
#[test]
fn a_quarantined_call_is_refused_as_not_run_with_a_retry_time() {
    let mut gateway = gateway(12);
    let call = submission("draft", &[(1, 500)]);
    let engines = crash_engines(&mut gateway, &call, CRASHING);

    gateway.confirm_view(at(20));
    let mut grant = gateway.admit(at(20), &call).unwrap();
    grant.fingerprint = Some(CRASHING);
    let refusal = gateway.pick(at(20), &call, &mut grant, &[]).unwrap_err();

    assert_eq!(engines.len(), CRASH_THRESHOLD);
    assert_eq!((refusal.reason, refusal.not_run), (Reason::Quarantined, true));
    assert!(refusal.retry_after > Span(0) && refusal.retry_after <= MIN_QUARANTINE);
    assert!(send(&mut gateway, at(20), &call, HARMLESS).is_some());
}

/// The connections of a call to three engines break while the engines keep serving other calls.
#[test]
fn broken_connections_to_live_engines_do_not_quarantine() {
    let mut gateway = gateway(12);
    let call = submission("draft", &[(1, 500)]);
    let mut claims = Vec::new();
    while claims.len() < CRASH_THRESHOLD {
        let (grant, claim) = send(&mut gateway, START, &call, HARMLESS).unwrap();
        gateway.record_crash(START, &grant, &claim);
        gateway.record_unsent(START, &mut grant.clone(), claim.replica, Outcome::Unreachable);
        claims.push(claim);
    }
    let before = gateway.fingerprints_quarantined(START);

    let later = START + LIVENESS_DELAY + Span::millis(1);
    for claim in &claims {
        gateway.record_activity(
            later,
            claim,
            Some(Load { running: 1, waiting: 0, slots: 16, ..Load::default() }),
        );
    }
    gateway.reevaluate_quarantine(later);

    assert_eq!(before, 1);
    assert_eq!(gateway.fingerprints_quarantined(later), 0);
}

/// Sends a call to the engine of this number; returns its claim.
fn send_to(gateway: &mut Gateway, engine: usize, fingerprint: Fingerprint) -> (Grant, Claim) {
    let call = submission("chat", &[(1, 500)]);
    gateway.confirm_view(START);
    let mut grant = gateway.admit(START, &call).unwrap();
    grant.fingerprint = Some(fingerprint);
    grant.tried = gateway.fleet().open_replicas("engines").map(|(key, _)| key).collect();
    grant.tried.remove(engine);
    let mut pick = gateway.pick(START, &call, &mut grant, &[]).unwrap();
    gateway.record_sent(START, &call, &mut grant, &mut pick);
    (grant, pick.claim)
}

/// A long stream meets more crashes than any one of the requests that cause them. It had begun to be
/// answered at each engine. Counted like theirs, its crashes would explain all of them, so that it
/// would be quarantined and the causes would not.
#[test]
fn stream_that_others_crashes_interrupt_is_not_quarantined() {
    let mut gateway = gateway(12);
    for engine in 0..=CRASH_THRESHOLD {
        let (stream, mut interrupted) = send_to(&mut gateway, engine, HARMLESS);
        gateway.record_event(START, &mut interrupted);
        let cause = if engine < CRASH_THRESHOLD { CRASHING } else { Fingerprint(3) };
        let (cause, crashed) = send_to(&mut gateway, engine, cause);
        gateway.record_crash(START, &stream, &interrupted);
        gateway.record_crash(START, &cause, &crashed);
    }

    let later = START + LIVENESS_DELAY + Span::millis(1);
    let transitions = gateway.reevaluate_quarantine(later);

    let quarantined: Vec<Fingerprint> =
        transitions.iter().filter(|t| t.release.is_none()).map(|t| t.fingerprint).collect();
    assert_eq!(quarantined, [CRASHING]);
    assert_eq!(gateway.fingerprints_quarantined(later), 1);
}

/// All gateways stop at once and new ones start with the records of the store. The record must be
/// stored once, not by each gateway in turn, must take effect after the restart, and must be
/// removed after a complete answer.
#[test]
fn stored_records_quarantine_after_a_restart_until_an_answer() {
    let mut before = gateway(12);
    let call = submission("draft", &[(1, 500)]);
    crash_engines(&mut before, &call, CRASHING);
    let stored = before.quarantine_to_store(at(20), &[]).unwrap();

    let mut after = gateway(12);
    after.restore_quarantine(at(20), &stored);
    let is_quarantined = send(&mut after, at(20), &call, CRASHING).is_none();
    let again = after.quarantine_to_store(at(20), &stored);
    after.confirm_view(at(20));
    let mut grant = after.admit(at(20), &call).unwrap();
    grant.fingerprint = Some(CRASHING);
    after.record_answer(at(30), at(30), &grant);

    assert!(is_quarantined);
    assert_eq!(again, None);
    assert_eq!(before.quarantine_to_store(at(20), &stored), None);
    assert_eq!(after.quarantine_to_store(at(30), &stored), Some(Vec::new()));
    assert!(send(&mut after, at(30), &call, CRASHING).is_some());
}

/// Two gateways have recorded crashes of different fingerprints. Each must keep the stored records
/// of the other, or both would overwrite each other for as long as they differ.
#[test]
fn gateways_that_differ_do_not_overwrite_each_other() {
    let mut first = gateway(12);
    let call = submission("draft", &[(1, 500)]);
    crash_engines(&mut first, &call, CRASHING);
    let stored = first.quarantine_to_store(at(20), &[]).unwrap();

    let mut second = gateway(12);
    crash_engines(&mut second, &call, HARMLESS);
    let both = second.quarantine_to_store(at(20), &stored).unwrap();

    assert_eq!(both.len(), 2);
    assert_eq!(second.quarantine_to_store(at(20), &both), None);
    assert_eq!(first.quarantine_to_store(at(20), &both), None);
}
