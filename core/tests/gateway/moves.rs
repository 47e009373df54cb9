//! Moves of runs: which leave engines that end, where they go, and what follows from the answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::MovePlan;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::config::Engine;
use laburnumwheel_core::gateway::config::Organisation;
use laburnumwheel_core::gateway::config::Service;
use laburnumwheel_core::gateway::config::Transfer;
use laburnumwheel_core::gateway::departure;
use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::fleet::Certainty;
use laburnumwheel_core::gateway::fleet::Claim;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::gossip::Observation;
use laburnumwheel_core::gateway::moves;
use laburnumwheel_core::gateway::moves::Next;
use laburnumwheel_core::gateway::moves::Obstacle;
use laburnumwheel_core::gateway::moves::Passes;
use laburnumwheel_core::gateway::moves::Progress;
use laburnumwheel_core::gateway::moves::Reply;
use laburnumwheel_core::gateway::moves::Run;
use laburnumwheel_core::gateway::moves::Sent;
use laburnumwheel_core::gateway::moves::Step;
use laburnumwheel_core::gateway::moves::Stream;
use laburnumwheel_core::gateway::moves::Verdict;
use laburnumwheel_core::gateway::quarantine::Crash;
use laburnumwheel_core::gateway::quarantine::Record;
use laburnumwheel_core::gateway::submission::Submission;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::support::START;
use crate::support::config;
use crate::support::entry;
use crate::support::listing;
use crate::support::settings;
use crate::support::submission;

/// Time between the events of the tests' streams.
const GAP: Span = Span::millis(100);

fn engine() -> Engine {
    Engine {
        slots: 16,
        kv_tokens: 100_000,
        tokens_per_event: 5,
        transfer: Some(Transfer { token_bytes: 35_000, link_mbps: 550_000.0 }),
        moves: true,
        copy_ttl: Span::secs(4),
        ..Engine::default()
    }
}

/// A conversation in the middle of a long answer.
fn dialogue() -> Run {
    Run {
        tokens: 900,
        rest_tokens: 150,
        rest: Span::secs(3),
        spent: Span::secs(1),
        remaining: Span::secs(10),
    }
}

fn gateway_with(engine: Engine, listings: Vec<Listing>) -> Gateway {
    let mut gateway = Gateway::new(settings("one"), START);
    let service = Service { name: "engines".to_owned(), connections: 500, engine: Some(engine) };
    gateway.record_read(START, Some(Arc::new(config(1).with_service(service))));
    gateway.update_lists(START, START, listings, vec![entry("one")]);
    gateway
}

fn gateway(listings: Vec<Listing>) -> Gateway {
    gateway_with(engine(), listings)
}

fn engines(count: usize) -> Vec<Listing> {
    let at = |i: usize| format!("10.0.{}.{}:80", i / 250, i % 250);
    (0..count).map(|i| Listing { address: at(i), ..listing(&format!("engine-{i}")) }).collect()
}

/// A call of `draft` with an answer of 200 tokens, or 40 events.
fn draft(id: u32) -> Submission {
    let call = submission("draft", &[(1, 300), (2, 400)]);
    Submission { id: format!("run-{id}").into(), max_output_tokens: 200, ..call }
}

/// A stream that has sent `events` events, one each [`GAP`].
struct Sending {
    call: Submission,
    grant: Grant,
    pick: Pick,
    claim: Claim,
    progress: Progress,
    /// Time of the last event.
    at: Time,
}

fn sending(gateway: &mut Gateway, id: u32, events: u64) -> Sending {
    let call = draft(id);
    let mut grant = gateway.admit(START, &call).unwrap();
    let mut pick = gateway.pick(START, &call, &mut grant, &[]).unwrap();
    gateway.record_sent(START, &call, &mut grant, &mut pick);
    let mut claim = pick.claim;
    let mut at = START;
    for _ in 0..events {
        at = at + GAP;
        gateway.record_event(at, &mut claim);
    }
    let progress = Progress { events, events_here: events };
    Sending { call, grant, pick, claim, progress, at }
}

/// Makes the gateway know at `at` that an engine leaves.
fn leave(gateway: &mut Gateway, at: Time, engine: Digest) {
    let record = departure::Record { replica: engine, age_ms: 0 };
    gateway.receive_departures(at, &[record]);
}

