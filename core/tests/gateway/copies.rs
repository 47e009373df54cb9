//! Copies of runs: which are made, how many a standby keeps, and when a run may continue from one.

use std::sync::Arc;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::config::Config;
use laburnumwheel_core::gateway::config::Engine;
use laburnumwheel_core::gateway::config::Service;
use laburnumwheel_core::gateway::config::Transfer;
use laburnumwheel_core::gateway::copy;
use laburnumwheel_core::gateway::copy::Candidate;
use laburnumwheel_core::gateway::copy::Evidence;
use laburnumwheel_core::gateway::copy::Gap;
use laburnumwheel_core::gateway::copy::Ledger;
use laburnumwheel_core::gateway::copy::Observation;
use laburnumwheel_core::gateway::copy::Release;
use laburnumwheel_core::gateway::copy::Reservation;
use laburnumwheel_core::gateway::copy::Run;
use laburnumwheel_core::gateway::copy::Sequence;
use laburnumwheel_core::gateway::copy::Verdict;
use laburnumwheel_core::gateway::copy::Watch;
use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::quarantine::Crash;
use laburnumwheel_core::gateway::quarantine::Record;
use laburnumwheel_core::gateway::submission::Submission;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::rendezvous;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::support::START;
use crate::support::config;
use crate::support::entry;
use crate::support::listing;
use crate::support::route;
use crate::support::settings;
use crate::support::submission;

const STANDBY: Digest = Digest(9);

fn engine() -> Engine {
    Engine {
        slots: 16,
        kv_tokens: 100_000,
        tokens_per_event: 5,
        transfer: Some(Transfer { token_bytes: 35_000, link_mbps: 550_000.0 }),
        backups: true,
        copy_ttl: Span::secs(4),
        ..Engine::default()
    }
}

/// A short prompt and a long answer, of a call that is not of the lowest rank.
fn dialogue() -> Run {
    Run {
        prompt_tokens: 700,
        output_tokens: 280,
        prefill_ms: 10.0,
        remaining: Span::secs(10),
        lowest_rank: false,
    }
}

fn copying(engine: Engine) -> Config {
    let service = Service { name: "engines".to_owned(), connections: 500, engine: Some(engine) };
    config(1).with_service(service)
}

/// A gateway before these engines, whose configuration allows copies.
fn gateway(listings: Vec<Listing>) -> Gateway {
    let mut gateway = Gateway::new(settings("one"), START);
    gateway.record_read(START, Some(Arc::new(copying(engine()))));
    gateway.update_lists(START, START, listings, vec![entry("one")]);
    gateway
}

fn at(id: &str, address: &str, domain: &str) -> Listing {
    Listing { address: address.to_owned(), domain: domain.to_owned(), ..listing(id) }
}

/// Three engines on hosts of their own, in one failure domain.
fn three() -> Vec<Listing> {
    (0..3).map(|i| at(&format!("engine-{i}"), &format!("10.0.0.{i}:80"), "mixco")).collect()
}

/// A call of `draft`, which is not idempotent and not of the lowest rank.
fn draft() -> Submission {
    Submission { max_output_tokens: 60, ..submission("draft", &[(1, 300), (2, 400)]) }
}

fn sent(gateway: &mut Gateway, call: &Submission) -> (Grant, Pick) {
    let mut grant = gateway.admit(START, call).unwrap();
    let mut pick = gateway.pick(START, call, &mut grant, &[]).unwrap();
    gateway.record_sent(START, call, &mut grant, &mut pick);
    (grant, pick)
}

fn reservation(run: u64, tokens: u32) -> Reservation {
    Reservation { standby: STANDBY, gateway: 1, run, tokens, ttl_ms: 10_000 }
}

#[test]
fn runs_whose_loss_costs_their_callers_most_are_copied() {
    let engine = engine();

    let copied = dialogue().is_worth_copy(&engine);
    let lowest = Run { lowest_rank: true, ..dialogue() }.is_worth_copy(&engine);
    let short = Run { output_tokens: 10, ..dialogue() }.is_worth_copy(&engine);

    assert_eq!((copied, lowest, short), (true, false, false));
}

