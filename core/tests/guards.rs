//! Promises that no other test would miss: each of these fails without its one guard.

mod support;

use laburnumwheel_core::action::Action;
use laburnumwheel_core::action::Outcome;
use laburnumwheel_core::event::AttemptId;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::time::Span;

use support::Harness;

const TWO_TIERS: &str = r#"
[[class]]
name = "vip"
tier = 0
first_token_ms = 100
patience_ms = 600000

[[class]]
name = "check"
tier = 2
protected = true
first_token_ms = 100
patience_ms = 600000

[[class]]
name = "draft"
tier = 4
first_token_ms = 5000
patience_ms = 2000

[[group]]
name = "models"
models = ["m"]
slots = 2
"#;

/// An engine mixes two answers up, and the end of another caller's stream arrives on this one. A
/// caller who took it for its own would believe that half an answer is whole.
#[test]
fn the_end_of_another_calls_answer_ends_nothing() {
    // Arrange
    let mut harness = Harness::new();
    let (_, actions) = harness.submit(Harness::submission("draft", "o"));
    let attempt = support::dispatch(&actions).attempt;
    harness.frame(attempt, 0);

    // Act
    let echo = AttemptId(attempt.0 + 1_000);
    let actions = harness.handle(Event::Ended { attempt, echo, status: 200 });

    // Assert
    assert!(!matches!(support::finish(&actions), Some(Outcome::Whole { .. })));
    assert_eq!(support::dispatch(&actions).offset, 1);
}

/// All engines run allergen checks when a call of a higher tier comes. Checks are protected: they
/// run to their end, and the newcomer waits.
#[test]
fn a_protected_stream_is_never_stopped_for_a_higher_tier() {
    // Arrange
    let text = TWO_TIERS.to_owned()
        + &support::upstream("e1", "models", 1)
        + &support::organisation("o", "");
    let mut harness = Harness::with_config(&text);
    let mut checks = Vec::new();
    for _ in 0..6 {
        let (_, actions) = harness.submit(Harness::submission("check", "o"));
        checks.extend(support::dispatches(&actions).iter().map(|d| d.attempt));
    }
    for attempt in &checks {
        harness.frame(*attempt, 0);
    }

    // Act
    let (_, mut actions) = harness.submit(Harness::submission("vip", "o"));
    for offset in 1..10 {
        for attempt in &checks {
            harness.frame(*attempt, offset);
        }
        actions.extend(harness.advance(Span::millis(100)));
    }

    // Assert
    let stopped = actions.iter().filter(|a| matches!(a, Action::Cancel(_))).count();
    assert!(!checks.is_empty());
    assert_eq!(stopped, 0);
}

/// A payment takes twelve seconds, longer than any stream may be silent. It may run once, so giving
/// it up early helps nobody: its answer is waited for, and no second one is started.
#[test]
fn a_silent_call_that_may_run_once_is_waited_for() {
    // Arrange
    let mut harness = Harness::new();
    let (_, actions) = harness.submit(Harness::bid());
    let attempt = support::dispatch(&actions).attempt;

    // Act
    let meanwhile = harness.advance(Span::secs(12));
    let end = support::finish(&harness.end(attempt));

    // Assert
    assert!(support::dispatches(&meanwhile).is_empty());
    assert!(support::finish(&meanwhile).is_none());
    assert!(matches!(end, Some(Outcome::Whole { .. })));
}
