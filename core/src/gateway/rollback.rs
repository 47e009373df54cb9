//! Validity of reads of the store after a rollback to an older copy.
//!
//! For a short time the rolled back store holds an old configuration, entries of replicas that have
//! left and no entries of those that joined since. A gateway that took this for the current state
//! would send calls to leaving replicas and accept revoked keys.

use crate::time::Span;
use crate::time::Time;

/// Time after a rollback until the operator and the replicas have written their entries again.
const REWRITE_TIME: Span = Span::millis(2_200);
/// Time after a rollback until the old copy's entries of ended processes have expired: several
/// times the lifetime of an entry that is not renewed.
const EXPIRY_TIME: Span = Span::secs(10);

/// The last rollback of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rollback {
    detected_at: Option<Time>,
}

impl Rollback {
    /// Records a rollback that was detected at `now`.
    pub fn record(&mut self, now: Time) {
        self.detected_at = Some(now);
    }

    /// Whether a read that was sent at `sent` may miss entries that are yet to be written again.
    pub fn may_miss_entries(&self, sent: Time) -> bool {
        self.detected_at.is_some_and(|at| sent < at + REWRITE_TIME)
    }

    /// Whether a read that was sent at `sent` may hold entries of processes that have ended.
    pub fn may_hold_stale_entries(&self, sent: Time) -> bool {
        self.detected_at.is_some_and(|at| sent < at + EXPIRY_TIME)
    }
}