/// Copies of long prompts would keep a slow link busy for longer than their engines need to read
/// the prompts again, or than their callers wait.
#[test]
fn runs_whose_copies_cost_more_than_a_repeat_are_not_copied() {
    let transfer = Some(Transfer { token_bytes: 35_000, link_mbps: 1_000.0 });
    let slow = Engine { transfer, ..engine() };
    let patient = Run { prefill_ms: 1e6, remaining: Span::secs(60), ..dialogue() };

    let repeat_is_cheaper = Run { prefill_ms: 100.0, ..patient }.is_worth_copy(&slow);
    let over_in_time = patient.is_worth_copy(&slow);
    let too_late = Run { remaining: Span::secs(2), ..patient }.is_worth_copy(&slow);

    assert_eq!((repeat_is_cheaper, over_in_time, too_late), (false, true, false));
}

#[test]
fn nothing_is_copied_where_engines_keep_no_copies() {
    let without_backups = Engine { backups: false, ..engine() };
    let without_links = Engine { transfer: None, ..engine() };

    assert!(!dialogue().is_worth_copy(&without_backups));
    assert!(!dialogue().is_worth_copy(&without_links));
}

/// A run that may be resumed needs no copy, and an id with a slash could name the copy of another
/// run.
#[test]
fn only_runs_that_may_not_be_resumed_and_have_a_plain_id_are_copied() {
    let mut gateway = gateway(three());
    let (grant, pick) = sent(&mut gateway, &draft());
    let forged = Submission { id: "a/b".into(), ..draft() };
    let chat = Submission { max_output_tokens: 60, ..submission("chat", &[(1, 700)]) };
    let (chat_grant, chat_pick) = sent(&mut gateway, &chat);

    let plan = gateway.plan_copy(START, &draft(), &grant, &pick);
    let forged = gateway.plan_copy(START, &forged, &grant, &pick);
    let resumable = gateway.plan_copy(START, &chat, &chat_grant, &chat_pick);

    assert!(route("chat").idempotent && !route("draft").idempotent);
    assert_ne!(plan.unwrap().address, pick.address);
    assert!(forged.is_none());
    assert!(resumable.is_none());
}

/// Links between failure domains are narrow, and the loss of a host takes all engines on it.
#[test]
fn standby_is_on_another_host_of_the_same_failure_domain() {
    let local = Candidate { same_host: false, other_domain: false, calls: 9.0, hash: 1 };
    let remote = Candidate { other_domain: true, calls: 0.0, ..local };
    let neighbour = Candidate { same_host: true, calls: 0.0, ..local };

    assert_eq!(copy::choose_standby(&[remote, local, neighbour], 5), Some(1));
    assert_eq!(copy::choose_standby(&[neighbour, remote], 5), Some(1));
    assert_eq!(copy::choose_standby(&[neighbour], 5), Some(0));
    assert_eq!(copy::choose_standby(&[], 5), None);
}

/// All gateways see the same loads: if each took the engine with the fewest calls, one engine would
/// hold the copies of all runs.
#[test]
fn copies_of_many_runs_are_spread_over_the_engines() {
    let candidate = |i: u32| Candidate {
        same_host: false,
        other_domain: false,
        calls: f64::from(i),
        hash: rendezvous::hash(&[&i.to_le_bytes()]),
    };
    let candidates: Vec<Candidate> = (0..10).map(candidate).collect();
    let mut held = [0; 10];

    for run in 0..1_000_u32 {
        let run = rendezvous::hash(&[b"run", &run.to_le_bytes()]);
        held[copy::choose_standby(&candidates, run).unwrap()] += 1;
    }

    assert!(held.iter().all(|count| *count <= 300), "{held:?}");
    assert!(held[0] > held[9], "{held:?}");
}

/// A copy of another build can't be continued: a stream must not be joined from two builds.
#[test]
fn standby_has_the_build_of_the_runs_engine() {
    let mut listings = three();
    listings[0].build = Some("v1".to_owned());
    listings[1].build = Some("v2".to_owned());
    listings[2].build = Some("v1".to_owned());
    let mut gateway = gateway(listings);

    for _ in 0..6 {
        let (grant, pick) = sent(&mut gateway, &draft());
        let plan = gateway.plan_copy(START, &draft(), &grant, &pick);
        match pick.build.as_deref() {
            Some("v1") => assert_ne!(plan.unwrap().standby, "engine-1"),
            _ => assert!(plan.is_none()),
        }
    }
}

