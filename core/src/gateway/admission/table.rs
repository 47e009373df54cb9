//! The queues of the replicas that this gateway owns.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Answer;
use super::Decision;
use super::Request;
use super::queue::Load;
use super::queue::Queue;
use crate::gateway::occupancy::Snapshot;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Time between two decisions on queues at which nothing has changed, for calls whose time passes.
pub const CHECK_INTERVAL: Span = Span::millis(50);

/// Queues by replica; a replica without waiting and granted calls has none.
#[derive(Debug, Default)]
pub struct Table {
    queues: BTreeMap<Digest, Queue>,
    /// Replicas at which something has changed since the last decision.
    changed: BTreeSet<Digest>,
    /// Time of the last decision on all queues.
    checked: Time,
    /// Decisions on other calls than the one that was asked for, to be sent.
    decided: Vec<Decision>,
}

impl Table {
    /// Answers a request for a place at a replica with this occupancy.
    pub fn join(&mut self, now: Time, request: &Request, occupancy: &Snapshot) -> Answer {
        let queue = self.queues.entry(request.replica).or_default();
        let answer = queue.join(now, request, occupancy);
        self.decided.extend(queue.decide(now, occupancy));
        match self.decided.iter().position(|(call, _)| *call == request.call) {
            Some(at) => self.decided.swap_remove(at).1,
            None => answer,
        }
    }

    /// Records that a call was sent or has left; its place is reserved no longer.
    pub fn close(&mut self, now: Time, replica: Digest, call: u64) {
        if let Some(queue) = self.queues.get_mut(&replica) {
            queue.close(now, call);
            self.changed.insert(replica);
        }
    }

    /// Records that the occupancy of a replica has changed.
    pub fn touch(&mut self, replica: Digest) {
        if self.queues.contains_key(&replica) {
            self.changed.insert(replica);
        }
    }

    /// Decides on the calls that wait at replicas where something has changed, and on all others
    /// in each [`CHECK_INTERVAL`], by the occupancies of their replicas; `None` stands for a replica
    /// that this gateway does not own, or whose calls it does not know. Returns the decisions to
    /// send.
    pub fn decide(
        &mut self,
        now: Time,
        mut occupancy: impl FnMut(Digest) -> Option<Snapshot>,
    ) -> Vec<Decision> {
        let mut decided = std::mem::take(&mut self.decided);
        let changed = std::mem::take(&mut self.changed);
        let is_due = now.since(self.checked) >= CHECK_INTERVAL;
        if is_due {
            self.checked = now;
        }
        self.queues.retain(|replica, queue| {
            if !is_due && !changed.contains(replica) {
                return true;
            }
            match occupancy(*replica) {
                Some(occupancy) => decided.extend(queue.decide(now, &occupancy)),
                None => decided.extend(queue.dissolve()),
            }
            !queue.is_idle(now)
        });
        decided
    }

    /// Calls that wait or hold a reserved place at a replica.
    pub fn load(&self, replica: Digest) -> Load {
        self.queues.get(&replica).map_or(Load::default(), Queue::load)
    }

    /// Number of calls that wait at all replicas.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.load().waiting).sum()
    }

    /// Whether there are decisions to make or to send.
    pub fn is_active(&self) -> bool {
        !self.decided.is_empty() || self.queues.values().any(|queue| queue.load().waiting > 0)
    }
}