fn plan_at(gateway: &Gateway, now: Time, run: &Sending) -> Option<MovePlan> {
    gateway.plan_move(now, &run.call, &run.grant, &run.claim, run.progress, None)
}

fn plan(gateway: &Gateway, run: &Sending) -> Option<MovePlan> {
    plan_at(gateway, run.at, run)
}

fn handle() -> Bytes {
    Bytes::from_static(b"h1")
}

#[test]
fn rest_of_a_run_is_worth_its_copy_if_it_costs_less_than_it_saves() {
    let engine = engine();
    let slow =
        Engine { transfer: Some(Transfer { token_bytes: 35_000, link_mbps: 1_000.0 }), ..engine };
    let worth = |run: Run, engine: &Engine| run.is_worth_move(engine, false);

    assert!(worth(dialogue(), &engine));
    // The last events arrive before the move is over.
    assert!(!worth(Run { rest_tokens: 14, ..dialogue() }, &engine));
    // 900 tokens take 250 ms on the slow link: a new run would be as far sooner, or the caller has
    // left by then.
    assert!(worth(dialogue(), &slow));
    assert!(!worth(Run { spent: Span::millis(200), ..dialogue() }, &slow));
    assert!(!worth(Run { remaining: Span::secs(2), ..dialogue() }, &slow));
    assert!(!Run { spent: Span::millis(300), ..dialogue() }.is_worth_move(&slow, true));
    assert!(!worth(dialogue(), &Engine { moves: false, ..engine }));
    assert!(!worth(dialogue(), &Engine { transfer: None, ..engine }));
}

/// An engine that serves for long enough is not left, and one that does not say so is not trusted
/// for longer than two seconds from when it was known to leave.
#[test]
fn run_leaves_if_it_is_expected_to_outlast_its_engine() {
    let short = Run { rest: Span::millis(800), ..dialogue() };

    assert!(!dialogue().outlasts(Span(0), Some(Span::secs(4))));
    assert!(dialogue().outlasts(Span(0), Some(Span::millis(3_500))));
    assert!(dialogue().outlasts(Span(0), None));
    assert!(!short.outlasts(Span::millis(500), None));
    assert!(short.outlasts(Span::millis(1_100), None));
    assert!(short.outlasts(Span(0), Some(Span(0))));
}

#[test]
fn run_is_stopped_once_a_copy_is_shorter_than_its_caller_bears() {
    let pause = Span::millis(200);
    let mut passes = Passes::new(pause, START + Span::secs(1));

    let long = passes.record(START, Span::millis(101), &Reply::Copied(handle()));
    let busy = passes.record(START, Span::millis(1), &Reply::Busy);
    let short = passes.record(START, Span::millis(100), &Reply::Copied(handle()));

    assert_eq!((long, busy, short), (Step::Copy, Step::Wait, Step::Stop));
}

/// A narrow link never catches up with the tokens that the run adds.
#[test]
fn run_stays_if_its_copies_do_not_become_shorter() {
    let mut passes = Passes::new(Span::millis(200), START + Span::secs(9));
    let reply = Reply::Copied(handle());
    let mut copies = 1;

    while passes.record(START, Span::millis(300), &reply) == Step::Copy {
        copies += 1;
    }

    assert_eq!(copies, 3);
}

#[test]
fn run_stays_if_its_copy_fails_or_is_late() {
    let end = START + Span::millis(600);
    let step = |now, reply| Passes::new(Span::millis(200), end).record(now, Span(0), &reply);

    let late = step(end, Reply::Copied(handle()));
    let gone = step(START, Reply::NotRunning);
    let refused = step(START, Reply::Refused(None));
    let unclear = step(START, Reply::Unclear);

    assert_eq!(late, Step::Abandon(Obstacle::TooSlow));
    assert_eq!(gone, Step::Abandon(Obstacle::NotRunning));
    assert_eq!(refused, Step::Abandon(Obstacle::Refused));
    assert_eq!(unclear, Step::Abandon(Obstacle::Unclear));
}

