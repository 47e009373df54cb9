//! Whether the store was out for everybody, so that leases may have lapsed although their holders
//! live.
//!
//! Entries that are missing after an outage are used for a while all the same, or the list would
//! empty the fleet. Entries that are missing at any other time belong to replicas that have left,
//! and calls to these are lost. What tells the two apart is whether *any* gateway had an answer
//! meanwhile, not whether this one had: its own link or processor may have been busy, or it may
//! have been cut off alone.

use crate::time::Span;
use crate::time::Time;

/// Without an answer to any gateway for this long, leases may have lapsed: replicas renew theirs
/// every 1.2 s or so, and the store removes them after three times that, counted from a renewal
/// that lies before the outage.
const OUTAGE: Span = Span::millis(2_500);
/// How long missing entries are kept after an outage: replicas that live have written theirs again
/// within about two seconds.
const RETURN: Span = Span::millis(2_200);

/// When the store answered last, as far as this gateway knows, and when it came back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    answered: Option<Time>,
    returned: Option<Time>,
}

impl Outage {
    /// Notes that the store answered a call that a gateway, this one or another, made at `at`.
    pub fn answered(&mut self, at: Time) {
        let last = *self.answered.get_or_insert(at);
        if at.since(last) > OUTAGE {
            self.returned = Some(at);
        }
        self.answered = self.answered.max(Some(at));
    }

    /// Whether entries that are missing at `now` may have lapsed in an outage.
    pub fn may_have_lapsed(&self, now: Time) -> bool {
        self.returned.is_some_and(|at| now.since(at) < RETURN)
    }
}
