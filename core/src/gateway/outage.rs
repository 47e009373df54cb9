//! Which entries that a list lacks may have lapsed in an outage of the store, although their
//! holders live.
//!
//! After an outage most entries are missing for a moment, and going by the list would empty the
//! fleet. At any other time a missing entry belongs to a replica that has left, and calls that are
//! still sent there are lost with it. A gateway can't tell an outage from a busy link or processor
//! of its own, or from having been frozen, by the time that passed; the list itself can: leases
//! lapse together, while replicas leave a few at a time.

use crate::time::Span;
use crate::time::Time;

/// Leases may have lapsed if no answer came for this long: replicas renew theirs every 1.2 s or
/// so, and the store removes them after three times that, counted from a renewal that lies before
/// the outage.
const OUTAGE: Span = Span::millis(2_500);
/// How long missing entries are kept after an outage: replicas that live have written theirs again
/// within about two seconds.
const RETURN: Span = Span::millis(2_200);

/// How much of what is in use a list lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Absence {
    /// Of all services together more is missing, and was not before, than is listed.
    pub most_at_once: bool,
    /// Of some service more is missing than listed.
    pub most_of_a_service: bool,
}

/// What a gateway knows of the store's outages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    /// When the newest call that was answered was sent.
    asked: Option<Time>,
    /// When the first answer after an outage came, until all entries must be back.
    returned: Option<Time>,
}

impl Outage {
    /// Notes a list that was asked for at `sent` and came at `now` and lacks entries of replicas in
    /// use; returns whether these may have lapsed.
    ///
    /// The store may have hung until the answer came, so silence is counted up to `now`, and only
    /// a list that was asked for after the return is complete. Where most of all entries are
    /// missing no silence is needed: two short outages in a row have an answer in between. Where
    /// few are, they are taken for gone; after a short outage that closes less than half of each
    /// service until the next renewal, for a second or two.
    pub fn record_list(&mut self, sent: Time, now: Time, absence: Absence) -> bool {
        let silent = self.asked.is_some_and(|last| now.since(last) > OUTAGE);
        if absence.most_at_once || (silent && absence.most_of_a_service) {
            self.returned = Some(now);
        }
        !self.record_reply(sent)
    }

    /// Records an answer to a call that was sent at `sent`; returns whether what it lacks is gone.
    pub fn record_reply(&mut self, sent: Time) -> bool {
        self.asked = self.asked.max(Some(sent));
        self.returned = self.returned.filter(|at| sent < *at + RETURN);
        self.returned.is_none()
    }
}
