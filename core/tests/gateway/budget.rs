//! The retry budget that all gateways share.

use laburnumwheel_core::gateway::budget::Budget;
use laburnumwheel_core::gateway::budget::Rules;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::prop_oneof;
use proptest::prop_assert;
use proptest::proptest;

const RULES: Rules = Rules { ratio: 0.2, extra: 58.0, window: Span(10_000_000) };
const GATEWAYS: usize = 9;

#[derive(Clone, Copy, Debug)]
enum Step {
    Call(usize),
    Retry(usize),
    Restart(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..GATEWAYS).prop_map(Step::Call),
        8 => (0..GATEWAYS).prop_map(Step::Retry),
        1 => (0..GATEWAYS).prop_map(Step::Restart),
        4 => (1u64..400).prop_map(Step::Wait),
        1 => Just(Step::Wait(3_000)),
    ];
    proptest::collection::vec(step, 50..600)
}

proptest! {
    /// Most calls fail, gateways restart and lose their counts, and each retries as often as it
    /// may. In no window may all of them together exceed the budget; otherwise a service that is
    /// down gets more and more load.
    #[test]
    fn no_window_exceeds_the_budget(steps in steps()) {
        let mut now = Time(100_000_000);
        let long_ago = Time(0);
        let mut budgets: Vec<Budget> = (0..GATEWAYS).map(|_| Budget::new(RULES, long_ago)).collect();
        let mut calls: Vec<Time> = Vec::new();
        let mut retries: Vec<Time> = Vec::new();
        for step in steps {
            match step {
                Step::Call(at) => {
                    budgets[at].record_call(now);
                    calls.push(now);
                }
                Step::Retry(at) => {
                    if budgets[at].spend_retry(now, GATEWAYS) {
                        retries.push(now);
                    }
                }
                Step::Restart(at) => budgets[at] = Budget::new(RULES, now),
                Step::Wait(ms) => now = now + Span::millis(ms),
            }
        }
        for end in &retries {
            let begin = *end - RULES.window;
            let within = |times: &[Time], from: Time| {
                times.iter().filter(|t| **t > from && **t <= *end).count() as f64
            };
            let spent = within(&retries, begin);
            // The gateways may also count calls of half a window before.
            let counted = within(&calls, begin - Span(RULES.window.0 / 2));
            prop_assert!(spent <= RULES.ratio * counted + RULES.extra, "{spent} of {counted}");
        }
    }
}

/// A gateway spends its share in an outage, crashes and is restarted without its counts. If it got
/// a share at once, it would spend its share twice in one window.
#[test]
fn a_gateway_has_no_share_in_its_first_window() {
    let started_at = Time(100_000_000);
    let mut budget = Budget::new(RULES, started_at);
    budget.record_call(started_at);

    let at_once = budget.spend_retry(started_at + Span::secs(1), GATEWAYS);
    let later = budget.spend_retry(started_at + Span::secs(11), GATEWAYS);

    assert!(!at_once);
    assert!(later);
}

/// A service is down, and nine gateways retry as often as they may at one moment.
#[test]
fn all_gateways_together_stay_within_the_budget() {
    let now = Time(100_000_000);
    let spent = |calls: u32| {
        let spent_by_one = |_| {
            let mut budget = Budget::new(RULES, Time(0));
            (0..calls).for_each(|_| budget.record_call(now));
            (0..1_000).filter(|_| budget.spend_retry(now, GATEWAYS)).count()
        };
        (0..GATEWAYS).map(spent_by_one).sum::<usize>()
    };

    let (without_calls, with_calls) = (spent(0), spent(100));

    assert!((36..=58).contains(&without_calls), "{without_calls}");
    assert!((140..=58 + 180).contains(&with_calls), "{with_calls}");
}
