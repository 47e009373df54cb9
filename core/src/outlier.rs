//! Ejects upstreams after consecutive failures.
//!
//! After an ejection one request at a time is sent as a probe. A complete answer ends the
//! suspension; a failure ejects the upstream again, for longer each time.

use crate::time::Span;
use crate::time::Time;

/// Consecutive failures that eject an upstream.
pub const EJECTION_THRESHOLD: u32 = 3;
/// Duration of the first ejection; it doubles with each further one.
pub const MIN_EJECTION: Span = Span::secs(2);
/// Upper bound on doublings of the duration.
const MAX_DOUBLINGS: u32 = 4;

/// Failures and ejections of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Consecutive failures.
    failures: u32,
    /// Recent ejections; decreases with each complete answer.
    ejections: u32,
    /// End of the last ejection; `None` unless the upstream is suspended.
    until: Option<Time>,
    /// Whether a probe is in progress.
    probing: bool,
}

/// Whether requests may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Requests are sent without restriction.
    Open,
    /// One request is sent at a time, to find out whether the upstream works again.
    Probe,
    /// No requests are sent.
    Ejected,
}

impl Record {
    /// State at `now`.
    pub fn state(&self, now: Time) -> State {
        match self.until {
            None => State::Open,
            Some(until) if now < until => State::Ejected,
            Some(_) if self.probing => State::Ejected,
            Some(_) => State::Probe,
        }
    }

    /// Whether the upstream is ejected or probed.
    pub fn is_suspended(&self) -> bool {
        self.until.is_some()
    }

    /// Records that a request was sent, which is a probe if the upstream is suspended.
    pub fn start_probe(&mut self) {
        if self.until.is_some() {
            self.probing = true;
        }
    }

    /// Records a complete answer.
    pub fn record_success(&mut self) {
        *self = Record { ejections: self.ejections.saturating_sub(1), ..Record::default() };
    }

    /// Records a failure; `may_eject` is false if no more upstreams of the group may be ejected.
    pub fn record_failure(&mut self, now: Time, may_eject: bool) {
        self.failures += 1;
        if self.until.is_some() || (self.failures >= EJECTION_THRESHOLD && may_eject) {
            let duration = Span(MIN_EJECTION.0 << self.ejections.min(MAX_DOUBLINGS));
            self.until = Some(now + duration);
            self.ejections += 1;
            self.probing = false;
        }
    }
}
