//! Replicas of several builds: where streams that have begun go on.

use std::collections::BTreeSet;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::build::Build;
use laburnumwheel_core::gateway::directory;
use laburnumwheel_core::gateway::fleet::Claim;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::limit::Statement;
use laburnumwheel_core::gateway::origin::Answer;
use laburnumwheel_core::gateway::origin::Call;
use laburnumwheel_core::gateway::origin::Origin;
use laburnumwheel_core::gateway::origin::Own;
use laburnumwheel_core::gateway::origin::Question;
use laburnumwheel_core::gateway::origin::Record;
use laburnumwheel_core::gateway::origin::Table;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::submission::Submission;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::incarnation::Incarnation;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::support::START;
use crate::support::entry;
use crate::support::gateway;
use crate::support::listing;
use crate::support::submission;

/// Streams of one check.
const STREAMS: usize = 40;

/// Most origins that a gateway keeps.
const MAX_ORIGINS: u64 = 200_000;

fn built(id: &str, build: &str) -> Listing {
    Listing { build: Some(build.to_owned()), ..listing(id) }
}

/// Three replicas of each of two builds.
fn mixed() -> Vec<Listing> {
    let of = |n: usize| built(&format!("engine-{n}"), ["v1", "v2"][n % 2]);
    (0..6).map(of).collect()
}

fn update(gateway: &mut Gateway, now: Time, replicas: &[Listing]) {
    gateway.record_read(now, None);
    gateway.update_lists(now, now, replicas.to_vec(), vec![entry("one")]);
}

fn gateway_before(replicas: &[Listing]) -> Gateway {
    let mut gateway = gateway(0);
    update(&mut gateway, START, replicas);
    gateway
}

fn call(id: &str) -> Submission {
    Submission { id: id.to_owned().into(), ..submission("chat", &[]) }
}

/// A caller's attempt to resume the stream that `first` began.
fn resumption(id: &str, first: &str) -> Submission {
    Submission { last_event: Some("3".into()), resumes: Some(first.to_owned().into()), ..call(id) }
}

fn pick(gateway: &mut Gateway, now: Time, call: &Submission, grant: &mut Grant) -> Option<Pick> {
    gateway.pick(now, call, grant, &[]).ok()
}

/// Begins a stream; returns its grant and its pick.
fn begin(gateway: &mut Gateway, now: Time, call: &Submission) -> (Grant, Pick) {
    let mut grant = gateway.admit(now, call).unwrap();
    let mut pick = pick(gateway, now, call, &mut grant).unwrap();
    gateway.record_sent(now, call, &mut grant, &mut pick);
    gateway.record_event(now, &mut pick.claim);
    gateway.record_stream(now, call, &mut grant, &pick.claim);
    (grant, pick)
}

/// Breaks off a stream and picks the replica at which it is resumed.
fn resume(
    gateway: &mut Gateway,
    now: Time,
    call: &Submission,
    (mut grant, pick): (Grant, Pick),
) -> Result<Pick, Reason> {
    gateway.record_crash(now, &grant, &pick.claim);
    gateway.record_end(now, pick.claim, Outcome::Failed);
    gateway.confirm_origin(call, &mut grant);
    gateway.pick(now, call, &mut grant, &[]).map_err(|refusal| refusal.reason)
}

/// Admits a call that resumes a stream, which asks no other gateway.
fn resume_by_caller(gateway: &mut Gateway, now: Time, call: &Submission) -> Result<Pick, Reason> {
    let mut grant = gateway.admit(now, call).unwrap();
    match gateway.resolve_origin(now, call, &mut grant) {
        Ok(None) => {}
        Ok(Some(_)) => {
            gateway.record_answers(now, &mut grant, 0, &[]).map_err(|refusal| refusal.reason)?;
        }
        Err(refusal) => return Err(refusal.reason),
    }
    gateway.pick(now, call, &mut grant, &[]).map_err(|refusal| refusal.reason)
}

fn calls() -> impl Iterator<Item = Submission> {
    (0..STREAMS).map(|n| call(&format!("call-{n}")))
}

