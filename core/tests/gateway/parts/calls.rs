//! Whole gateways: calls with a crashing part at every moment at which a gateway may send one.

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::fleet::Claim;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::fleet::Load;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::quarantine::CRASH_THRESHOLD;
use laburnumwheel_core::gateway::quarantine::feature;
use laburnumwheel_core::gateway::quarantine::part::Record;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::submission::Submission;
use laburnumwheel_core::incarnation::Incarnation;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use super::CRASHING;
use super::FIRST;
use super::at;
use crate::support::listings;
use crate::support::running_gateway as gateway;
use crate::support::submission;

pub const ENGINES: usize = 12;
/// Time at which a part with crashes in each of the first three seconds is quarantined.
pub const QUARANTINED: u64 = 5_000;

/// A call with these parts before one of its own.
fn call(parts: &[u64]) -> Submission {
    let own = std::iter::once((9_999, 20));
    let parts: Vec<(u64, u32)> = parts.iter().map(|id| (*id, 300)).chain(own).collect();
    submission("draft", &parts)
}

/// Sends a call to an engine; the reason of the refusal if there is one.
pub fn send(gateway: &mut Gateway, ms: u64, parts: &[u64]) -> Result<(Grant, Claim), Reason> {
    let (now, call) = (at(ms), call(parts));
    gateway.confirm_view(now);
    let mut grant = gateway.admit(now, &call).map_err(|refusal| refusal.reason)?;
    grant.fingerprint = Some(Fingerprint(ms));
    let mut pick = gateway.pick(now, &call, &mut grant, &[]).map_err(|r| r.reason)?;
    gateway.record_sent(now, &call, &mut grant, &mut pick);
    Ok((grant, pick.claim))
}

pub fn crash(gateway: &mut Gateway, ms: u64, grant: &Grant, claim: Claim) {
    gateway.record_crash(at(ms), grant, &claim);
    gateway.record_end(at(ms), claim, Outcome::Failed);
}

/// Sends a call in each of the first three seconds, which crashes its engine 100 ms later; returns the
/// claims.
pub fn crash_three(gateway: &mut Gateway) -> Vec<Claim> {
    let send_and_crash = |n: u64| {
        let (grant, claim) = send(gateway, 1_000 * n, &[FIRST, CRASHING]).unwrap();
        crash(gateway, 1_000 * n + 100, &grant, claim);
        claim
    };
    (0..3).map(send_and_crash).collect()
}

pub fn is_refused(gateway: &mut Gateway, ms: u64, parts: &[u64]) -> bool {
    send(gateway, ms, parts).is_err_and(|reason| reason == Reason::PartQuarantined)
}

/// The claim of a call that was sent to the same engine at another time, on a new connection.
fn sent_at(claim: &Claim, ms: u64) -> Claim {
    let mut claim = *claim;
    claim.sent = at(ms);
    claim.connected = Some(at(ms));
    claim
}

/// A part's crashes in the store's records.
fn stored(gateway: &Gateway, ms: u64) -> Vec<Record> {
    gateway.parts_to_store(at(ms), &[]).unwrap()
}

/// A refused call has not run, and its caller is not asked to come back soon. Calls with the same key
/// and first part are sent.
#[test]
fn call_with_a_quarantined_part_is_refused_as_not_run() {
    let mut gateway = gateway(ENGINES);
    crash_three(&mut gateway);

    let call = call(&[FIRST, CRASHING]);
    gateway.confirm_view(at(QUARANTINED));
    let mut grant = gateway.admit(at(QUARANTINED), &call).unwrap();
    let refusal = gateway.pick(at(QUARANTINED), &call, &mut grant, &[]).unwrap_err();

    assert_eq!((refusal.reason, refusal.not_run), (Reason::PartQuarantined, true));
    assert!(refusal.retry_after >= Span::secs(60));
    assert!(!is_refused(&mut gateway, QUARANTINED, &[FIRST, 5]));
}

/// A call was admitted and chosen for an engine before the verdict, and waits for a permit, a
/// connection or a delegate: each of them checks again before it sends.
#[test]
fn call_that_waited_for_the_verdict_is_not_sent() {
    let mut gateway = gateway(ENGINES);
    gateway.confirm_view(at(0));
    let call = call(&[FIRST, CRASHING]);
    let mut grant = gateway.admit(at(0), &call).unwrap();
    gateway.pick(at(0), &call, &mut grant, &[]).unwrap();
    crash_three(&mut gateway);

    gateway.confirm_view(at(QUARANTINED));
    let rechecked = gateway.recheck(at(QUARANTINED), &call, &mut grant).unwrap_err();
    let rerouted = gateway.may_reroute(at(QUARANTINED), &call, &grant);

    assert_eq!(rechecked.reason, Reason::PartQuarantined);
    assert!(!rerouted);
}

