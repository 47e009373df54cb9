//! Detects missing entries of live replicas, whose leases expired in an outage of the store.
//!
//! After an outage most entries are missing for a short time, and a gateway that followed the list
//! would drop most of its replicas. At any other time a missing entry means that the replica has
//! left, and calls that are still sent to it are lost. The time without a reply does not tell the
//! two cases apart, because this gateway may itself have been paused or its link or processor busy.
//! The list does: leases expire together, while replicas leave a few at a time.

use crate::time::Span;
use crate::time::Time;

/// Time without a reply after which leases may have expired. Replicas renew them about every 1.2 s,
/// and the store removes them after three times that, counted from the last renewal before the
/// outage.
const MIN_OUTAGE: Span = Span::millis(2_500);
/// Time after an outage in which missing entries are retained. Live replicas write theirs again
/// within about two seconds.
const RETENTION: Span = Span::millis(2_200);

/// Extent to which a list lacks entries of replicas in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Absence {
    /// Whether, over all services, more entries are newly missing than are listed.
    pub most_at_once: bool,
    /// Whether, for any one service, more entries are missing than are listed.
    pub most_of_a_service: bool,
}

/// Outages of the store as seen by this gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    /// Time when the newest call with a reply was sent.
    last_answered: Option<Time>,
    /// Time of the first reply after an outage, until missing entries are no longer retained.
    ended_at: Option<Time>,
}

impl Outage {
    /// Records a list that was requested at `sent` and received at `now`; returns whether the
    /// entries that it lacks may have expired in an outage.
    ///
    /// The store may have hung until its reply, so the time without a reply ends at `now`, and only
    /// a list that was requested after the outage is complete. If most entries of all services are
    /// missing, no time without a reply is needed, because two short outages may have a reply
    /// between them. If few entries are missing, their replicas are taken to have left. After a
    /// short outage this closes less than half of each service for a second or two, until the next
    /// renewal.
    pub fn record_list(&mut self, sent: Time, now: Time, absence: Absence) -> bool {
        let silent = self.last_answered.is_some_and(|last| now.since(last) > MIN_OUTAGE);
        if absence.most_at_once || (silent && absence.most_of_a_service) {
            self.ended_at = Some(now);
        }
        !self.record_reply(sent)
    }

    /// Records a reply to a call that was sent at `sent`; returns whether replicas that are missing
    /// from it have left.
    pub fn record_reply(&mut self, sent: Time) -> bool {
        self.last_answered = self.last_answered.max(Some(sent));
        self.ended_at = self.ended_at.filter(|at| sent < *at + RETENTION);
        self.ended_at.is_none()
    }
}
