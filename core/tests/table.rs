//! The table of idempotency keys on its own.

use bytes::Bytes;
use laburnumwheel_core::action::Outcome;
use laburnumwheel_core::action::Reason;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::idempotency;
use laburnumwheel_core::idempotency::Admission;
use laburnumwheel_core::idempotency::Key;
use laburnumwheel_core::idempotency::Table;
use laburnumwheel_core::idempotency::Waiter;
use laburnumwheel_core::time::Time;

fn key(home: &str, suffix: &str) -> Key {
    Key::parse(&format!("{}{suffix}", idempotency::prefix(home, 1))).expect("a key")
}

fn waiter() -> Waiter {
    Waiter::Caller(RequestId(1))
}

fn answer(text: &str) -> Outcome {
    Outcome::Whole { status: 200, text: Bytes::from(text.to_owned()), tokens: 0 }
}

fn full_table(keys: usize) -> Table {
    let mut table = Table::new("r1.1".to_owned(), Time(0));
    for i in 0..keys {
        let key = key("r1.1", &i.to_string());
        assert_eq!(table.begin(&key, [0; 32], waiter()), Admission::Run);
        table.finish(&key, &answer(&"x".repeat(1_000)));
    }
    table
}

/// A stopping home sends its keys in several parts and one is lost. Until it has come, the
/// successor owns nothing: a key of the missing part would look new there, and run twice.
#[test]
fn a_successor_owns_nothing_before_every_part_is_here() {
    // Arrange
    let parts = full_table(20).hand_over(Time(0), 4_000);
    let mut successor = Table::new("r2.1".to_owned(), Time(0));
    assert!(parts.len() >= 4);

    // Act
    let early: Vec<bool> =
        parts[1..].iter().map(|p| successor.take_over(Time(0), p.clone())).collect();
    let before = successor.owns("r1.1");
    let complete = successor.take_over(Time(0), parts[0].clone());

    // Assert
    assert!(early.iter().all(|owned| !owned) && !before);
    assert!(complete && successor.owns("r1.1"));
    for i in 0..20 {
        let begin = successor.begin(&key("r1.1", &i.to_string()), [0; 32], waiter());
        assert!(matches!(begin, Admission::Replay(_)), "{i}: {begin:?}");
    }
}

/// A forwarded bid reaches a home that has begun to hand its keys over. It must not begin there:
/// the successor would not know of it.
#[test]
fn a_frozen_table_begins_nothing_but_still_answers() {
    // Arrange
    let mut table = full_table(1);
    table.freeze();

    // Act
    let old = table.begin(&key("r1.1", "0"), [0; 32], waiter());
    let new = table.begin(&key("r1.1", "new"), [0; 32], waiter());

    // Assert
    assert_eq!(old, Admission::Replay(answer(&"x".repeat(1_000))));
    assert_eq!(new, Admission::Refuse(Reason::NotServing, true));
}

/// Callers fill the table. New keys are refused as not run; none that is remembered is given up.
#[test]
fn a_full_table_refuses_and_evicts_nothing() {
    // Arrange
    let mut table = Table::new("r1.1".to_owned(), Time(0));
    for i in 0..idempotency::MAX_KEYS {
        table.begin(&key("r1.1", &i.to_string()), [0; 32], waiter());
    }

    // Act
    let refused = table.begin(&key("r1.1", "one more"), [0; 32], waiter());
    let first = table.begin(&key("r1.1", "0"), [0; 32], waiter());

    // Assert
    assert_eq!(refused, Admission::Refuse(Reason::KeyTableFull, true));
    assert_eq!(first, Admission::Join);
}