/// A gateway delegates a call with the part to one that already knows of it.
#[test]
fn delegated_call_with_a_quarantined_part_is_refused() {
    let mut gateway = gateway(ENGINES);
    crash_three(&mut gateway);

    gateway.confirm_view(at(QUARANTINED));
    let call = call(&[FIRST, CRASHING]);
    let mut grant = gateway.admit_delegated(at(QUARANTINED), &call, 1).unwrap();
    let refusal = gateway.pick(at(QUARANTINED), &call, &mut grant, &[]).unwrap_err();

    assert_eq!(refusal.reason, Reason::PartQuarantined);
}

/// The part crashes engines just after the first events of their answers, while other calls wait there.
#[test]
fn crashes_after_the_first_event_count() {
    let mut gateway = gateway(ENGINES);
    for n in 0..3 {
        let (grant, mut claim) = send(&mut gateway, 1_000 * n, &[FIRST, CRASHING]).unwrap();
        gateway.record_event(at(1_000 * n + 50), &mut claim);
        gateway.record_event(at(1_000 * n + 80), &mut claim);
        crash(&mut gateway, 1_000 * n + 100, &grant, claim);
    }

    assert!(is_refused(&mut gateway, QUARANTINED, &[FIRST, CRASHING]));
}

/// Long streams run on engines that others crash.
#[test]
fn long_answer_is_not_charged() {
    let mut gateway = gateway(ENGINES);
    for n in 0..4 {
        let (grant, mut claim) = send(&mut gateway, 3_000 * n, &[FIRST]).unwrap();
        gateway.record_event(at(3_000 * n + 50), &mut claim);
        crash(&mut gateway, 3_000 * n + 1_500, &grant, claim);
    }

    assert!(!is_refused(&mut gateway, 20_000, &[FIRST]));
}

/// Engines start again under their ids, without a stated start and before their entries lapse, and
/// answer other calls: that must not strike out their crashes.
#[test]
fn answers_of_restarted_engines_do_not_clear_crashes() {
    let mut gateway = gateway(ENGINES);
    let claims = crash_three(&mut gateway);
    for claim in claims {
        let restarted = sent_at(&claim, 4_500);
        let load = Load { running: 1, waiting: 0, slots: 16, ..Load::default() };
        gateway.record_activity(at(4_600), &restarted, Some(load));
    }

    assert!(is_refused(&mut gateway, QUARANTINED, &[FIRST, CRASHING]));
}

/// One connection to an engine breaks, another one shows that it lives, and then the engine crashes.
#[test]
fn crash_right_after_a_survived_one_counts() {
    let mut gateway = gateway(ENGINES);
    for n in 0..3 {
        let (other, broken) = send(&mut gateway, 1_000 * n, &[FIRST, 5]).unwrap();
        gateway.record_crash(at(1_000 * n + 50), &other, &broken);
        let mut later = sent_at(&broken, 1_000 * n + 60);
        later.connected = Some(at(0));
        gateway.record_activity(at(1_000 * n + 70), &later, None);
        let mut crashing = other.clone();
        crashing.parts = feature::chargeable("engines", &call(&[FIRST, CRASHING]).parts);
        gateway.record_crash(at(1_000 * n + 100), &crashing, &broken);
        gateway.record_end(at(1_000 * n + 100), broken, Outcome::Failed);
    }

    assert!(is_refused(&mut gateway, QUARANTINED, &[FIRST, CRASHING]));
}

/// Connections break while the engines live: old connections still carry data, also of new calls. Peers
/// hear of it.
#[test]
fn engines_that_survived_clear_crashes_at_all_gateways() {
    let (mut gateway, mut peer) = (gateway(ENGINES), gateway(ENGINES));
    let claims = crash_three(&mut gateway);
    peer.receive_crashes(at(2_200), &gateway.gossip_crashes(at(2_200)));
    let old = sent_at(&claims[0], 0);
    let mut quick = sent_at(&claims[2], 2_150);
    quick.connected = Some(at(0));

    gateway.record_activity(at(2_300), &old, None);
    gateway.record_activity(at(2_300), &quick, None);
    peer.receive_crashes(at(2_400), &gateway.gossip_crashes(at(2_400)));

    assert!(!is_refused(&mut gateway, QUARANTINED, &[FIRST, CRASHING]));
    assert!(!is_refused(&mut peer, QUARANTINED, &[FIRST, CRASHING]));
}

