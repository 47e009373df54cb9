//! Checks that no other test covers; each test fails if one particular check is removed.

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

/// An engine confuses two answers and sends the end of another caller's stream on this one. If the
/// router accepted it, the caller would take a partial answer for a whole one.
#[test]
fn the_end_of_another_calls_stream_is_not_accepted() {
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

/// All slots run requests of a protected class when a request of a higher tier arrives. The
/// protected requests must run to their end, and the new request waits.
#[test]
fn a_protected_stream_is_never_preempted_by_a_higher_tier() {
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

/// A payment takes twelve seconds, longer than any stream may be silent. It may run only once and
/// can't be retried, so the router must neither cancel it early nor start it again.
#[test]
fn a_silent_call_that_may_run_only_once_is_not_cancelled() {
    // Arrange
    let mut harness = Harness::new();
    let (_, actions) = harness.submit(Harness::bid());
    let attempt = support::dispatch(&actions).attempt;

    // Act
    let early = harness.advance(Span::secs(12));
    let end = support::finish(&harness.end(attempt));

    // Assert
    assert!(support::dispatches(&early).is_empty());
    assert!(support::finish(&early).is_none());
    assert!(matches!(end, Some(Outcome::Whole { .. })));
}
