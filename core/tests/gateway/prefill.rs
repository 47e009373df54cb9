//! Tests the estimates of prefill times, and the decision on isolated streams by the gaps of
//! others.

use laburnumwheel_core::gateway::gaps::Gaps;
use laburnumwheel_core::gateway::prefill;
use laburnumwheel_core::gateway::prefill::Estimator;
use laburnumwheel_core::time::Span;
use proptest::prelude::*;

/// An estimator after `calls` samples from engines with this prefill time per token.
fn estimator_after(calls: u64, token_ms: f64) -> Estimator {
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

/// Prefill times between a half and eight times those of measured engines are estimated within two
/// hundred calls, which a busy gateway makes in some seconds.
#[test]
fn engines_of_any_speed_are_estimated() {
    for token_ms in [0.004, 0.009, 0.016, 0.032, 0.1] {
        let estimator = estimator_after(200, token_ms);

        assert!(is_near(&estimator, token_ms), "{} for {token_ms}", estimator.token_ms());
    }
}

/// A release replaces the engines by others with twice the prefill time per token.
#[test]
fn the_estimate_follows_a_change_of_engines_within_some_hundred_calls() {
    let mut estimator = estimator_after(300, 0.009);

    for call in 0..400 {
        let work = prefill::work(0, 1_000 + call % 7 * 800);
        estimator.record(work, 15.0 + 0.018 * work);
    }

    assert!(is_near(&estimator, 0.018), "{}", estimator.token_ms());
}

/// One call in twenty takes ten times as long, because its prefix was assumed to be cached and is
/// not. Such calls say nothing about the prefill time per token.
#[test]
fn a_few_evicted_prefixes_change_the_estimate_little() {
    let mut estimator = Estimator::default();

    for call in 0..500 {
        let work = prefill::work(0, 1_000 + call % 7 * 800);
        let factor = if call % 20 == 3 { 10.0 } else { 1.0 };
        estimator.record(work, factor * (15.0 + 0.016 * work));
    }

    assert!(is_near(&estimator, 0.016), "{}", estimator.token_ms());
}

/// A gateway that has just started adopts the estimates of its peers, because these have more
/// samples.
#[test]
fn a_new_gateway_adopts_the_estimates_of_its_peers() {
    let received = estimator_after(200, 0.03).gossip(7).unwrap();
    let mut estimator = Estimator::default();

    for _ in 0..6 {
        estimator.receive(&received);
    }

    assert!(is_near(&estimator, 0.03), "{}", estimator.token_ms());
}

proptest! {
    /// Whatever samples and estimates of peers come, the estimate stays in its bounds.
    #[test]
    fn an_estimate_stays_in_bounds(
        samples in prop::collection::vec((any::<f64>(), any::<f64>()), 0..50),
        received in prop::collection::vec((any::<f32>(), any::<f32>()), 0..20),
    ) {
        let mut estimator = Estimator::default();

        samples.into_iter().for_each(|(work, took)| estimator.record(work, took));
        for (token_ms, weight) in received {
            estimator.receive(&prefill::Estimate { service: 1, token_ms, weight });
        }

        prop_assert!((0.001..=0.16).contains(&estimator.token_ms()));
    }
}

/// Beside long prompts one gap in fifty lasts 200 ms. Half of the streams with an allowed pause of
/// 150 ms and thirty events would be late, so that these are isolated. Streams with an allowed
/// pause of 600 ms are not, and neither are those of four events, which are rarely late.
#[test]
fn streams_are_isolated_if_they_would_be_late() {
    let mut gaps = Gaps::default();
    for event in 0..2_000 {
        gaps.record(Span::millis(if event % 50 == 0 { 200 } else { 20 }));
    }

    let late = |pause, events| gaps.are_late(Span::millis(pause), events, 5, false);
    assert!(late(150, 30.0));
    assert!(!late(600, 30.0));
    assert!(!late(150, 4.0));
}

/// Engines are fast enough, or have no long prompts: no gap is longer than the allowed pause.
#[test]
fn streams_that_are_never_late_are_not_isolated() {
    let mut gaps = Gaps::default();
    for _ in 0..2_000 {
        gaps.record(Span::millis(90));
    }

    assert!(!gaps.are_late(Span::millis(150), 90.0, 5, true));
}

/// Before there are enough gaps, the prior for the duration of a decoding step decides.
#[test]
fn a_prior_decides_until_there_are_enough_gaps() {
    let mut gaps = Gaps::default();
    (0..100).for_each(|_| gaps.record(Span::millis(5)));

    let late = |pause| gaps.are_late(Span::millis(pause), 30.0, 5, false);
    assert!(late(150) && !late(600) && !late(0));
}