/// Data of a crashed engine waits in the buffers of a gateway that is frozen, or whose caller does not
/// read. Read seconds after the crash, it is no sign of life, for this gateway or for another one.
#[test]
fn data_that_waited_to_be_read_clears_no_crash() {
    let mut gateway = gateway(ENGINES);
    let claims = crash_three(&mut gateway);
    let mut unread = sent_at(&claims[0], 0);
    unread.paused = Some(at(4_000));

    gateway.record_tick(at(4_000));
    gateway.record_activity(at(4_010), &unread, None);
    gateway.record_activity(at(4_900), &unread, None);
    let paused = gateway.gossip_crashes(at(4_900)).survivals;
    gateway.record_activity(at(9_000), &sent_at(&claims[0], 0), None);
    gateway.record_tick(at(9_000));
    gateway.record_activity(at(9_050), &sent_at(&claims[0], 0), None);
    let frozen = gateway.gossip_crashes(at(9_050)).survivals;
    gateway.record_tick(at(9_100));
    gateway.record_activity(at(9_150), &sent_at(&claims[0], 0), None);
    let on_time = gateway.gossip_crashes(at(9_150)).survivals;

    assert_eq!((paused.len(), frozen.len(), on_time.len()), (0, 0, 1));
}

/// Messages that waited while a gateway was frozen state ages that are too low: crashes in them would
/// seem later than the answer that cleared them.
#[test]
fn gossip_that_waited_to_be_read_does_not_count() {
    let mut other = gateway(ENGINES);
    crash_three(&mut other);
    let crashes = other.gossip_crashes(at(QUARANTINED - 1_000));
    let mut gateway = gateway(ENGINES);
    gateway.record_tick(at(1_000));

    gateway.receive_crashes(at(9_000), &crashes);
    gateway.record_tick(at(9_000));
    gateway.receive_crashes(at(9_050), &crashes);
    let frozen = gateway.gossip_crashes(at(9_050)).parts.len();
    gateway.record_tick(at(9_100));
    gateway.receive_crashes(at(9_150), &crashes);
    let on_time = gateway.gossip_crashes(at(9_150)).parts.len();

    assert!(!crashes.parts.is_empty());
    assert_eq!(frozen, 0);
    assert!(on_time > 0);
}

/// Most of a service is down because of the part, so that connections to it fail one after another:
/// that must not make the gateway take itself for cut off and forget the crashes.
#[test]
fn crashes_count_while_the_service_seems_out_of_reach() {
    let mut gateway = gateway(ENGINES);
    let (grant, claim) = send(&mut gateway, 0, &[FIRST, CRASHING]).unwrap();
    crash(&mut gateway, 100, &grant, claim);
    let calls: Vec<_> =
        (0..2).map(|_| send(&mut gateway, 200, &[FIRST, CRASHING]).unwrap()).collect();
    let keys: Vec<_> = gateway.fleet().open_replicas("engines").map(|(key, _)| key).collect();
    for key in keys {
        gateway.record_connection(at(300), key, false);
    }
    for (n, (grant, claim)) in (1..).zip(calls) {
        crash(&mut gateway, 1_000 * n, &grant, claim);
    }
    gateway.probes(at(2_500));

    assert!(gateway.is_out_of_reach("engines"));
    let refused = gateway.quarantined_part(at(QUARANTINED), &grant);
    assert!(refused.is_some());
}

/// A whole fleet is killed, and the gateways that start know what the store holds alone.
#[test]
fn stored_parts_are_quarantined_after_a_restart() {
    let mut before = gateway(ENGINES);
    crash_three(&mut before);
    let records = stored(&before, QUARANTINED);

    let mut after = gateway(ENGINES);
    after.restore_parts(at(QUARANTINED), &records);

    assert!(is_refused(&mut after, QUARANTINED, &[FIRST, CRASHING]));
    assert_eq!(after.parts_to_store(at(QUARANTINED), &records), None);
    assert_eq!(before.parts_to_store(at(QUARANTINED), &records), None);
}

