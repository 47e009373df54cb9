//! Engines that nobody has measured before: how fast they read, and what that decides.

use laburnumwheel_core::gateway::gaps::Gaps;
use laburnumwheel_core::gateway::prefill;
use laburnumwheel_core::gateway::prefill::Estimator;
use laburnumwheel_core::time::Span;
use proptest::prelude::*;

/// A estimator after `calls` that found nothing unread at engines of this speed.
fn learnt(calls: u64, token_ms: f64) -> Estimator {
    let mut estimator = Estimator::default();
    for call in 0..calls {
        let work = prefill::work(0, 1_000 + call % 7 * 800);
        estimator.record(work, 15.0 + token_ms * work);
    }
    estimator
}

fn is_near(estimator: &Estimator, token_ms: f64) -> bool {
    (estimator.token_ms() / token_ms - 1.0).abs() < 0.15
}

/// Engines twice as fast, half as fast and eight times as slow as any that was measured are told
/// apart within two hundred calls, which a busy gateway makes in some seconds.
#[test]
fn engines_of_any_speed_are_learnt() {
    for token_ms in [0.004, 0.009, 0.016, 0.032, 0.1] {
        let estimator = learnt(200, token_ms);

        assert!(is_near(&estimator, token_ms), "{} for {token_ms}", estimator.token_ms());
    }
}

/// A release brings engines that read half as fast: what was learnt of the former ones gives way.
#[test]
fn another_kind_of_engine_is_learnt_within_some_hundred_calls() {
    let mut estimator = learnt(300, 0.009);

    for call in 0..400 {
        let work = prefill::work(0, 1_000 + call % 7 * 800);
        estimator.record(work, 15.0 + 0.018 * work);
    }

    assert!(is_near(&estimator, 0.018), "{}", estimator.token_ms());
}

/// One call in twenty meets an engine that has lost the head it was thought to have, and takes ten
/// times as long. That says nothing about how fast engines read.
#[test]
fn a_few_lost_heads_change_little() {
    let mut estimator = Estimator::default();

    for call in 0..500 {
        let work = prefill::work(0, 1_000 + call % 7 * 800);
        let times = if call % 20 == 3 { 10.0 } else { 1.0 };
        estimator.record(work, times * (15.0 + 0.016 * work));
    }

    assert!(is_near(&estimator, 0.016), "{}", estimator.token_ms());
}

/// Seventy gateways need not each learn for themselves: one that has just started takes over what
/// others tell, and many who know outweigh one that has seen a few calls.
#[test]
fn a_gateway_that_has_just_started_learns_from_others() {
    let told = learnt(200, 0.03).gossip(7).unwrap();
    let mut estimator = Estimator::default();

    for _ in 0..6 {
        estimator.receive(&told);
    }

    assert!(is_near(&estimator, 0.03), "{}", estimator.token_ms());
}

proptest! {
    /// Whatever is seen or told, a estimator stays a number that prompts can be weighed by.
    #[test]
    fn a_pace_stays_sound(seen in prop::collection::vec((any::<f64>(), any::<f64>()), 0..50),
                          told in prop::collection::vec((any::<f32>(), any::<f32>()), 0..20)) {
        let mut estimator = Estimator::default();

        seen.into_iter().for_each(|(work, took)| estimator.record(work, took));
        for (token_ms, weight) in told {
            estimator.receive(&prefill::Estimate { service: 1, token_ms, weight });
        }

        prop_assert!((0.001..=0.16).contains(&estimator.token_ms()));
    }
}

/// Streams may pause for 150 ms. Beside long prompts one gap in fifty lasts 200 ms, so half of the
/// streams of thirty events would be late: they need engines of their own. Those that may pause for
/// 600 ms don't, and those of five events hardly.
#[test]
fn streams_are_kept_apart_where_they_would_be_late() {
    let mut gaps = Gaps::default();
    for event in 0..2_000 {
        gaps.record(Span::millis(if event % 50 == 0 { 200 } else { 20 }));
    }

    let late = |pause, events| gaps.are_late(Span::millis(pause), events, 5, false);
    assert!(late(150, 30.0));
    assert!(!late(600, 30.0));
    assert!(!late(150, 4.0));
}

/// The same streams on engines that are quick enough, or without prompts beside them.
#[test]
fn streams_that_are_never_late_need_no_engines_of_their_own() {
    let mut gaps = Gaps::default();
    for _ in 0..2_000 {
        gaps.record(Span::millis(90));
    }

    assert!(!gaps.are_late(Span::millis(150), 90.0, 5, true));
}

/// Before enough gaps were seen, the engines are taken to be of a kind that was measured once.
#[test]
fn a_prior_decides_until_gaps_were_seen() {
    let mut gaps = Gaps::default();
    (0..100).for_each(|_| gaps.record(Span::millis(5)));

    let late = |pause| gaps.are_late(Span::millis(pause), 30.0, 5, false);
    assert!(late(150) && !late(600) && !late(0));
}