/// In a burst of all gateways, copies would push the cached prompts of other calls out of a
/// standby's cache.
#[test]
fn copies_take_at_most_a_tenth_of_a_standbys_cache() {
    let mut ledger = Ledger::default();

    let granted = (0..100).filter(|run| ledger.reserve(START, 100_000, &reservation(*run, 980)));

    assert_eq!(granted.count(), 10);
    assert_eq!(ledger.tokens(START, STANDBY), 9_800);
}

/// Runs with tiny copies must not fill the owner's memory.
#[test]
fn owner_counts_a_bounded_number_of_copies() {
    let mut ledger = Ledger::default();

    let granted = (0..10_000).filter(|run| ledger.reserve(START, 1 << 40, &reservation(*run, 1)));

    assert_eq!(granted.count(), 256);
}

/// Two callers that use the same id must not continue from each other's memory.
#[test]
fn standby_keeps_one_copy_under_an_id() {
    let mut ledger = Ledger::default();
    let other = Reservation { gateway: 2, ..reservation(5, 100) };

    assert!(ledger.reserve(START, 100_000, &reservation(5, 100)));
    assert!(!ledger.reserve(START, 100_000, &other));
}

/// A gateway that crashed, or whose release was lost, would otherwise fill the standby for good.
#[test]
fn copies_lapse_without_a_release() {
    let mut ledger = Ledger::default();
    ledger.reserve(START, 100_000, &reservation(5, 100));

    let before = ledger.tokens(START + Span::millis(9_999), STANDBY);
    let after = ledger.tokens(START + Span::secs(10), STANDBY);
    ledger.reserve(
        START + Span::secs(20),
        100_000,
        &Reservation { standby: Digest(1), ..reservation(6, 100) },
    );

    assert_eq!((before, after, ledger.len()), (100, 0, 1));
}

/// The copy of a run that broke off stays at its standby for a while, and only its gateway frees it.
#[test]
fn release_frees_a_gateways_own_copy_when_its_standby_does() {
    let mut ledger = Ledger::default();
    ledger.reserve(START, 100_000, &reservation(5, 100));
    let release = Release { standby: STANDBY, gateway: 1, run: 5, after_ms: 4_000 };

    ledger.release(START, &Release { gateway: 2, after_ms: 0, ..release });
    let foreign = ledger.tokens(START, STANDBY);
    ledger.release(START, &release);
    let kept = ledger.tokens(START + Span::millis(3_999), STANDBY);
    let freed = ledger.tokens(START + Span::millis(4_000), STANDBY);

    assert_eq!((foreign, kept, freed), (100, 100, 0));
}

/// An owner knows the engines of the list only; a malformed reservation names any.
#[test]
fn owner_reserves_no_room_at_an_unknown_engine() {
    let mut gateway = gateway(three());
    let engine = gateway.fleet().iter().next().unwrap().listing.incarnation.digest();

    let unknown = gateway.reserve_copy(START, &reservation(1, 100));
    let known =
        gateway.reserve_copy(START, &Reservation { standby: engine, ..reservation(1, 100) });

    assert_eq!((unknown, known), (false, true));
}

/// An engine that had no copy of a run has no room, and is not asked for a while.
#[test]
fn engine_without_room_holds_no_further_copies() {
    let mut gateway = gateway(three());
    let (grant, pick) = sent(&mut gateway, &draft());
    let first = gateway.plan_copy(START, &draft(), &grant, &pick).unwrap();

    gateway.record_copy_missing(START, first.reservation.standby);
    let second = gateway.plan_copy(START, &draft(), &grant, &pick).unwrap();
    let later = gateway.plan_copy(START + Span::secs(2), &draft(), &grant, &pick).unwrap();
    gateway.record_copy_missing(START, second.reservation.standby);
    let none = gateway.plan_copy(START, &draft(), &grant, &pick);

    assert_ne!(second.standby, first.standby);
    assert_eq!(later.standby, second.standby);
    assert!(none.is_none());
}

fn watch(attempts_left: bool) -> Watch {
    Watch::new(START, START + Span::secs(10), attempts_left)
}

