//! Age of the proof that a gateway's configuration is current.
//!
//! Every gateway, also one that is partitioned, may accept a revoked key for a bounded time only.
//! It therefore accepts keys only while its last valid read of the store is recent enough. The age
//! counts from when the read was *sent*, because its result includes all writes that the store had
//! accepted before.

use crate::time::Span;
use crate::time::Time;

/// Margin below the bound, for the drift of the clock and the time from the check to the arrival of
/// the call at a replica.
const MARGIN: Span = Span::millis(500);

/// Longest time between two proofs in which this gateway has missed nothing that lasts.
const MAX_GAP: Span = Span::secs(3);

/// Newest proof that the configuration is current, with the upper bound on its age.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    max_age: Option<Span>,
    proved_at: Option<Time>,
    /// First of the proofs without a longer gap than [`MAX_GAP`] before the newest one.
    unbroken_since: Option<Time>,
}

impl Freshness {
    /// A state without a proof. A proof is valid up to the age `max_age`, or forever if it is
    /// `None`.
    pub fn new(max_age: Option<Span>) -> Freshness {
        Freshness { max_age, proved_at: None, unbroken_since: None }
    }

    /// Records a valid read that was sent at `sent`.
    pub fn record_proof(&mut self, sent: Time) {
        if self.proved_at.is_none_or(|last| sent.since(last) > MAX_GAP) {
            self.unbroken_since = Some(sent);
        }
        self.proved_at = self.proved_at.max(Some(sent));
    }

    /// Time since which proofs have followed each other without a long gap, up to `now`.
    pub fn unbroken_since(&self, now: Time) -> Option<Time> {
        let is_recent = self.age(now).is_some_and(|age| age <= MAX_GAP);
        self.unbroken_since.filter(|_| is_recent)
    }

    /// Time when the newest valid read was sent.
    pub fn proved_at(&self) -> Option<Time> {
        self.proved_at
    }

    /// Age of the newest proof.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.proved_at.map(|at| now.since(at))
    }

    /// Whether the proof is valid at `now`, so that keys may be accepted.
    pub fn is_current(&self, now: Time) -> bool {
        match (self.max_age, self.age(now)) {
            (None, proof) => proof.is_some(),
            (Some(max_age), Some(age)) => age + MARGIN < max_age,
            (Some(_), None) => false,
        }
    }
}
