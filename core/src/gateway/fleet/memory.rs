//! Memory of engines in the choice of an engine, and what gateways state of their calls.
//!
//! See [`crate::gateway::memory`].

use super::Fleet;
use super::Replica;
use super::choice::Claim;
use super::choice::Requirements;
use crate::arena::Key;
use crate::gateway::memory::Held;
use crate::gateway::memory::Need;
use crate::gateway::memory::Room;
use crate::gateway::memory::short_parts;
use crate::gateway::occupancy::Snapshot;
use crate::gateway::prefill;
use crate::gateway::submission::Part;
use crate::time::Span;
use crate::time::Time;

/// Age up to which an owner's snapshot says that an engine lacks memory. An engine with twenty calls
/// of two seconds each frees some of it every tenth of a second.
const MEMORY_TTL: Span = Span::millis(300);

impl Fleet {
    /// Keeps the memory of engines in the snapshots of their owners.
    pub(in crate::gateway) fn record_memory(&mut self, now: Time, snapshots: &[Snapshot]) {
        for snapshot in snapshots.iter().filter(|snapshot| snapshot.is_valid()) {
            let key = self.by_digest.get(&snapshot.engine).copied();
            if let Some(replica) = key.and_then(|key| self.replicas.get_mut(key))
                && let Some(held) = snapshot.memory
            {
                replica.memory = Some((now, held));
            }
        }
    }

    /// States what a call needs at its engine.
    pub(super) fn state_need(&mut self, claim: &Claim, parts: &[Part]) {
        if claim.answer.expected == 0 {
            return;
        }
        if let Some(replica) = self.replicas.get(claim.replica) {
            let (engine, parts) = (replica.digest(), short_parts(parts));
            let answer_tokens = claim.answer.expected;
            self.needs.push(Need { engine, call: claim.call, parts, answer_tokens });
        }
    }

    /// Counts events of a call's answer, and states its length if it is longer than expected; returns
    /// whether it is.
    pub(in crate::gateway) fn record_output(&mut self, claim: &mut Claim, events: u64) -> bool {
        let is_longer = claim.answer.record(events);
        if is_longer {
            self.state_need(claim, &[]);
        }
        is_longer
    }

    /// Removes and returns what this gateway's calls need. The caller adds this gateway's hash to
    /// their call numbers.
    pub fn drain_needs(&mut self) -> Vec<Need> {
        std::mem::take(&mut self.needs)
    }
}

/// The `usable` engines without those that lacked memory for a call in a recent snapshot, or all of
/// them if none is left.
pub(super) fn with_memory<'a>(
    now: Time,
    requirements: &Requirements<'_>,
    usable: Vec<(Key<Replica>, &'a Replica)>,
) -> Vec<(Key<Replica>, &'a Replica)> {
    // The engines that have the shared prefix in memory are the first to be chosen.
    let own_tokens = requirements.parts.last().map_or(0, |part| u64::from(part.tokens));
    let lacks = |replica: &Replica| {
        let recent = replica.memory.filter(|(at, _)| now.since(*at) < MEMORY_TTL);
        recent.is_some_and(|(_, held)| room(requirements, own_tokens, &held) == Room::Missing)
    };
    match usable.iter().all(|(_, replica)| lacks(replica)) {
        true => usable,
        false => usable.into_iter().filter(|(_, replica)| !lacks(replica)).collect(),
    }
}

/// Whether some owner told how much memory its engine has left, and none has enough for a call.
pub(in crate::gateway) fn is_missing(requirements: &Requirements<'_>) -> bool {
    let mut rooms =
        requirements.snapshots.iter().map(|snapshot| snapshot_room(requirements, snapshot));
    !requirements.snapshots.is_empty() && rooms.all(|room| room == Room::Missing)
}

/// Expected time in milliseconds for which an engine prefills again what it preempts for a call;
/// `None` if it has no memory for the call.
pub(super) fn preemption_ms(
    requirements: &Requirements<'_>,
    snapshot: Option<&Snapshot>,
) -> Option<f64> {
    let criteria = requirements.engine.as_ref();
    let limited = criteria.filter(|criteria| criteria.memory.is_some()).zip(snapshot);
    let Some((criteria, snapshot)) = limited else {
        return Some(0.0);
    };
    let mean = snapshot.memory.map_or(0, |held| held.mean());
    let is_full = u32::from(snapshot.calls) >= criteria.slots;
    let ahead = snapshot.ahead_of(requirements.rank, criteria.lowest_rank);
    let has_others = ahead.is_some_and(|ahead| ahead.calls < snapshot.calls);
    let tokens = match snapshot_room(requirements, snapshot) {
        Room::Missing => return None,
        Room::Preempting(tokens) => tokens.max(mean),
        Room::Free if is_full && has_others => mean,
        Room::Free => 0,
    };
    Some(criteria.prefill.prefill_ms(prefill::work(0, tokens)))
}

fn snapshot_room(requirements: &Requirements<'_>, snapshot: &Snapshot) -> Room {
    let Some(held) = snapshot.memory.filter(|_| snapshot.is_valid()) else {
        return Room::Free;
    };
    let prompt: u64 = requirements.parts.iter().map(|part| u64::from(part.tokens)).sum();
    room(requirements, prompt.saturating_sub(u64::from(held.shared)), &held)
}

fn room(requirements: &Requirements<'_>, prompt_tokens: u64, held: &Held) -> Room {
    let Some(criteria) = &requirements.engine else {
        return Room::Free;
    };
    let bound = criteria.memory;
    bound.map_or(Room::Free, |bound| {
        bound.room(requirements.rank, criteria.lowest_rank, prompt_tokens, held)
    })
}
