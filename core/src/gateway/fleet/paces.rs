//! Paces of the replicas in the fleet, and the slowdown that replicas state.

use super::Fleet;
use super::Replica;
use super::choice::Claim;
use super::choice::Criteria;
use crate::gateway::occupancy::Change;
use crate::gateway::occupancy::Snapshot;
use crate::gateway::pace;
use crate::gateway::pace::Class;
use crate::gateway::pace::Scale;
use crate::gateway::pace::Word;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Age at which a stated slowdown says nothing more: work beside a replica comes and goes within
/// half a second.
const SLOWDOWN_TTL: Span = Span::millis(600);
/// Upper bound on a stated slowdown, as a ratio. A greater one is a fault of the replica's.
const MAX_SLOWDOWN: f64 = 10.0;
/// Upper bound on the time that prompts awaiting prefill add to a gap, as a ratio of the gap: an
/// engine prefills a part of a prompt in each decoding step.
const MAX_PENDING_RATIO: f64 = 3.0;
/// Expected share of late streams from which an engine of the isolated pool is not good enough.
const MAX_LATE_SHARE: f64 = 0.5;

impl Fleet {
    /// Comparison of a service's open replicas by their classes.
    pub(super) fn scale(&self, service: &str) -> Scale {
        Scale::of(self.open_replicas(service).filter_map(|(_, replica)| replica.pace.class()))
    }

    /// Whether the paces of a service's replicas differ by more than a class.
    pub fn has_uneven_paces(&self, service: &str) -> bool {
        self.scale(service).varies()
    }

    /// Merges the pace of a replica as another gateway knows it.
    pub(in crate::gateway) fn receive_pace(&mut self, now: Time, replica: Digest, word: Word) {
        let key = self.by_digest.get(&replica).copied();
        if let Some(replica) = key.and_then(|key| self.replicas.get_mut(key)) {
            replica.pace.receive(now, word);
        }
    }

    /// Publishes the pace of a replica as its owner; returns whether it is a change.
    pub(in crate::gateway) fn publish_pace(
        &mut self,
        now: Time,
        replica: Digest,
        estimate: &pace::Estimate,
    ) -> bool {
        let key = self.by_digest.get(&replica).copied();
        let Some(replica) = key.and_then(|key| self.replicas.get_mut(key)) else {
            return false;
        };
        let class = estimate.class(replica.pace.class());
        class.is_some_and(|class| replica.pace.publish(now, class))
    }

    /// Newest known class of a replica with a word to pass on.
    pub(in crate::gateway) fn pace(&self, replica: Digest) -> Word {
        let key = self.by_digest.get(&replica);
        let replica = key.and_then(|key| self.replicas.get(*key));
        replica.map_or(Word::default(), |replica| replica.pace.word())
    }

    /// Notifies the engine's owner of a stream's gaps: their number, and their mean in milliseconds.
    pub(in crate::gateway) fn record_gaps(&mut self, claim: &Claim, gaps: u16, mean_ms: f64) {
        if self.is_counted(claim) {
            self.notify_owner(claim, Change::Gaps(gaps, mean_ms as f32));
        }
    }
}

impl Replica {
    /// Newest known class of the replica.
    pub fn class(&self) -> Option<Class> {
        self.pace.class()
    }

    /// Ratio of the time that work takes at this moment to the usual time, as the replica stated;
    /// it falls to 1 with the age of the statement.
    pub(super) fn slowdown(&self, now: Time) -> f64 {
        let stated = self.report.and_then(|report| Some((report.slowdown_percent?, report.at)));
        let Some((percent, at)) = stated else {
            return 1.0;
        };
        let ratio = (f64::from(percent) / 100.0).clamp(1.0, MAX_SLOWDOWN);
        let age = now.since(at).0 as f64 / SLOWDOWN_TTL.0 as f64;
        1.0 + (ratio - 1.0) * (1.0 - age).max(0.0)
    }
}

/// Ratios by which an engine's times differ from the typical ones of its service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ratios {
    /// Ratio of the engine's pace to the typical one.
    pub(super) pace: f64,
    /// Ratio by which its host is slower than usual at this moment.
    pub(super) slowdown: f64,
    /// Expected mean gap between events at the engine, in milliseconds; `None` if paces make no
    /// difference.
    gap_ms: Option<f64>,
    /// Expected share of the call's streams that are late by their pauses.
    pub(super) late_share: f64,
}

impl Ratios {
    /// The ratios of a replica for a call. All are neutral if paces agree and no slowdown is stated.
    pub(super) fn of(
        now: Time,
        scale: &Scale,
        criteria: Option<&Criteria>,
        replica: &Replica,
        snapshot: Option<&Snapshot>,
    ) -> Ratios {
        let Some(criteria) = criteria else {
            return Ratios { pace: 1.0, slowdown: 1.0, gap_ms: None, late_share: 0.0 };
        };
        let slowdown = replica.slowdown(now);
        let class = replica.pace.class();
        let calls = snapshot.map_or(replica.running(now), |s| f64::from(s.calls));
        let calls = calls.min(f64::from(criteria.slots));
        let gap_ms = scale.gap_ms(class).filter(|_| scale.varies() || slowdown > 1.0);
        let gap_ms = gap_ms.map(|ms| ms * criteria.batch.ratio(calls) * slowdown);
        let pending_ms = snapshot.map_or(replica.prefill_ms, |s| s.pending_prefill_ms.into());
        let gap_ms = gap_ms.map(|ms| ms + pending_ms.clamp(0.0, MAX_PENDING_RATIO * ms));
        let late_share = gap_ms.map_or(0.0, |ms| pace::late_share(ms, criteria.pause));
        Ratios { pace: scale.ratio(class), slowdown, gap_ms, late_share }
    }

    /// Cost in milliseconds of a prompt's prefill to `streams` sensitive streams at the engine: the
    /// allowed pause of each, for the share of them that the prompt makes late.
    pub(super) fn disturbance_ms(&self, criteria: &Criteria, prefill_ms: f64, streams: f64) -> f64 {
        let Some(gap_ms) = self.gap_ms else {
            return 0.0;
        };
        let pause = criteria.isolated_pause;
        let share = |gap_ms| pace::late_share(gap_ms, pause);
        let pause_ms = pause.as_secs_f64() * 1e3;
        streams * pause_ms * (share(gap_ms + prefill_ms) - share(gap_ms))
    }

    /// Ratio of the engine's prefill times to typical ones.
    pub(super) fn prefill(&self) -> f64 {
        self.pace * self.slowdown
    }
}

/// Whether enough streams are expected to be on time at the engine of a claim.
pub(super) fn is_good_enough(claim: &Claim) -> bool {
    claim.late_share <= MAX_LATE_SHARE
}