/// Guards against streams that are resumed at a replica of another build.
#[test]
fn stream_is_resumed_at_its_own_build() {
    let mut gateway = gateway_before(&mixed());

    for call in calls() {
        let begun = begin(&mut gateway, START, &call);
        let build = begun.1.build.clone();
        let resumed = resume(&mut gateway, START, &call, begun).unwrap();
        assert_eq!(resumed.build, build);
    }
}

/// Guards against streams that go on at a replica which may have restarted with another build, as its
/// connections have just broken, while another one has their build for certain.
#[test]
fn stream_is_resumed_where_no_connection_has_just_broken() {
    let replicas = [built("engine-0", "v1"), built("engine-1", "v1"), built("engine-2", "v1")];
    for n in 0..STREAMS {
        let mut gateway = gateway_before(&[&replicas[..], &[built("engine-3", "v2")]].concat());
        let (call, other) = (call(&format!("call-{n}")), call("other"));
        let begun = begin(&mut gateway, START, &call);
        if begun.1.build.as_deref() != Some("v1") {
            continue;
        }
        let mut grant = gateway.admit(START, &other).unwrap();
        grant.tried.push(begun.1.claim.replica);
        let broken = pick(&mut gateway, START, &other, &mut grant).unwrap();
        gateway.record_crash(START, &grant, &broken.claim);

        let resumed = resume(&mut gateway, START, &call, begun).unwrap();

        assert_ne!(resumed.id, broken.id);
        assert_eq!(resumed.build.as_deref(), Some("v1"));
    }
}

/// Guards against limits and cooldowns that make a stream go on at another build, or that let it wait
/// for replicas of another build.
#[test]
fn stream_waits_for_its_own_build_only() {
    for at_limit in [false, true] {
        let mut gateway = gateway_before(&mixed());
        let call = call("call-1");
        let begun = begin(&mut gateway, START, &call);
        let build = begun.1.build.clone();
        let same: Vec<_> = gateway
            .fleet()
            .open_replicas("engines")
            .filter(|(_, r)| r.listing.build == build)
            .map(|(key, r)| (key, r.listing.incarnation.digest()))
            .collect();
        for (replica, incarnation) in same {
            let mut claim: Claim = begun.1.claim;
            claim.replica = replica;
            claim.incarnation = incarnation;
            if at_limit {
                gateway.record_limit(START, &claim, Statement::Rate(0.0));
            } else {
                gateway.record_cooldown(START, &claim, Span::secs(5));
            }
        }

        let resumed = resume(&mut gateway, START, &call, begun);

        match at_limit {
            // A replica with a limit is picked, and the call then asks for its permit.
            true => assert_eq!(resumed.unwrap().build, build),
            false => assert_eq!(resumed.unwrap_err(), Reason::CoolingDown),
        }
    }
}

/// Guards against callers that return when replicas of another build take calls again.
#[test]
fn refused_stream_returns_when_its_own_build_takes_calls() {
    let mut gateway = gateway_before(&mixed());
    let call = call("call-1");
    let (mut grant, begun) = begin(&mut gateway, START, &call);
    let own = Span::secs(5);
    let listed: Vec<_> = gateway
        .fleet()
        .open_replicas("engines")
        .map(|(key, r)| (key, r.listing.incarnation.digest(), r.listing.build == begun.build))
        .collect();
    for (replica, incarnation, is_own) in listed {
        let mut claim: Claim = begun.claim;
        claim.replica = replica;
        claim.incarnation = incarnation;
        gateway.record_cooldown(START, &claim, if is_own { own } else { Span::millis(500) });
    }

    let refusal = gateway.pick(START, &call, &mut grant, &[]).unwrap_err();

    assert_eq!(refusal.reason, Reason::CoolingDown);
    assert!(refusal.retry_after >= own, "{refusal:?}");
}

/// Guards against streams that wait, or go on elsewhere, when no replica has their build any more.
#[test]
fn stream_whose_build_is_gone_is_refused_at_once() {
    let mut gateway = gateway_before(&mixed());
    let call = call("call-1");
    let begun = begin(&mut gateway, START, &call);
    let build = begun.1.build.clone();
    let rest: Vec<Listing> = mixed().into_iter().filter(|l| l.build != build).collect();
    let later = START + Span::millis(500);
    update(&mut gateway, later, &rest);

    let resumed = resume(&mut gateway, later, &call, begun);
    let by_caller = resume_by_caller(&mut gateway, later, &resumption("again-1", "call-1"));

    assert_eq!(resumed.unwrap_err(), Reason::BuildGone);
    assert_eq!(by_caller.unwrap_err(), Reason::BuildGone);
}