/// The store comes back from a copy without the records: they are written again, for each part one at
/// any service and one at its own.
#[test]
fn parts_are_stored_again_after_a_rollback() {
    let mut gateway = gateway(ENGINES);
    crash_three(&mut gateway);

    assert_eq!(stored(&gateway, QUARANTINED).len(), 4);
    assert_eq!(stored(&gateway, 3_600_000).len(), 4);
}

/// An operator ends a quarantine by a time in the stored record, which counts like an answer.
#[test]
fn released_part_is_served_and_removed_from_the_store() {
    let mut gateway = gateway(ENGINES);
    crash_three(&mut gateway);
    let released: Vec<Record> = stored(&gateway, QUARANTINED)
        .into_iter()
        .map(|record| Record { answered_ms: Some(0), ..record })
        .collect();

    gateway.restore_parts(at(QUARANTINED), &released);

    assert!(!is_refused(&mut gateway, QUARANTINED, &[FIRST, CRASHING]));
    assert_eq!(gateway.parts_to_store(at(QUARANTINED), &released), Some(Vec::new()));
}

/// Answers without a length end with their connections, as crashes do. Those of replicas that go on
/// answering clear a part; those of replicas that are gone do not.
#[test]
fn answers_that_end_with_their_connections_count_once_the_engine_lives_on() {
    let end_unframed = |is_alive: bool| {
        let mut gateway = gateway(ENGINES);
        let (grant, claim) = send(&mut gateway, 0, &[FIRST, CRASHING]).unwrap();
        crash_three(&mut gateway);
        gateway.record_unframed(at(2_300), at(2_200), &grant, &claim);
        if is_alive {
            let mut later = sent_at(&claim, 2_350);
            later.connected = Some(at(0));
            gateway.record_activity(at(2_400), &later, None);
        } else {
            let others = listings(ENGINES).into_iter();
            let gone = gateway.fleet().get(claim.replica).unwrap().listing.incarnation.clone();
            let others = others.filter(|listing| listing.incarnation != gone).collect();
            gateway.update_lists(at(3_000), at(3_000), others, Vec::new());
        }
        gateway.reevaluate_parts(at(9_000));
        gateway.quarantined_part(at(9_000), &grant).is_some()
    };

    assert!(!end_unframed(true));
    assert!(end_unframed(false));
}

/// What the list of replicas says after a replica was lost in the middle of an answer.
#[derive(Clone, Copy)]
enum Entry {
    Renewed,
    OfNextIncarnation,
    Lapsed,
    WithoutStart,
    NotRead,
}

/// Ends an answer without a length, with the connection to its replica; returns whether the request is
/// quarantined then, if it had `crashes` before.
fn is_quarantined_after_unframed(entry: Entry, crashes: u64) -> bool {
    let mut gateway = gateway(0);
    let start_ms = !matches!(entry, Entry::WithoutStart);
    let incarnation = |i: usize, start: u64| Incarnation {
        id: format!("engine-{i}"),
        start_ms: start_ms.then_some(start),
    };
    let at_first =
        |i: usize| Listing { incarnation: incarnation(i, 1), ..listings(ENGINES)[i].clone() };
    let list = |gateway: &mut Gateway, ms: u64, all: Vec<Listing>| {
        gateway.record_read(at(ms), None);
        gateway.update_lists(at(ms), at(ms), all, Vec::new());
    };
    list(&mut gateway, 0, (0..ENGINES).map(at_first).collect());
    let request = Some(Fingerprint(7));
    for n in 0..crashes {
        let (mut grant, claim) = send(&mut gateway, 100 * n, &[]).unwrap();
        grant.fingerprint = request;
        crash(&mut gateway, 100 * n + 10, &grant, claim);
    }
    let (mut grant, claim) = send(&mut gateway, 2_200, &[]).unwrap();
    grant.fingerprint = request;
    gateway.record_unframed(at(2_300), at(2_250), &grant, &claim);
    let own = gateway.fleet().get(claim.replica).unwrap().listing.incarnation.id.clone();
    let later = (0..ENGINES).filter_map(|i| match entry {
        Entry::Lapsed if format!("engine-{i}") == own => None,
        Entry::OfNextIncarnation if format!("engine-{i}") == own => {
            Some(Listing { incarnation: incarnation(i, 2), ..at_first(i) })
        }
        _ => Some(at_first(i)),
    });
    let later = later.collect();
    if !matches!(entry, Entry::NotRead) {
        list(&mut gateway, 8_000, later);
    }
    gateway.record_contact(at(8_400));
    gateway.reevaluate_parts(at(8_500));
    gateway.record_contact(at(9_000));
    gateway.reevaluate_quarantine(at(9_000));
    gateway.fingerprints_quarantined(at(9_000)) > 0
}

