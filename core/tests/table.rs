//! The table of idempotency keys: handover, and the bound on its size.

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

/// A stopping router hands over its keys in several parts, and one part is delayed. The successor
/// must not own the home before it has that part: it would take a request whose key is in the
/// missing part for a new one and run it a second time.
#[test]
fn a_successor_owns_a_home_only_after_all_parts_have_arrived() {
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
        let admission = successor.begin(&key("r1.1", &i.to_string()), [0; 32], waiter());
        assert!(matches!(admission, Admission::Replay(_)), "{i}: {admission:?}");
    }
}

/// A forwarded request reaches a router that has begun to hand over its keys. The request must not
/// start there, because the successor would not know of it.
#[test]
fn a_frozen_table_refuses_new_keys_and_replays_finished_ones() {
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

/// Callers fill the table. New keys are refused as not run, and no stored key is evicted.
#[test]
fn a_full_table_refuses_new_keys_and_evicts_none() {
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