/// Guards against an origin that is lost with the second break of a stream: its caller goes on naming the
/// attempt that brought the first event.
#[test]
fn stream_is_resumed_at_its_build_after_a_second_break() {
    for first in calls() {
        let mut gateway = gateway_before(&mixed());
        let (_, begun) = begin(&mut gateway, START, &first);
        let id = std::str::from_utf8(&first.id).unwrap();
        let mut builds = vec![begun.build];
        for again in ["again-1", "again-2"] {
            let call = resumption(again, id);
            let mut grant = gateway.admit(START, &call).unwrap();
            gateway.resolve_origin(START, &call, &mut grant).unwrap();
            let pick = pick(&mut gateway, START, &call, &mut grant).unwrap();
            gateway.record_stream(START, &call, &mut grant, &pick.claim);
            gateway.record_crash(START, &grant, &pick.claim);
            builds.push(pick.build);
        }
        assert!(builds.iter().all(|build| *build == builds[0]), "{builds:?}");
    }
}

/// Guards against a gateway that moves a silent stream which no replica of its build can take.
#[test]
fn silent_stream_stays_if_only_other_builds_are_left() {
    let replicas = [built("engine-0", "v1"), built("engine-1", "v2")];
    let mut gateway = gateway_before(&replicas);
    let call = call("call-1");

    let (grant, _) = begin(&mut gateway, START, &call);

    assert!(!gateway.may_reroute(START, &call, &grant));
}

/// Guards against a gateway that restarted during a release and takes the only build that it has seen
/// for the one that began all streams.
#[test]
fn stream_of_unknown_origin_is_refused_after_a_restart() {
    let mut gateway = gateway_before(&[built("engine-0", "v2"), built("engine-1", "v2")]);

    let by_caller = resume_by_caller(&mut gateway, START, &resumption("again-1", "call-1"));

    assert_eq!(by_caller.unwrap_err(), Reason::UnknownOrigin);
}

/// Guards against a stream that goes on at any build because its caller does not name it.
#[test]
fn stream_that_is_not_named_is_refused_while_several_builds_serve() {
    let mut gateway = gateway_before(&mixed());
    let unnamed = Submission { resumes: None, ..resumption("again-1", "") };

    let by_caller = resume_by_caller(&mut gateway, START, &unnamed);

    assert_eq!(by_caller.unwrap_err(), Reason::UnknownOrigin);
}

/// Guards against a stream that goes on at the only build left because its caller does not name it, although
/// it may have begun at a build that has just gone.
#[test]
fn stream_that_is_not_named_is_refused_after_the_other_build_has_gone() {
    let mut gateway = gateway_before(&mixed());
    let rest: Vec<Listing> =
        mixed().into_iter().filter(|l| l.build.as_deref() == Some("v1")).collect();
    let now = watch(&mut gateway, START, Span::secs(10), &rest);
    let unnamed = Submission { resumes: None, ..resumption("again-1", "") };

    let by_caller = resume_by_caller(&mut gateway, now, &unnamed);

    assert_eq!(by_caller.unwrap_err(), Reason::UnknownOrigin);
}

/// Guards against streams of a replica without a build that go on at another replica: nothing shows that
/// both run the same build.
#[test]
fn stream_of_a_replica_without_a_build_goes_on_there_alone() {
    let replicas = [listing("engine-0"), listing("engine-1"), built("engine-2", "v1")];
    let mut gateway = gateway_before(&replicas);
    let mut began = BTreeSet::new();
    for n in 0..STREAMS {
        let first = format!("call-{n}");
        let (_, begun) = begin(&mut gateway, START, &call(&first));
        if begun.build.is_some() {
            continue;
        }

        let again = resumption(&format!("again-{n}"), &first);
        let resumed = resume_by_caller(&mut gateway, START, &again).unwrap();

        assert_eq!(resumed.id, begun.id);
        began.insert(begun.id);
    }
    assert_eq!(began.len(), 2, "streams began at both replicas without a build");
}

