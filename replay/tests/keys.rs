//! Requests with idempotency keys run at most once under crashes, pauses, stops and lost messages.

mod support;

use laburnumwheel_core::action::Verdict;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::idempotency;
use laburnumwheel_core::time::Span;
use laburnumwheel_replay::network::Mode;
use proptest::prelude::*;

use support::Cluster;

/// A caller repeats a request at other routers, during its execution and after it. Each router
/// forwards it to the key's home, which answers all with the result of the one execution.
#[test]
fn a_retry_gets_the_stored_answer_from_every_router() {
    // Arrange
    let mut cluster = Cluster::start(3, 1);
    let key = format!("{}bid-1", cluster.key_prefix(0));

    // Act
    let first = cluster.submit(0, &key, "bid 1");
    let joined = cluster.submit(1, &key, "bid 1");
    cluster.advance(Span::secs(1));
    let later = cluster.submit(2, &key, "bid 1");
    cluster.advance(Span::secs(1));

    // Assert
    assert!(cluster.is_whole(0, first));
    assert!(cluster.is_whole(1, joined));
    assert!(cluster.is_whole(2, later));
    assert_eq!(cluster.executions_of("bid 1"), 1);
}

/// Two different requests use the same key. The second must fail instead of getting the first
/// one's answer.
#[test]
fn a_key_with_another_body_is_refused() {
    // Arrange
    let mut cluster = Cluster::start(3, 2);
    let key = format!("{}bid-1", cluster.key_prefix(0));

    // Act
    cluster.submit(0, &key, "bid 1");
    cluster.advance(Span::secs(1));
    let other = cluster.submit(0, &key, "bid 2");

    // Assert
    assert_eq!(cluster.verdict(0, other), Some(Verdict::NotRun));
    assert_eq!(cluster.executions_of("bid 2"), 0);
}

/// The service runs a request and its connection breaks before the answer. The outcome is unknown
/// to the router, so a retry must not run it again and gets the same verdict.
#[test]
fn a_lost_answer_stays_outcome_unknown() {
    // Arrange
    let mut cluster = Cluster::start(3, 3);
    cluster.break_every = 1;
    let key = format!("{}bid-1", cluster.key_prefix(0));

    // Act
    let first = cluster.submit(0, &key, "bid 1");
    cluster.advance(Span::secs(1));
    cluster.break_every = 0;
    let again = cluster.submit(1, &key, "bid 1");
    cluster.advance(Span::secs(1));

    // Assert
    assert_eq!(cluster.verdict(0, first), Some(Verdict::OutcomeUnknown));
    assert_eq!(cluster.verdict(1, again), Some(Verdict::OutcomeUnknown));
    assert_eq!(cluster.executions_of("bid 1"), 1);
}

/// The home of a key crashes during the execution. A retry at another router gets the verdict that
/// the outcome is unknown, and so does one at a new incarnation of the home, which has no record of
/// the key.
#[test]
fn a_key_of_a_crashed_home_never_runs_again() {
    // Arrange
    let mut cluster = Cluster::start(3, 4);
    let key = format!("{}bid-1", cluster.key_prefix(0));

    // Act
    cluster.submit(0, &key, "bid 1");
    cluster.advance(Span::millis(5));
    cluster.network.kill(0);
    cluster.advance(Span::secs(6));
    let other = cluster.submit(1, &key, "bid 1");
    cluster.restart(0);
    cluster.advance(Span::secs(10));
    let restarted = cluster.submit(0, &key, "bid 1");
    cluster.advance(Span::secs(1));

    // Assert
    assert_eq!(cluster.verdict(1, other), Some(Verdict::OutcomeUnknown));
    assert_eq!(cluster.verdict(0, restarted), Some(Verdict::OutcomeUnknown));
    assert!(cluster.executions_of("bid 1") <= 1);
}

