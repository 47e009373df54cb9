//! The clock of all decisions: it goes on while the host is suspended.
//!
//! A suspended gateway that wakes up must not take an old proof for a young one, as it would on
//! the usual monotonic clock, which stands still meanwhile.

use std::time::Duration;

use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time since the host was started, suspension included.
pub fn now() -> Time {
    let t = clock_gettime(ClockId::Boottime);
    Time(t.tv_sec as u64 * 1_000_000 + t.tv_nsec as u64 / 1_000)
}

/// The span as a duration.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// Duration from now to `at`; zero if it has passed.
pub fn until(at: Time) -> Duration {
    duration(at.since(now()))
}

/// The duration as a span.
pub fn span(duration: Duration) -> Span {
    Span(duration.as_micros() as u64)
}