fn ms(ms: u64) -> Time {
    START + Span::millis(ms)
}

#[test]
fn engine_whose_process_has_ended_has_stopped() {
    for observation in [Observation::Refused, Observation::Replaced] {
        let verdict = watch(false).record(ms(2), ms(1), observation);

        assert_eq!(verdict, Verdict::Stopped(Evidence::Ended));
    }
}

/// What an engine reports is up to half a second old, and may be of a time before the run began.
#[test]
fn report_of_a_time_before_the_break_proves_nothing() {
    let mut watch = watch(true);

    let early = watch.record(ms(450), ms(440), Observation::Idle);
    let late = watch.record(ms(510), ms(500), Observation::Idle);

    assert_eq!(early, Verdict::Probe(ms(500)));
    assert_eq!(late, Verdict::Stopped(Evidence::Dropped));
}

/// An engine may work on after its connection was reset, also in its queue.
#[test]
fn engine_that_works_on_is_in_doubt_until_the_end() {
    let mut watch = watch(true);
    let mut at = ms(500);
    let mut probes = 0;

    let verdict = loop {
        probes += 1;
        match watch.record(at, at, Observation::Working) {
            Verdict::Probe(next) => at = next,
            verdict => break verdict,
        }
    };

    assert_eq!(verdict, Verdict::Unknown);
    assert!(probes <= 6 && at < ms(1_500), "{probes} {at:?}");
}

/// One lost packet makes a connection time out although the engine is in reach and works on.
#[test]
fn engine_is_out_of_reach_after_two_timeouts_in_a_row() {
    let mut lost_one = watch(true);
    lost_one.record(ms(250), ms(0), Observation::TimedOut);
    lost_one.record(ms(251), ms(250), Observation::Accepted);

    let again = lost_one.record(ms(750), ms(500), Observation::TimedOut);
    let third = lost_one.record(ms(1_000), ms(750), Observation::TimedOut);

    assert_eq!(again, Verdict::Probe(ms(750)));
    assert_eq!(third, Verdict::Stopped(Evidence::OutOfReach));
}

/// A route limits the engines that a call may be sent to while the earlier ones live.
#[test]
fn live_engine_that_dropped_a_run_counts_as_an_attempt() {
    let verdict = watch(false).record(ms(510), ms(500), Observation::Idle);

    assert_eq!(verdict, Verdict::Unknown);
}

#[test]
fn probes_end_at_the_callers_deadline() {
    let mut watch = Watch::new(START, ms(300), true);

    let verdict = watch.record(ms(1), ms(0), Observation::Accepted);

    assert_eq!(verdict, Verdict::Unknown);
}

/// A probe that lasts beyond the deadline is the last one: its caller has left.
#[test]
fn no_probe_begins_after_the_callers_deadline() {
    let mut watch = Watch::new(START, ms(600), true);

    let verdict = watch.record(ms(700), ms(450), Observation::Accepted);

    assert_eq!(verdict, Verdict::Unknown);
}

/// A doubled, missing or foreign event must not reach the caller of a continued run.
#[test]
fn continued_run_has_each_event_once_and_in_order() {
    let check = |events: &str| Sequence::after(b"7").unwrap().check(events.as_bytes());

    assert_eq!(check("id: 8\ndata: a\n\nid:9\r\ndata: b\r\n\r\n"), Ok(()));
    assert_eq!(check(": still here\n\nversion: 3\nid: 8\ndata: a\n\n"), Ok(()));
    for events in [
        "id: 7\ndata: a\n\n",
        "id: 9\ndata: a\n\n",
        "id: 8\ndata: a\n\nid: 8\ndata: a\n\n",
        "id: 8\nid: 9\ndata: a\n\n",
        "data: a\n\n",
        "id: x\ndata: a\n\n",
        "id: 8\ndata: a\n",
    ] {
        assert_eq!(check(events), Err(Gap), "{events:?}");
    }
    assert!(Sequence::after(b"a7").is_none());
    assert_eq!(
        Sequence::after(u64::MAX.to_string().as_bytes()).unwrap().check(b"id: 0\n\n"),
        Err(Gap)
    );
}