/// A run must not be at work at two engines, and a stream that was stopped must not look complete.
#[test]
fn run_continues_elsewhere_only_after_its_source_has_confirmed_the_stop() {
    let streams = [Stream::Open, Stream::Ended, Stream::Broken];
    let judge = |reply: Reply| streams.map(|stream| moves::judge_stop(&reply, stream));
    let unconfirmed = [Verdict::Doubt, Verdict::Broken, Verdict::Broken];

    assert_eq!(judge(Reply::Copied(handle())), [(); 3].map(|()| Verdict::Continue(handle())));
    assert_eq!(judge(Reply::Refused(Some(handle()))), [(); 3].map(|()| Verdict::Return(handle())));
    assert_eq!(judge(Reply::NotRunning), [Verdict::Stay, Verdict::Complete, Verdict::Broken]);
    assert_eq!(judge(Reply::Refused(None)), unconfirmed);
    assert_eq!(judge(Reply::Busy), unconfirmed);
    assert_eq!(judge(Reply::Unclear), unconfirmed);
}

#[test]
fn stopped_run_goes_to_a_second_engine_only_if_the_first_does_not_work_on_it() {
    assert_eq!(moves::judge_sent(Sent::Continued, false), Next::Done);
    assert_eq!(moves::judge_sent(Sent::NotRun, false), Next::Source);
    assert_eq!(moves::judge_sent(Sent::NotRun, true), Next::Abort(Obstacle::NotTaken));
    assert_eq!(moves::judge_sent(Sent::Unknown, false), Next::Abort(Obstacle::InDoubt));
    assert_eq!(moves::judge_sent(Sent::Unknown, true), Next::Abort(Obstacle::InDoubt));
}

/// An engine with a full batch is drained. If its runs all went to the engine with the fewest calls,
/// that one would be overloaded at once.
#[test]
fn runs_of_a_drained_engine_spread_over_the_others() {
    let mut gateway = gateway(engines(20));
    let mut runs: Vec<Sending> = (0..600).map(|id| sending(&mut gateway, id, 5)).collect();
    let source = runs[0].claim.incarnation;
    runs.retain(|run| run.claim.incarnation == source);
    let at = runs[0].at;
    leave(&mut gateway, at, source);
    let mut received: BTreeMap<String, usize> = BTreeMap::new();

    for run in &runs {
        let plan = plan(&gateway, run).unwrap();
        *received.entry(plan.destination.standby).or_default() += 1;
    }

    let most = received.values().max().copied().unwrap_or_default();
    assert!(runs.len() >= 10, "{}", runs.len());
    assert!(most <= runs.len().div_ceil(3), "{most} of {}", runs.len());
}

#[test]
fn run_stays_while_its_engine_is_open() {
    let mut gateway = gateway(engines(3));
    let run = sending(&mut gateway, 1, 5);

    assert!(plan(&gateway, &run).is_none());
    leave(&mut gateway, run.at, run.claim.incarnation);
    assert_ne!(plan(&gateway, &run).unwrap().destination.address, run.pick.address);
}

/// The list of replicas says that the engine leaves, or lacks it.
#[test]
fn run_leaves_an_engine_that_the_list_closes() {
    for is_listed in [true, false] {
        let mut gateway = gateway(engines(3));
        let run = sending(&mut gateway, 1, 5);
        let mut listings = engines(3);
        for listing in listings.iter_mut().filter(|l| l.incarnation.id == run.pick.id) {
            listing.leaving = true;
        }
        listings.retain(|listing| is_listed || !listing.leaving);

        gateway.update_lists(run.at, run.at, listings, vec![entry("one")]);
        let in_time = plan_at(&gateway, run.at + Span::millis(599), &run);
        let late = plan_at(&gateway, run.at + Span::millis(600), &run);

        assert!(in_time.is_some_and(|plan| plan.leaving_since == run.at), "{is_listed}");
        assert!(late.is_none(), "{is_listed}");
    }
}

/// An engine that is listed as ready again runs on: only its lease had expired.
#[test]
fn run_stays_at_an_engine_that_is_back_in_the_list() {
    let mut gateway = gateway(engines(3));
    let run = sending(&mut gateway, 1, 5);
    let others = engines(3).into_iter().filter(|l| l.incarnation.id != run.pick.id).collect();
    gateway.update_lists(run.at, run.at, others, vec![entry("one")]);
    let missing = plan(&gateway, &run);

    gateway.update_lists(run.at, run.at, engines(3), vec![entry("one")]);

    assert!(missing.is_some());
    assert!(plan(&gateway, &run).is_none());
}

