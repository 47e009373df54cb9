//! What a read of the store is worth after the store came back from an older copy.
//!
//! For a moment it holds what others have long replaced: entries of replicas that have left, none of
//! those that joined, a configuration that was followed by another one. Taken for the newest state it
//! would send calls to replicas that leave and honour keys that were taken away.

use crate::time::Span;
use crate::time::Time;

/// Operator and replicas have written theirs again after this time.
const REWRITTEN: Span = Span::millis(2_200);
/// Entries of the copy whose holders are gone have lapsed after this time: several times the life of
/// an entry that is not renewed.
const LAPSED: Span = Span::secs(10);

/// The last return of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rollback {
    at: Option<Time>,
}

impl Rollback {
    /// Notes a return that showed at `now`.
    pub fn record(&mut self, now: Time) {
        self.at = Some(now);
    }

    /// Whether a read that was sent at `sent` may lack what others have yet to write again.
    pub fn may_miss_entries(&self, sent: Time) -> bool {
        self.at.is_some_and(|at| sent < at + REWRITTEN)
    }

    /// Whether a read that was sent at `sent` may show entries whose holders are gone.
    pub fn may_hold_stale_entries(&self, sent: Time) -> bool {
        self.at.is_some_and(|at| sent < at + LAPSED)
    }
}