/// The home of a key is paused while the caller tries other routers. They must not run the request
/// themselves; the home runs it once after it resumes.
#[test]
fn a_resumed_home_runs_a_key_once() {
    // Arrange
    let mut cluster = Cluster::start(3, 5);
    let key = format!("{}bid-1", cluster.key_prefix(0));

    // Act
    cluster.network.pause(0);
    let early = cluster.submit(1, &key, "bid 1");
    cluster.advance(Span::secs(8));
    let late = cluster.submit(2, &key, "bid 1");
    cluster.network.resume(0);
    cluster.advance(Span::secs(60));
    let after = cluster.submit(1, &key, "bid 1");
    cluster.advance(Span::secs(2));

    // Assert
    assert_eq!(cluster.verdict(1, early), Some(Verdict::OutcomeUnknown));
    assert_eq!(cluster.verdict(2, late), Some(Verdict::OutcomeUnknown));
    assert!(cluster.is_whole(1, after));
    assert_eq!(cluster.executions_of("bid 1"), 1);
}

/// The home of a key makes a planned stop and hands its keys over to a successor. A retry at any
/// router must get the stored answer, also when the key-value service is unavailable and one
/// message in seven is lost.
#[test]
fn a_planned_stop_hands_keys_over() {
    // Arrange
    let mut cluster = Cluster::start(9, 6);
    cluster.network.store.mode = Mode::Down;
    cluster.network.drop_every = 7;
    let key = format!("{}bid-1", cluster.key_prefix(0));
    cluster.submit(0, &key, "bid 1");
    cluster.advance(Span::secs(1));

    // Act
    cluster.handle(0, Event::Stop);
    cluster.advance(Span::secs(30));
    let retries: Vec<_> = (1..9).map(|i| (i, cluster.submit(i, &key, "bid 1"))).collect();
    let unused = format!(
        "{}bid-2",
        key.split_once('~').expect("the key should have a prefix").0.to_owned() + "~"
    );
    let new = cluster.submit(5, &unused, "bid 2");
    cluster.advance(Span::secs(10));

    // Assert
    assert_eq!(cluster.exited, vec![0]);
    for (router, id) in retries {
        assert!(cluster.is_whole(router, id), "router {router}: {:?}", cluster.outcome(router, id));
    }
    assert!(cluster.is_whole(5, new), "{:?}", cluster.outcome(5, new));
    assert_eq!((cluster.executions_of("bid 1"), cluster.executions_of("bid 2")), (1, 1));
}

/// Routers that do not know of a home's planned stop forward requests to it during the hand-over.
/// A request that began after the keys were sent to the successor would be unknown there and run
/// again. The home must start no request once it has frozen its table.
#[test]
fn requests_during_a_handover_run_once() {
    for offset in 0..20 {
        // Arrange
        let mut cluster = Cluster::start(3, 8);
        let prefix = cluster.key_prefix(0);
        cluster.handle(0, Event::Stop);
        cluster.advance(Span::millis(11_850 + 2 * offset));

        // Act
        for n in 0..8 {
            cluster.submit(1, &format!("{prefix}{n}"), &format!("bid {n}"));
            cluster.advance(Span::millis(40));
        }
        cluster.advance(Span::secs(30));
        for n in 0..8 {
            cluster.submit(2, &format!("{prefix}{n}"), &format!("bid {n}"));
        }
        cluster.advance(Span::secs(5));

        // Assert
        assert_eq!(cluster.exited, vec![0]);
        let twice: Vec<_> = cluster.executions.iter().filter(|(_, runs)| **runs > 1).collect();
        assert!(twice.is_empty(), "{offset}: {twice:?}");
        assert_eq!(cluster.executions.len(), 8);
    }
}

