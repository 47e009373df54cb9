//! Whether this process runs on time.
//!
//! A process that was frozen, or got no processor, finds data in its buffers that may have been sent
//! long before. Such data is no sign of life of its sender, and the ages that messages state are too
//! low.

use crate::time::Span;
use crate::time::Time;

/// Time between two ticks.
pub const TICK_INTERVAL: Span = Span::millis(100);
/// Time between two ticks from which on the process was late; a busy one is late by a few intervals.
const MAX_GAP: Span = Span::millis(500);
/// Time after a gap in which data from before its end is still read.
const SETTLE_TIME: Span = Span::millis(100);

/// Ticks of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pulse {
    last: Option<Time>,
    /// End of the last gap.
    resumed: Option<Time>,
}

impl Pulse {
    /// Records a tick.
    pub fn record(&mut self, now: Time) {
        if self.has_gap(now) {
            self.resumed = Some(now);
        }
        self.last = Some(now);
    }

    /// Whether data that is read now may have been sent long before.
    pub fn is_behind(&self, now: Time) -> bool {
        self.has_gap(now) || self.resumed.is_some_and(|at| now.since(at) < SETTLE_TIME)
    }

    fn has_gap(&self, now: Time) -> bool {
        self.last.is_some_and(|last| now.since(last) > MAX_GAP)
    }
}