/// Guards against streams of a replica without a build that go on at its successor under the same id, whose
/// entry states one.
#[test]
fn stream_of_a_replica_without_a_build_does_not_go_on_once_its_entry_states_one() {
    let mut gateway = gateway_before(&[listing("engine-0"), built("engine-1", "v1")]);
    let replica = listing("engine-0").incarnation.digest();
    let origin = Origin { replica, build: None };
    let before = gateway.fleet().may_continue("engines", origin);

    update(&mut gateway, START, &[built("engine-0", "v1"), built("engine-1", "v1")]);

    assert!(before);
    assert!(!gateway.fleet().may_continue("engines", origin));
}

/// Guards against memory that grows with the streams of a time in which origins are kept.
#[test]
fn gateway_keeps_a_bounded_number_of_origins() {
    let mut table = Table::default();
    let origin = Origin { replica: Digest(1), build: None };
    for call in 0..=MAX_ORIGINS {
        table.record(START, &Record { call: Call(call), origin }, None);
    }

    table.sweep(START);

    assert_eq!(table.get(Call(0)), None, "the oldest one is dropped");
    assert_eq!(table.get(Call(1)), Some((START, origin)));
    assert_eq!(table.get(Call(MAX_ORIGINS)), Some((START, origin)));
}

/// Guards against the same of origins that wait for a backup, also if another gateway states one of the
/// same call.
#[test]
fn gateway_keeps_a_bounded_number_of_origins_to_back_up() {
    let mut table = Table::default();
    let origin = Origin { replica: Digest(1), build: None };
    let own = Own { service: 1, is_replicated: false, opened: START };
    let record = |call: u64| Record { call: Call(call), origin };
    for call in 0..=MAX_ORIGINS {
        table.record(START, &record(call), Some(own));
    }
    table.record(START, &record(MAX_ORIGINS), None);

    table.sweep(START);
    let kept = table.unbacked().count() as u64;
    table.sweep(START + Span::secs(1));

    assert!(kept < MAX_ORIGINS);
    assert_eq!((table.unbacked().count(), table.unreplicated_services().len()), (0, 0));
}

/// Reads the same list for `span`, often enough to miss nothing.
fn watch(gateway: &mut Gateway, from: Time, span: Span, replicas: &[Listing]) -> Time {
    let mut now = from;
    while now < from + span {
        now = now + Span::millis(500);
        update(gateway, now, replicas);
    }
    now
}

/// Guards against a gateway that was out of step for a moment, and lets streams of a build that it has not
/// seen go on at the only one of its list.
#[test]
fn only_build_of_a_list_from_before_the_call_is_not_relied_on() {
    let replicas = [built("engine-0", "v1"), built("engine-1", "v1")];
    let mut gateway = gateway_before(&replicas);
    let read = watch(&mut gateway, START, Span::secs(31), &replicas);
    let now = read + Span::secs(1);
    let named = resumption("again-1", "call-1");
    let unnamed = Submission { resumes: None, ..named.clone() };

    let resumed = resume_by_caller(&mut gateway, now, &named);
    let resumed_unnamed = resume_by_caller(&mut gateway, now, &unnamed);
    update(&mut gateway, now, &replicas);

    assert_eq!(resumed.unwrap_err(), Reason::UnknownOrigin);
    assert_eq!(resumed_unnamed.unwrap_err(), Reason::UnknownOrigin);
    assert!(resume_by_caller(&mut gateway, now, &named).is_ok());
    assert!(resume_by_caller(&mut gateway, now, &unnamed).is_ok());
}

/// Guards against the same where another gateway asks the one that is out of step.
#[test]
fn only_build_of_a_list_from_before_the_question_is_not_answered() {
    let replicas = [built("engine-0", "v1"), built("engine-1", "v1")];
    let mut gateway = gateway_before(&replicas);
    let read = watch(&mut gateway, START, Span::secs(31), &replicas);
    let asked = read + Span::millis(400);
    let question =
        Question { call: Call::of(b"call-1"), service: directory::short_hash("engines") };

    let first = gateway.answer_origin(asked, &question);
    update(&mut gateway, asked + Span::millis(100), &replicas);
    let later = asked + Span::millis(200);
    let repeated = gateway.answer_repeated_origin(later, asked, &question);

    assert_eq!(first, Answer::Unknown);
    assert_eq!(repeated, Answer::Only(Some(Build::of("v1"))));
    assert_eq!(gateway.answer_origin(later, &question), Answer::Unknown);
}

