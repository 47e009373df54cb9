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

/// What a gateway knows of the store's outages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    /// When the newest call that was answered was sent.
    asked: Option<Time>,
    /// When the first answer after an outage came, until all entries must be back.
    returned: Option<Time>,
}

impl Outage {
    /// Notes a list that was asked for at `sent` and came at `now`, with `listed` entries and
    /// without `missing` ones of replicas in use; tells whether these may have lapsed.
    ///
    /// The store may have hung until the answer came, so an outage is counted up to `now`, and
    /// only a list that was asked for after the return is complete. Where fewer entries are
    /// missing than listed they are taken for gone: after a short outage that closes up to half of
    /// the replicas until their next renewal, for a second or two.
    pub fn may_have_lapsed(
        &mut self,
        sent: Time,
        now: Time,
        missing: usize,
        listed: usize,
    ) -> bool {
        let silent = self.asked.is_some_and(|last| now.since(last) > OUTAGE);
        if silent && missing > listed {
            self.returned = Some(now);
        }
        !self.is_over(sent)
    }

    /// Notes an answer to a call that was sent at `sent`; tells whether whatever it lacks is gone.
    pub fn is_over(&mut self, sent: Time) -> bool {
        self.asked = self.asked.max(Some(sent));
        self.returned = self.returned.filter(|at| sent < *at + RETURN);
        self.returned.is_none()
    }
}