/// Before the second event the pace of a run, and so its rest, is unknown.
#[test]
fn rest_of_a_run_is_estimated_from_its_events() {
    let mut gateway = gateway(engines(3));
    let first = sending(&mut gateway, 1, 1);
    let run = sending(&mut gateway, 2, 5);
    let at = run.at;
    leave(&mut gateway, at, first.claim.incarnation);
    leave(&mut gateway, at, run.claim.incarnation);
    let passed = Submission { length_hint: Some(20), ..run.call.clone() };
    let plan_of = |call: &Submission, run: &Sending| {
        gateway.plan_move(at, call, &run.grant, &run.claim, run.progress, None)
    };

    let unknown = plan_of(&first.call, &first);
    let known = plan_of(&run.call, &run).unwrap().run;
    let passed = plan_of(&passed, &run).unwrap().run;

    assert!(unknown.is_none());
    assert_eq!((known.tokens, known.rest_tokens, known.rest), (725, 175, Span(GAP.0 * 35)));
    assert_eq!(passed.rest_tokens, 175);
}

/// A destination has the build of the source, is another one than the standby of the run's copy, and
/// can copy: a stream must not be joined from two builds.
#[test]
fn destination_can_continue_the_run() {
    let mut listings = engines(4);
    for (i, listing) in listings.iter_mut().enumerate() {
        listing.build = Some(if i == 3 { "v2" } else { "v1" }.to_owned());
    }
    let mut gateway = gateway(listings);
    let run = (0..20)
        .map(|id| sending(&mut gateway, id, 5))
        .find(|run| run.pick.build.as_deref() == Some("v1"))
        .unwrap();
    leave(&mut gateway, run.at, run.claim.incarnation);
    let standby = |standby| {
        gateway.plan_move(run.at, &run.call, &run.grant, &run.claim, run.progress, standby)
    };

    let first = standby(None).unwrap().destination;
    let second = standby(Some(first.reservation.standby)).unwrap().destination;
    gateway.record_copy_missing(run.at, first.reservation.standby);
    gateway.record_copy_missing(run.at, second.reservation.standby);
    let none = plan(&gateway, &run);

    assert_ne!(first.standby, second.standby);
    assert!(![&first.standby, &second.standby].contains(&&"engine-3".to_owned()));
    assert!(none.is_none());
}

/// Guards against a run on a route without resumption that is moved to another build than its own, since its
/// engine has started again under its id and the list names the build of the successor.
#[test]
fn origin_of_a_run_that_can_not_be_resumed_is_known_to_its_moves() {
    let mut listings = engines(2);
    listings.iter_mut().for_each(|listing| listing.build = Some("v1".to_owned()));
    let mut gateway = gateway(listings.clone());
    let mut run = sending(&mut gateway, 1, 1);
    gateway.record_stream(START, &run.call, &mut run.grant, &run.claim);
    let before = gateway.origin_certainty(&run.grant);
    let is_source = |listing: &&mut Listing| listing.incarnation.id == run.pick.id;
    listings.iter_mut().find(is_source).unwrap().build = Some("v2".to_owned());
    let next = START + Span::millis(500);

    gateway.update_lists(next, next, listings, vec![entry("one")]);

    assert!(!run.grant.route.idempotent);
    assert_eq!(before, Certainty::Pending);
    assert_eq!(gateway.origin_certainty(&run.grant), Certainty::Doubtful);
}

/// A stopped run returns to its source within a second from when that was known to leave; an engine
/// that leaves must get no request later.
#[test]
fn stopped_run_returns_while_its_source_may_get_requests() {
    let mut gateway = gateway(engines(3));
    let mut run = sending(&mut gateway, 1, 5);
    leave(&mut gateway, run.at, run.claim.incarnation);
    let (call, grant) = (&run.call, &mut run.grant);

    let in_time = gateway.pick_source(run.at + Span::secs(1), call, grant, &run.pick);
    let late = gateway.pick_source(run.at + Span(1_000_001), call, grant, &run.pick);

    assert_eq!(in_time.unwrap().address, run.pick.address);
    assert!(late.is_none());
    gateway.record_end(run.at, run.claim, Outcome::Cancelled);
}

