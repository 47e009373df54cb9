//! Evidence that a replica has survived what looked like its crash.
//!
//! A restarted replica may have its predecessor's id and address, and may not state its start, so
//! that an answer alone does not show that the replica never crashed. A connection from before the
//! supposed crash that still carries data does, and so does a call that was sent after it and
//! answered sooner than a replica can start.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::quarantine::LIVENESS_DELAY;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Time from a crash in which no replica has started again and answered a call.
const MIN_RESTART_TIME: Span = Span::millis(500);
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

/// Whether a replica did not crash at `crashed`, since it has sent data at `now` in answer to a call
/// that was sent at `sent` on a connection that was opened at `opened`.
pub fn is_survived(crashed: Time, now: Time, opened: Time, sent: Time) -> bool {
    let is_older = opened <= crashed && now > crashed + LIVENESS_DELAY;
    is_older || (sent > crashed && now < crashed + MIN_RESTART_TIME)
}

/// A crash that a replica has survived, as gossiped between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Survival {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Time since the supposed crash, in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Supposed {
    at: Time,
    /// Time at which evidence arrived that the replica survived.
    refuted: Option<Time>,
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
        if !crashes.iter().any(|crash| is_same(crash.at, at)) {
            crashes.push(Supposed { at, refuted: None });
        }
    }

    /// Records that `replica` has sent data at `now`, in answer to a call that was sent at `sent` on a
    /// connection that was opened at `opened`; returns the time of a crash that this refutes.
    pub fn observe(
        &mut self,
        now: Time,
        replica: Digest,
        opened: Time,
        sent: Time,
    ) -> Option<Time> {
        let crashes = self.crashes.get_mut(&replica)?;
        let is_refuted = |at: Time| is_survived(at, now, opened, sent);
        let crash = crashes.iter_mut().find(|c| c.refuted.is_none() && is_refuted(c.at))?;
        crash.refuted = Some(now);
        Some(crash.at)
    }

    /// Whether `replica` has survived its supposed crash at `at`.
    pub fn has_survived(&self, replica: Digest, at: Time) -> bool {
        let crashes = self.crashes.get(&replica).into_iter().flatten();
        crashes.into_iter().any(|crash| crash.refuted.is_some() && is_same(crash.at, at))
    }

    /// Recently refuted crashes to gossip.
    pub fn gossip(&self, now: Time) -> Vec<Survival> {
        let all = self.crashes.iter().flat_map(|(r, crashes)| crashes.iter().map(|c| (*r, *c)));
        let recent = all.filter(|(_, c)| c.refuted.is_some_and(|at| now.since(at) < GOSSIP_PERIOD));
        let survivals = recent.map(|(replica, crash)| Survival {
            replica,
            age_ms: now.since(crash.at).as_millis().min(u64::from(u32::MAX)) as u32,
        });
        survivals.take(MAX_GOSSIP_ENTRIES).collect()
    }

    /// Merges a survival that a peer knows of; returns the time of the crash if it is new.
    pub fn merge(&mut self, now: Time, survival: &Survival) -> Option<Time> {
        let at = now - Span::millis(u64::from(survival.age_ms));
        self.watch(survival.replica, at);
        let crashes = self.crashes.get_mut(&survival.replica)?;
        let crash = crashes.iter_mut().find(|c| c.refuted.is_none() && is_same(c.at, at))?;
        crash.refuted = Some(now);
        Some(crash.at)
    }

    /// Forgets old crashes.
    pub fn sweep(&mut self, now: Time) {
        self.crashes.retain(|_, crashes| {
            crashes.retain(|crash| now.since(crash.at) < RETENTION);
            !crashes.is_empty()
        });
    }
}
