//! Ejection of upstreams that fail again and again, with a cap, and probing back.

use crate::time::Span;
use crate::time::Time;

/// Consecutive failures that eject an upstream.
pub const EJECTION_THRESHOLD: u32 = 3;
/// First length of an ejection; it doubles with each further one.
pub const MIN_EJECTION: Span = Span::secs(2);
const MAX_DOUBLINGS: u32 = 4;

/// Failure record of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Record {
    failures: u32,
    ejections: u32,
    until: Option<Time>,
    probing: bool,
}

/// Whether an upstream may get work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// As usual.
    Open,
    /// One request at a time, to see whether it works again.
    Probe,
    /// Nothing.
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

    /// Whether the upstream is out or on probation.
    pub fn is_suspended(&self) -> bool {
        self.until.is_some()
    }

    /// Notes that a probing request was sent.
    pub fn start_probe(&mut self) {
        if self.until.is_some() {
            self.probing = true;
        }
    }

    /// Notes an answer that came to its end.
    pub fn record_success(&mut self) {
        *self = Record { ejections: self.ejections.saturating_sub(1), ..Record::default() };
    }

    /// Notes a failure; `may_eject` is false when the group's cap is reached.
    pub fn record_failure(&mut self, now: Time, may_eject: bool) {
        self.failures += 1;
        if self.until.is_some() || (self.failures >= EJECTION_THRESHOLD && may_eject) {
            let length = Span(MIN_EJECTION.0 << self.ejections.min(MAX_DOUBLINGS));
            self.until = Some(now + length);
            self.ejections += 1;
            self.probing = false;
        }
    }
}