/// Guards against events that a caller gets twice from a replica that resumes a stream too early.
#[test]
fn resumed_stream_has_increasing_numbers() {
    let check = |events: &str| Sequence::resumed_after(b"7").unwrap().check(events.as_bytes());

    assert_eq!(check("id: 8\ndata: a\n\nid:9\r\ndata: b\r\n\r\n"), Ok(()));
    assert_eq!(check("id: 9\ndata: a\n\n: ping\n\nid: 20\ndata: b\n\ndata: end\n\n"), Ok(()));
    for events in [
        "id: 7\ndata: a\n\n",
        "id: 1\ndata: a\n\n",
        "id: 9\ndata: a\n\nid: 8\ndata: a\n\n",
        "id: 8\ndata: a\n\nid: 8\ndata: a\n\n",
        "id: 8\nid: 9\ndata: a\n\n",
        "id: x\ndata: a\n\n",
        "id:\ndata: a\n\n",
        "id: 8\ndata: a\n",
    ] {
        assert_eq!(check(events), Err(Gap), "{events:?}");
    }
    for last in [&b""[..], b"a7", b"+7", b"-7", b"7 ", b"18446744073709551616"] {
        assert!(Sequence::resumed_after(last).is_none(), "{last:?}");
    }
}

/// The request crashed engines at other gateways meanwhile. It must not crash its standby as well.
#[test]
fn run_with_a_quarantined_request_does_not_continue() {
    let mut gateway = gateway(three());
    let fingerprint = Fingerprint(77);
    let (mut grant, first) = sent(&mut gateway, &draft());
    grant.fingerprint = Some(fingerprint);
    let plan = gateway.plan_copy(START, &draft(), &grant, &first).unwrap();
    let allowed = gateway.pick_standby(START, &draft(), &mut grant, &first, &plan);

    for replica in 20..24 {
        let crash = Crash { replica: Digest(replica), age_ms: 0 };
        let record = Record { fingerprint, crashes: vec![crash], answered_ms: None };
        gateway.restore_quarantine(START, &[record]);
    }
    let quarantined = gateway.fingerprints_quarantined(START);
    let denied = gateway.pick_standby(START, &draft(), &mut grant, &first, &plan);

    assert_eq!(allowed.unwrap().id, plan.standby);
    assert_eq!(quarantined, 1);
    assert!(denied.is_none());
}

/// An earlier run of the request crashed another engine: the request may be what crashes them.
#[test]
fn run_of_a_request_that_crashed_another_engine_does_not_continue() {
    let mut gateway = gateway(three());
    let fingerprint = Fingerprint(77);
    let (mut grant, first) = sent(&mut gateway, &draft());
    grant.fingerprint = Some(fingerprint);
    let plan = gateway.plan_copy(START, &draft(), &grant, &first).unwrap();
    gateway.record_crash(START, &grant, &first.claim);
    let after_its_own = gateway.pick_standby(START, &draft(), &mut grant, &first, &plan);

    let crash = Crash { replica: Digest(20), age_ms: 60_000 };
    let record = Record { fingerprint, crashes: vec![crash], answered_ms: None };
    gateway.restore_quarantine(START, &[record]);
    let after_another = gateway.pick_standby(START, &draft(), &mut grant, &first, &plan);

    assert!(after_its_own.is_some());
    assert_eq!(gateway.fingerprints_quarantined(START), 0);
    assert!(after_another.is_none());
}

/// A standby that was replaced, that broke off or that has another address now does not have the
/// copy.
#[test]
fn run_does_not_continue_at_another_incarnation_of_its_standby() {
    let mut gateway = gateway(three());
    let (mut grant, first) = sent(&mut gateway, &draft());
    let plan = gateway.plan_copy(START, &draft(), &grant, &first).unwrap();
    let mut listings = three();
    for listing in listings.iter_mut().filter(|l| l.incarnation.id == plan.standby) {
        listing.address = "10.0.9.9:80".to_owned();
    }

    gateway.update_lists(ms(100), ms(100), listings, vec![entry("one")]);
    let denied = gateway.pick_standby(ms(100), &draft(), &mut grant, &first, &plan);

    assert!(denied.is_none());
    gateway.record_end(ms(100), first.claim, Outcome::Failed);
}
