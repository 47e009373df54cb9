//! Graceful shutdown: which calls may still begin, and when the others have to end.
//!
//! A stop has two deadlines. Until the first, callers may not know of the stop yet, so new calls
//! are served as usual. Between both, a call may only begin if its own deadline lies before the
//! second.

use super::Gateway;
use super::Grant;
use super::RETRY_ELSEWHERE;
use crate::gateway::refusal::Reason;
use crate::gateway::refusal::Refusal;
use crate::time::Span;
use crate::time::Time;

/// A planned stop in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    /// Time from which all callers know of the stop.
    announced_by: Time,
    /// Time when calls without an answer are refused; the process ends shortly after.
    end: Time,
}

impl Gateway {
    /// Begins a stop: this gateway is no longer given to callers. All callers know of the stop
    /// after `announcement`, and calls end after `grace`.
    pub fn stop(&mut self, now: Time, announcement: Span, grace: Span) {
        self.stop = Some(Stop { announced_by: now + announcement, end: now + grace });
    }

    /// Whether the gateway is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Whether the gateway is stopping and all callers know of it, so that connections may be
    /// closed.
    pub fn is_closing(&self, now: Time) -> bool {
        self.stop.is_some_and(|stop| now > stop.announced_by)
    }

    /// Whether the gateway is stopping and calls that still have no answer must be refused now.
    pub fn is_grace_over(&self, now: Time) -> bool {
        self.stop.is_some_and(|stop| now >= stop.end)
    }

    /// Checks whether a call that has not run may be sent to a replica.
    ///
    /// Once all callers know of the stop, a call that may last longer than the process is refused,
    /// so that the caller retries elsewhere. Its answer would otherwise be cut off in the middle.
    ///
    /// # Errors
    ///
    /// The refusal to answer the caller with.
    pub fn may_begin(&self, now: Time, grant: &Grant) -> Result<(), Refusal> {
        if self.stop.is_some_and(|stop| now > stop.announced_by && grant.deadline > stop.end) {
            return Err(Refusal::not_run(Reason::Stopping, RETRY_ELSEWHERE));
        }
        Ok(())
    }
}