/// Guards against refusals, and messages, while a service has one build.
#[test]
fn stream_goes_on_anywhere_while_its_service_has_had_one_build() {
    let replicas = [built("engine-0", "v1"), built("engine-1", "v1")];
    let mut gateway = gateway_before(&replicas);
    let now = watch(&mut gateway, START, Span::secs(31), &replicas);
    let call = call("call-1");
    let mut grant = gateway.admit(now, &call).unwrap();
    let pick = pick(&mut gateway, now, &call, &mut grant).unwrap();

    let copies = gateway.record_stream(now, &call, &mut grant, &pick.claim);

    assert!(copies.is_empty());
    assert!(resume_by_caller(&mut gateway, now, &resumption("again-1", "call-of-another")).is_ok());
}

/// Guards against a gateway without the store that takes the build it knows for the only one.
#[test]
fn stream_of_unknown_origin_is_refused_after_a_time_without_the_store() {
    let replicas = [built("engine-0", "v1"), built("engine-1", "v1")];
    let mut gateway = gateway_before(&replicas);
    let now = watch(&mut gateway, START, Span::secs(31), &replicas) + Span::secs(4);

    let by_caller = resume_by_caller(&mut gateway, now, &resumption("again-1", "call-of-another"));

    assert_eq!(by_caller.unwrap_err(), Reason::UnknownOrigin);
}

/// Guards against entries without a build: each may be of another one.
#[test]
fn stream_of_a_replica_without_a_build_goes_on_there_only() {
    let replicas = [listing("engine-0"), listing("engine-1"), built("engine-2", "v1")];
    let mut gateway = gateway_before(&replicas);

    for call in calls() {
        let begun = begin(&mut gateway, START, &call);
        let (id, build) = (begun.1.id.clone(), begun.1.build.clone());
        gateway.record_end(START, begun.1.claim, Outcome::Cancelled);
        let by_caller = resumption("again", std::str::from_utf8(&call.id).unwrap());
        let pick = resume_by_caller(&mut gateway, START, &by_caller).unwrap();
        assert!(build.is_some() || pick.id == id, "{} for {id}", pick.id);
    }
}

/// Guards against constraints where no entry states a build.
#[test]
fn streams_go_on_anywhere_if_no_replica_states_a_build() {
    let mut gateway = gateway(3);
    let call = call("call-1");
    let begun = begin(&mut gateway, START, &call);

    assert!(resume(&mut gateway, START, &call, begun).is_ok());
    assert!(resume_by_caller(&mut gateway, START, &resumption("again-1", "unknown")).is_ok());
}

/// Guards against a replica that restarts under its id with another build while its entry still states
/// the earlier one: a stream that began then may be of either.
#[test]
fn stream_that_began_while_the_entry_lagged_goes_on_nowhere() {
    let old = |build: &str, born: u64| Listing {
        incarnation: Incarnation::new("engine-0", born),
        ..built("engine-0", build)
    };
    let mut gateway = gateway_before(&[old("v1", 1)]);
    let (early, late) = (call("call-early"), call("call-late"));
    let first = begin(&mut gateway, START, &early);
    let at = watch(&mut gateway, START, Span::secs(10), &[old("v1", 1)]);
    let second = begin(&mut gateway, at, &late);
    let now = at + Span::secs(1);
    update(&mut gateway, now, &[old("v2", 2), built("engine-1", "v1")]);

    let service = directory::short_hash("engines");
    let question = |id: &[u8]| Question { call: Call::of(id), service };
    let told_late = gateway.answer_origin(now, &question(&late.id));
    let told_early = gateway.answer_origin(now, &question(&early.id));
    let resumed_late = resume(&mut gateway, now, &late, second);
    let resumed_early = resume(&mut gateway, now, &early, first);

    assert_eq!(told_late, Answer::Unknown);
    assert!(matches!(told_early, Answer::Known(_)));
    assert_eq!(resumed_late.unwrap_err(), Reason::BuildGone);
    assert_eq!(resumed_early.unwrap().id, "engine-1");
}

