//! Points and spans of time, in microseconds. The driver supplies all points; nothing reads a
//! clock.

use std::ops::Add;
use std::ops::Sub;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// A point on the driver's monotonic clock, in microseconds since its start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[display("{_0}us")]
pub struct Time(pub u64);

/// A length of time in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[display("{_0}us")]
pub struct Span(pub u64);

impl Time {
    /// The span from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// A span of whole milliseconds.
    pub const fn millis(ms: u64) -> Span {
        Span(ms.saturating_mul(1_000))
    }

    /// A span of whole seconds.
    pub const fn secs(s: u64) -> Span {
        Span(s.saturating_mul(1_000_000))
    }

    /// The span in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span of `s` seconds; zero for negative or non-finite input.
    pub fn from_secs_f64(s: f64) -> Span {
        Span((s * 1e6) as u64)
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}