/// A request has a key from an epoch whose outcomes were discarded. The router can't tell whether
/// it ran, so it must not run.
#[test]
fn a_key_of_a_discarded_epoch_never_runs() {
    // Arrange
    let mut cluster = Cluster::start(3, 7);
    let key = format!("{}bid-1", cluster.key_prefix(0));
    cluster.submit(0, &key, "bid 1");
    cluster.advance(Span::secs(1));

    // Act
    cluster.advance(Span(idempotency::EPOCH_LENGTH.0 * 2));
    let late = cluster.submit(0, &key, "bid 1");
    let unused = cluster.submit(1, &format!("{}bid-2", key.trim_end_matches("bid-1")), "bid 2");
    cluster.advance(Span::secs(1));

    // Assert
    assert_eq!(cluster.verdict(0, late), Some(Verdict::OutcomeUnknown));
    assert_eq!(cluster.verdict(1, unused), Some(Verdict::OutcomeUnknown));
    assert_eq!((cluster.executions_of("bid 1"), cluster.executions_of("bid 2")), (1, 0));
}

/// Operation of a random history.
#[derive(Clone, Debug)]
enum Operation {
    Submit { router: usize, home: usize, bid: u8 },
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Stop(usize),
    Isolate(usize),
    Heal,
    Wait(u64),
}

fn operations() -> impl Strategy<Value = Operation> {
    let router = 0..4usize;
    prop_oneof![
        8 => (router.clone(), router.clone(), 0..4u8)
            .prop_map(|(router, home, bid)| Operation::Submit { router, home, bid }),
        1 => router.clone().prop_map(Operation::Kill),
        2 => router.clone().prop_map(Operation::Restart),
        1 => router.clone().prop_map(Operation::Pause),
        2 => router.clone().prop_map(Operation::Resume),
        1 => router.clone().prop_map(Operation::Stop),
        1 => router.prop_map(Operation::Isolate),
        1 => Just(Operation::Heal),
        6 => (1..4_000u64).prop_map(Operation::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Under crashes, pauses, stops, partitions and lost messages no request runs twice, and none
    /// runs whose submissions all got the verdict that it did not run.
    #[test]
    fn no_request_runs_twice(
        history in proptest::collection::vec(operations(), 1..60),
        lose in prop_oneof![Just(0u64), Just(4)],
        break_every in prop_oneof![Just(0u32), Just(3)],
        seed in 0..1_000u64,
    ) {
        let mut cluster = Cluster::start(4, seed);
        cluster.network.drop_every = lose;
        cluster.break_every = break_every;
        let prefixes: Vec<String> = (0..4).map(|i| cluster.key_prefix(i)).collect();
        let mut sent = Vec::new();
        for operation in history {
            match operation {
                Operation::Submit { router, home, bid } => {
                    let body = format!("bid {home} {bid}");
                    let key = format!("{}{bid}", prefixes[home]);
                    let id = cluster.submit(router, &key, &body);
                    sent.push((router, id, body));
                }
                Operation::Kill(router) => cluster.network.kill(router),
                Operation::Restart(router)
                    if !cluster.network.is_running(router) => cluster.restart(router),
                Operation::Restart(_) => {}
                Operation::Pause(router) => cluster.network.pause(router),
                Operation::Resume(router) => cluster.network.resume(router),
                Operation::Stop(router) => cluster.handle(router, Event::Stop),
                Operation::Isolate(router) => cluster.network.partition(&[router]),
                Operation::Heal => cluster.network.unreachable.clear(),
                Operation::Wait(ms) => cluster.advance(Span::millis(ms)),
            }
        }
        (0..4).for_each(|router| cluster.network.resume(router));
        cluster.network.unreachable.clear();
        cluster.advance(Span::secs(120));

        for (body, runs) in &cluster.executions {
            prop_assert!(*runs <= 1, "{body:?} ran {runs} times");
            let submissions = sent.iter().filter(|(_, _, b)| b.as_bytes() == body);
            let verdicts: Vec<_> = submissions.map(|(r, id, _)| cluster.verdict(*r, *id)).collect();
            let denied = verdicts.iter().all(|v| *v == Some(Verdict::NotRun));
            prop_assert!(!denied, "{body:?} ran, but all its submissions got not_run");
        }
    }
}