/// A request crashes replicas in the middle of answers that would end with their connections. Taken
/// for complete ones while the entry of the crashed replica, or of its successor, is listed, these
/// would clear all crashes of the request.
#[test]
fn answers_that_crashes_end_clear_and_excuse_nothing() {
    let crashes = CRASH_THRESHOLD as u64;
    let cases = [
        ("the same incarnation is listed", Entry::Renewed, crashes, false),
        ("a later incarnation is listed", Entry::OfNextIncarnation, crashes, true),
        ("its crash is the last one", Entry::OfNextIncarnation, crashes - 1, true),
        ("its entry lapsed", Entry::Lapsed, crashes - 1, true),
        ("its entry states no start", Entry::WithoutStart, crashes, true),
        ("the list was not read", Entry::NotRead, crashes, true),
    ];

    for (name, entry, before, expected) in cases {
        assert_eq!(is_quarantined_after_unframed(entry, before), expected, "{name}");
    }
}

/// The callers of a request leave, or its replicas seem silent, before they crash under it. Nobody sees
/// the connections break, and the request would crash replicas for good.
#[test]
fn crashes_under_abandoned_runs_count_once_their_replicas_are_gone() {
    let is_quarantined = |are_gone: bool| {
        let mut gateway = gateway(ENGINES);
        let request = Some(Fingerprint(7));
        let mut gone = Vec::new();
        for n in 0..3 {
            let (mut grant, claim) = send(&mut gateway, 1_000 * n, &[]).unwrap();
            gone.push(gateway.fleet().get(claim.replica).unwrap().listing.incarnation.clone());
            gateway.record_abandoned(at(1_000 * n + 50), request, &claim);
            gateway.record_end(at(1_000 * n + 50), claim, Outcome::Cancelled);
            let (later, unreachable) = (at(1_000 * n + 60), Outcome::Unreachable);
            gateway.record_unsent(later, &mut grant, claim.replica, unreachable);
        }
        let others = listings(ENGINES).into_iter();
        let left = others.filter(|l| !are_gone || !gone.contains(&l.incarnation)).collect();
        gateway.record_read(at(8_000), None);
        gateway.update_lists(at(8_000), at(8_000), left, Vec::new());
        gateway.reevaluate_parts(at(8_500));
        gateway.reevaluate_quarantine(at(8_500));
        gateway.fingerprints_quarantined(at(8_500)) > 0
    };

    assert!(is_quarantined(true));
    assert!(!is_quarantined(false));
}

/// A harmless request is retried by its caller and meets three engines that a part crashes. Once the
/// part is known, these crashes do not count against the request.
#[test]
fn bystander_of_a_crashing_part_is_not_quarantined() {
    let mut gateway = gateway(ENGINES);
    let bystander = Fingerprint(77);
    for n in 0..4 {
        let (grant, claim) = send(&mut gateway, 1_000 * n, &[FIRST, CRASHING]).unwrap();
        let mut own = grant.clone();
        own.parts.clear();
        own.fingerprint = Some(bystander);
        if n < 3 {
            gateway.record_crash(at(1_000 * n + 100), &own, &claim);
        }
        crash(&mut gateway, 1_000 * n + 100, &grant, claim);
        if n == 2 {
            break;
        }
    }
    let before = gateway.fingerprints_quarantined(at(2_200));

    gateway.reevaluate_quarantine(at(QUARANTINED));

    assert_eq!(before, 1);
    assert_eq!(gateway.fingerprints_quarantined(at(QUARANTINED)), 0);
    assert!(is_refused(&mut gateway, QUARANTINED, &[FIRST, CRASHING]));
}

/// Without crashes nothing is gossiped, and no decision looks anything up.
#[test]
fn nothing_is_gossiped_without_crashes() {
    let mut gateway = gateway(ENGINES);
    for n in 0..100 {
        let (grant, claim) = send(&mut gateway, 10 * n, &[FIRST, CRASHING]).unwrap();
        gateway.record_answer(at(10 * n + 5), at(10 * n + 1), &grant);
        gateway.record_end(at(10 * n + 5), claim, Outcome::Answered);
    }

    assert!(gateway.gossip_crashes(Time(at(1_000).0)).is_empty());
    assert_eq!(gateway.parts_quarantined(at(1_000)), 0);
}
