//! How many engines are set apart for streams that long prompts would disturb.

use laburnumwheel_core::gateway::config::Engine;
use laburnumwheel_core::gateway::pool::Pool;
use laburnumwheel_core::time::Span;

use crate::support::START;

const ENGINES: usize = 90;

fn engine(slots: u32) -> Engine {
    Engine { slots, kv_tokens: 600_000, tokens_per_event: 5 }
}

/// A pool after streams that lasted for 800 ms, their prompts for `prefill_ms` of it, beside other
/// calls that read for `others_ms` meanwhile.
fn pool(prefill_ms: f64, others_ms: f64) -> Pool {
    let mut pool = Pool::default();
    for _ in 0..200 {
        pool.record_other(others_ms);
        pool.record(prefill_ms, Span::millis(800));
    }
    pool
}

/// Questions with short prompts and short answers at engines of 64 places: by their places five
/// engines would do, but these would do little but read, and every question would be late. By what
/// they read they need three times as many.
#[test]
fn a_lane_has_room_for_the_prompts_of_its_own_streams() {
    let few = pool(0.1, 0.0).size(START, 250, &engine(64), ENGINES);
    let many = pool(20.0, 0.0).size(START, 250, &engine(64), ENGINES);

    assert!(few <= 6, "{few}");
    assert!((12..=20).contains(&many), "{many}");
}

/// With engines of sixteen places it is these that run out.
#[test]
fn a_lane_has_places_for_its_streams() {
    let size = pool(1.0, 0.0).size(START, 250, &engine(16), ENGINES);

    assert!((18..=25).contains(&size), "{size}");
}

/// A burst of reports keeps all engines reading all the time. The pool gives some of its engines up
/// to them, instead of resting half of its time while they queue.
#[test]
fn a_lane_shares_in_an_overload() {
    let alone = pool(20.0, 20.0).size(START, 600, &engine(64), ENGINES);
    let beside = pool(20.0, 200.0).size(START, 600, &engine(64), ENGINES);

    assert!(beside < alone, "{beside} {alone}");
    assert!(beside >= 18, "{beside}");
}

/// A night of reports without a question, then questions again: within some hundred of them the pool
/// is as large as if the night had not been.
#[test]
fn a_time_without_sensitive_streams_is_forgotten() {
    let usual = pool(20.0, 0.0).size(START, 600, &engine(64), ENGINES);
    let mut pool = pool(20.0, 0.0);
    (0..1_000_000).for_each(|_| pool.record_other(100.0));
    (0..400).for_each(|_| pool.record(20.0, Span::millis(800)));

    let size = pool.size(START, 600, &engine(64), ENGINES);

    assert_eq!(size, usual);
}

/// The edges: no stream, one engine, and streams that would take all engines.
#[test]
fn a_lane_is_sound_at_its_edges() {
    assert_eq!(pool(20.0, 0.0).size(START, 0, &engine(64), ENGINES), 0);
    assert_eq!(pool(20.0, 0.0).size(START, 50, &engine(64), 1), 0);
    assert_eq!(pool(20.0, 0.0).size(START, 60_000, &engine(64), ENGINES), ENGINES * 3 / 5);
}
