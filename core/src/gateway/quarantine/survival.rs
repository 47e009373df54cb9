//! Evidence that a replica has survived what looked like its crash.
//!
//! A restarted replica may have its predecessor's id and address, and may not state its start, so
//! that an answer alone does not show that the replica never crashed. A connection from before the
//! supposed crash that carries data long after it does, and so does the answer to a call that was
//! sent on it later. The evidence holds for the time up to which it shows the replica alive, and not
//! for a crash right after that.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::quarantine::LIVENESS_DELAY;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Time between two reports up to which they concern the same crash of a replica.
pub const SAME_CRASH: Span = Span::secs(1);
/// Time for which a supposed crash is remembered; evidence comes with the next calls.
const RETENTION: Span = Span::secs(600);
/// Time for which new evidence is gossiped.
const GOSSIP_PERIOD: Span = Span::secs(3);
/// Upper bound on supposed crashes that are remembered.
const MAX_CRASHES: usize = 4_096;
/// Upper bound on entries in one message.
const MAX_GOSSIP_ENTRIES: usize = 32;

/// Whether two times of crashes of one replica are those of the same crash.
pub fn is_same(a: Time, b: Time) -> bool {
    a.since(b).max(b.since(a)) < SAME_CRASH
}

/// Time up to which a replica was alive, since it has sent data at `now` in answer to a call that was
/// sent at `sent`. Data that it sent before a crash may be read for [`LIVENESS_DELAY`].
pub fn alive_until(now: Time, sent: Time) -> Time {
    sent.max(now - LIVENESS_DELAY)
}

/// A crash that a replica has survived, as gossiped between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Survival {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Time since the supposed crash, in milliseconds.
    pub age_ms: u32,
    /// Time since it was last shown to be alive, in milliseconds.
    pub alive_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Supposed {
    at: Time,
    /// Time up to which the replica was alive afterwards, and when this gateway learned of it.
    refuted: Option<(Time, Time)>,
}

impl Supposed {
    /// Whether a report of a crash at `at` is of this one, as far as known.
    fn is_of(&self, at: Time) -> bool {
        is_same(self.at, at) && self.refuted.is_none_or(|(alive, _)| at < alive)
    }
}

/// Supposed crashes of replicas, and which of them were none.
#[derive(Debug, Default)]
pub struct Survivals {
    crashes: BTreeMap<Digest, Vec<Supposed>>,
}

impl Survivals {
    /// Watches for evidence that `replica` has survived its supposed crash at `at`.
    pub fn watch(&mut self, replica: Digest, at: Time) {
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&replica) {
            return;
        }
        let crashes = self.crashes.entry(replica).or_default();
        if !crashes.iter().any(|crash| crash.is_of(at)) {
            crashes.push(Supposed { at, refuted: None });
        }
    }

    /// Records at `now` that `replica` was alive at `alive`, by data on a connection that was opened at
    /// `opened`; returns the time of a crash that this refutes, and the time up to which the replica was
    /// alive.
    pub fn observe(
        &mut self,
        now: Time,
        replica: Digest,
        opened: Time,
        alive: Time,
    ) -> Option<(Time, Time)> {
        let crashes = self.crashes.get_mut(&replica)?;
        let is_refuted = |at: Time| opened <= at && at < alive;
        let crash = crashes.iter_mut().find(|c| c.refuted.is_none() && is_refuted(c.at))?;
        crash.refuted = Some((alive, now));
        Some((crash.at, alive))
    }

    /// Whether `replica` has survived its supposed crash at `at`.
    pub fn has_survived(&self, replica: Digest, at: Time) -> bool {
        let crashes = self.crashes.get(&replica).into_iter().flatten();
        crashes.into_iter().any(|crash| crash.refuted.is_some() && crash.is_of(at))
    }

    /// Recently refuted crashes to gossip.
    pub fn gossip(&self, now: Time) -> Vec<Survival> {
        let all = self.crashes.iter().flat_map(|(r, crashes)| crashes.iter().map(|c| (*r, *c)));
        let age_ms = |at: Time| now.since(at).as_millis().min(u64::from(u32::MAX)) as u32;
        let survivals = all.filter_map(|(replica, crash)| {
            let (alive, learned) = crash.refuted?;
            let is_recent = now.since(learned) < GOSSIP_PERIOD;
            let survival = Survival { replica, age_ms: age_ms(crash.at), alive_ms: age_ms(alive) };
            is_recent.then_some(survival)
        });
        survivals.take(MAX_GOSSIP_ENTRIES).collect()
    }

    /// Merges a survival that a peer knows of; returns the time of the crash, and the time up to which
    /// the replica was alive, if it is new.
    pub fn merge(&mut self, now: Time, survival: &Survival) -> Option<(Time, Time)> {
        let at = now - Span::millis(u64::from(survival.age_ms));
        let alive = now - Span::millis(u64::from(survival.alive_ms));
        self.watch(survival.replica, at);
        let crashes = self.crashes.get_mut(&survival.replica)?;
        let is_refuted =
            |c: &&mut Supposed| c.refuted.is_none() && is_same(c.at, at) && c.at < alive;
        let crash = crashes.iter_mut().find(is_refuted)?;
        crash.refuted = Some((alive, now));
        Some((crash.at, alive))
    }

    /// Forgets old crashes.
    pub fn sweep(&mut self, now: Time) {
        self.crashes.retain(|_, crashes| {
            crashes.retain(|crash| now.since(crash.at) < RETENTION);
            !crashes.is_empty()
        });
    }
}