/// The request crashes engines at other gateways while its run moves. It must reach neither engine.
#[test]
fn stopped_run_of_a_quarantined_request_goes_nowhere() {
    let mut gateway = gateway(engines(3));
    let mut run = sending(&mut gateway, 1, 5);
    run.grant.fingerprint = Some(Fingerprint(77));
    leave(&mut gateway, run.at, run.claim.incarnation);
    let plan = plan(&gateway, &run).unwrap();
    let crashes = (20..24).map(|i| Crash { replica: Digest(i), age_ms: 0 }).collect();
    let record = Record { fingerprint: Fingerprint(77), crashes, answered_ms: None };

    gateway.restore_quarantine(run.at, &[record]);
    let (call, grant) = (&run.call, &mut run.grant);
    let there = gateway.pick_standby(run.at, call, grant, &plan.source, &plan.destination);
    let back = gateway.pick_source(run.at, call, grant, &plan.source);

    assert_eq!(gateway.fingerprints_quarantined(run.at), 1);
    assert!(there.is_none() && back.is_none());
}

/// The key is revoked, or the deadline passes, while the run moves.
#[test]
fn stopped_run_that_is_no_longer_allowed_goes_nowhere() {
    let mut gateway = gateway(engines(3));
    let mut run = sending(&mut gateway, 1, 5);
    leave(&mut gateway, run.at, run.claim.incarnation);
    let plan = plan(&gateway, &run).unwrap();
    let (call, grant) = (&run.call, &mut run.grant);
    let deadline = grant.deadline;
    let late = gateway.pick_source(deadline, call, grant, &plan.source);
    let museum = Organisation { name: "museum".to_owned(), priority: None };
    let revoked = config(2).with_organisation(museum, []);

    let keyless = Submission { key: Some(Bytes::from_static(b"another")), ..call.clone() };
    gateway.record_read(run.at, Some(Arc::new(revoked)));
    let there = gateway.pick_standby(run.at, &keyless, grant, &plan.source, &plan.destination);
    let back = gateway.pick_source(run.at, &keyless, grant, &plan.source);

    assert!(late.is_none() && there.is_none() && back.is_none());
}

/// An id with a slash could name the memory of another run.
#[test]
fn run_with_an_unusual_id_stays() {
    let mut gateway = gateway(engines(3));
    let mut run = sending(&mut gateway, 1, 5);
    leave(&mut gateway, run.at, run.claim.incarnation);
    run.call.id = "a/b".into();

    assert!(plan(&gateway, &run).is_none());
}

#[test]
fn nothing_moves_where_the_configuration_does_not_allow_it() {
    let mut gateway = gateway_with(Engine { moves: false, ..engine() }, engines(3));
    let run = sending(&mut gateway, 1, 5);
    leave(&mut gateway, run.at, run.claim.incarnation);

    assert!(!gateway.can_move(&run.grant));
    assert!(plan(&gateway, &run).is_none());
}

/// A stream on a fast engine would be late on a slow one whatever runs beside it.
#[test]
fn run_does_not_move_to_a_slower_engine() {
    let mut gateway = gateway(engines(4));
    let run = sending(&mut gateway, 1, 5);
    leave(&mut gateway, run.at, run.claim.incarnation);
    let destination = plan(&gateway, &run).unwrap().destination;
    let digests: Vec<Digest> =
        gateway.fleet().iter().map(|replica| replica.listing.incarnation.digest()).collect();
    let slow = destination.reservation.standby;

    // A word has the class in its upper five bits.
    let pace = |replica: Digest| if replica == slow { 12 << 3 | 1 } else { 4 << 3 | 1 };
    let loads = digests.iter().map(|replica| Observation {
        replica: *replica,
        running: 0,
        waiting: 0,
        age_ms: 0,
        pace: pace(*replica),
    });
    let mut heartbeat = Gateway::new(settings("two"), START).heartbeat(START);
    heartbeat.loads = loads.collect();
    gateway.receive(run.at, &heartbeat);
    let another = plan(&gateway, &run).unwrap().destination;

    assert_ne!(another.standby, destination.standby);
}
