//! How old a gateway's proof is that its configuration is the newest.
//!
//! A revoked key may only be honoured for a bounded time, by every gateway, also one that is cut
//! off. So a key counts only while the last sound read of the store is young enough. The age runs
//! from when the read was *sent*: what the store had accepted before that moment is in the answer.

use crate::time::Span;
use crate::time::Time;

/// Taken off the bound: the clock's drift and the way from the last look at it to the replica.
const MARGIN: Span = Span::millis(500);

/// Proof that a configuration is current, and how long it may be used.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    bound: Option<Span>,
    proved: Option<Time>,
}

impl Freshness {
    /// No proof yet; `bound` is the longest age of a proof, or `None` if any age will do.
    pub fn new(bound: Option<Span>) -> Freshness {
        Freshness { bound, proved: None }
    }

    /// Notes a sound read that was sent at `sent`.
    pub fn record_proof(&mut self, sent: Time) {
        self.proved = self.proved.max(Some(sent));
    }

    /// When the newest sound read was sent.
    pub fn proved_at(&self) -> Option<Time> {
        self.proved
    }

    /// Age of the newest proof.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.proved.map(|at| now.since(at))
    }

    /// Whether keys may be honoured at `now`.
    pub fn is_current(&self, now: Time) -> bool {
        match (self.bound, self.age(now)) {
            (None, proof) => proof.is_some(),
            (Some(bound), Some(age)) => age + MARGIN < bound,
            (Some(_), None) => false,
        }
    }
}