/// Guards against an entry that changes its build under the same incarnation, as an id without a stated
/// start does when its replica restarts.
#[test]
fn entry_with_another_build_is_another_incarnation() {
    let mut gateway = gateway_before(&[built("engine-0", "v1"), built("engine-1", "v1")]);

    let changes = gateway.update_lists(
        START,
        START,
        vec![built("engine-0", "v2"), built("engine-1", "v1")],
        vec![entry("one")],
    );

    assert_eq!(changes.replaced, ["engine-0"]);
}

/// Guards against an entry that lacks its build for a moment: its streams in progress would be moved.
#[test]
fn entry_that_lacks_its_build_for_a_time_is_the_same_incarnation() {
    let mut gateway = gateway_before(&[built("engine-0", "v1")]);

    let lacking = gateway.update_lists(START, START, vec![listing("engine-0")], vec![entry("one")]);
    let back =
        gateway.update_lists(START, START, vec![built("engine-0", "v1")], vec![entry("one")]);

    assert_eq!(lacking.replaced.len() + back.replaced.len(), 0);
}

/// Guards against a stream whose replica's entry lapsed: its origin is known all the same.
#[test]
fn stream_goes_on_at_its_build_after_its_entry_lapsed() {
    let mut gateway = gateway_before(&mixed());
    let call = call("call-1");
    let (_, pick) = begin(&mut gateway, START, &call);
    let rest: Vec<Listing> = mixed().into_iter().filter(|l| l.incarnation.id != pick.id).collect();
    gateway.record_end(START, pick.claim, Outcome::Cancelled);
    update(&mut gateway, START + Span::millis(500), &rest);

    let now = START + Span::millis(600);
    let by_caller = resume_by_caller(&mut gateway, now, &resumption("again-1", "call-1")).unwrap();

    assert_eq!(by_caller.build, pick.build);
}

/// Guards against a stream that goes on at an address which a replica of another service has now: the
/// build of that service may have the same name.
#[test]
fn stream_does_not_go_on_at_a_replica_of_another_service() {
    let mut gateway = gateway_before(&[built("engine-0", "v1"), built("engine-1", "v1")]);
    let call = call("call-1");
    let begun = begin(&mut gateway, START, &call);
    let other = if begun.1.id == "engine-0" { "engine-1" } else { "engine-0" };
    let moved = Listing { service: "notices".to_owned(), ..built(other, "v1") };
    update(&mut gateway, START, &[built(&begun.1.id.clone(), "v1"), moved]);

    let resumed = resume(&mut gateway, START, &call, begun);

    assert!(resumed.is_err());
}

/// Guards against a delegate or holder that names a build which only another gateway knows.
#[test]
fn stream_of_a_build_that_is_not_listed_here_is_refused_at_once() {
    let mut gateway = gateway_before(&mixed());
    let call = resumption("again-1", "call-1");
    let mut grant = gateway.admit(START, &call).unwrap();
    let origin = Origin { replica: Digest(1), build: Some(Build::of("v9")) };

    gateway
        .record_answers(START, &mut grant, 2, &[Answer::Unknown, Answer::Known(origin)])
        .unwrap();
    let refusal = gateway.pick(START, &call, &mut grant, &[]).unwrap_err();

    assert_eq!((refusal.reason, refusal.not_run), (Reason::BuildGone, true));
}

/// Guards against callers that are told to come back at once with a stream that nobody knows.
#[test]
fn stream_that_no_gateway_knows_is_refused_for_longer_than_one_whose_holder_is_silent() {
    let mut gateway = gateway_before(&mixed());
    let call = resumption("again-1", "call-1");
    let mut grant = gateway.admit(START, &call).unwrap();

    let mut retry_after = |asked: usize, answers: &[Answer]| {
        let refused = gateway.record_answers(START, &mut grant, asked, answers).unwrap_err();
        refused.retry_after
    };
    let silent = [retry_after(2, &[Answer::Unknown]), retry_after(0, &[])];
    let unknown = retry_after(2, &[Answer::Unknown, Answer::Unknown]);

    assert!(silent.into_iter().all(|time| time < unknown));
}
