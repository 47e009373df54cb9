//! Graceful shutdown: which calls still begin, and how the others end.

use super::ELSEWHERE;
use super::Gateway;
use super::Grant;
use crate::gateway::refusal::Reason;
use crate::gateway::refusal::Refusal;
use crate::time::Span;
use crate::time::Time;

/// A planned stop in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    /// From when on all callers know of it.
    learned: Time,
    /// When calls that have no answer yet get one; the process ends shortly after.
    end: Time,
}

impl Gateway {
    /// Begins to leave: no new callers are sent here. All callers know of it after `learned`, and
    /// calls end after `grace`.
    pub fn stop(&mut self, now: Time, learned: Span, grace: Span) {
        self.stop = Some(Stop { learned: now + learned, end: now + grace });
    }

    /// Whether the gateway is leaving.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Whether the gateway is leaving and all callers had the time to learn of it.
    pub fn is_closing(&self, now: Time) -> bool {
        self.stop.is_some_and(|stop| now > stop.learned)
    }

    /// Whether the gateway is leaving and calls that have no answer yet are to get one now.
    pub fn is_grace_over(&self, now: Time) -> bool {
        self.stop.is_some_and(|stop| now >= stop.end)
    }

    /// Looks whether a call of which nothing has run may still be sent to a replica.
    ///
    /// Once all callers had the time to learn of a stop, a call that may outlast the process would
    /// be cut in the middle of its answer. While nothing of it has run, it is better off elsewhere.
    ///
    /// # Errors
    ///
    /// The refusal to answer with.
    pub fn may_begin(&self, now: Time, grant: &Grant) -> Result<(), Refusal> {
        if self.stop.is_some_and(|stop| now > stop.learned && grant.deadline > stop.end) {
            return Err(Refusal::not_run(Reason::Stopping, ELSEWHERE));
        }
        Ok(())
    }
}
