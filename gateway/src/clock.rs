//! Reads a monotonic clock that also advances while the host is suspended.
//!
//! All decisions use it. By the usual monotonic clock, which stops during a suspension, a gateway
//! that resumes would take an old proof for a recent one.

use std::time::Duration;

use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the host started, suspensions included.
pub fn now() -> Time {
    let t = clock_gettime(ClockId::Boottime);
    Time(t.tv_sec as u64 * 1_000_000 + t.tv_nsec as u64 / 1_000)
}

/// Converts a span to a duration.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// Returns the duration from now to `at`; zero if it has passed.
pub fn until(at: Time) -> Duration {
    duration(at.since(now()))
}

/// Converts a duration to a span.
pub fn span(duration: Duration) -> Span {
    Span(duration.as_micros() as u64)
}
