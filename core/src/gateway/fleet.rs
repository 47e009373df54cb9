//! The replicas of all services: membership, load, and choice of a replica for each call.
//!
//! [`Fleet::update`] applies a list of replicas, [`Fleet::choose`] selects one for a call, and the
//! `record_` methods follow each attempt from its start to its end. All state belongs to one
//! incarnation of a replica: a report about an earlier incarnation never counts for the current
//! one.

mod builds;
mod choice;
mod cooldown;
mod copies;
mod departures;
mod evidence;
mod limits;
mod list;
mod memory;
mod paces;
mod partial;
mod places;
mod reconcile;
mod replica;
mod scarcity;
mod standby;

use std::collections::BTreeMap;

use crate::arena::Arena;
use crate::arena::Key;
use crate::gateway::brittle;
use crate::gateway::build::Census;
use crate::gateway::departure;
use crate::gateway::gossip;
use crate::gateway::gossip::Observation;
use crate::gateway::limit;
use crate::gateway::memory::Need;
use crate::gateway::occupancy::Change;
use crate::gateway::occupancy::Update;
use crate::gateway::pace::Word;
use crate::gateway::submission::Part;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

pub use self::choice::Claim;
pub use self::choice::Criteria;
pub use self::choice::Requirements;
pub use self::copies::has_copyable_prefix;
pub use self::evidence::Certainty;
use self::evidence::Lineage;
use self::evidence::Proofs;
pub use self::list::Changes;
pub(super) use self::memory::is_missing;
pub use self::reconcile::Presence;
use self::reconcile::Removed;
use self::replica::INITIAL_BACKOFF;
pub use self::replica::Listing;
pub use self::replica::Load;
pub use self::replica::Outcome;
pub use self::replica::Replica;

/// Upper bound on the backoff after failed connections.
const MAX_BACKOFF: Span = Span::secs(3);
/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Ratio of actual to expected times to first event from which a replica counts as a straggler, so
/// that its gaps between events don't count for its service. At half of this ratio, every engine
/// would be a straggler during a burst.
const STRAGGLER_SLOWNESS: f64 = 4.0;
/// Weight of the newest time to first event in a replica's slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;

/// The replicas of all services as this gateway knows them.
#[derive(Debug, Default)]
pub struct Fleet {
    replicas: Arena<Replica>,
    by_id: BTreeMap<String, Key<Replica>>,
    by_digest: BTreeMap<Digest, Key<Replica>>,
    by_service: BTreeMap<String, Vec<Key<Replica>>>,
    /// Incarnations that were removed.
    removed: BTreeMap<Digest, Removed>,
    proofs: Proofs,
    lineage: Lineage,
    census: Census,
    /// Number of the last list of replicas.
    list_number: u64,
    /// Number of the last attempt, by which owners of engines identify it.
    last_call: u32,
    updates: Vec<Update>,
    needs: Vec<Need>,
    limits: limit::Table,
    departures: departure::Table,
    brittle: brittle::Table,
    ring: brittle::Ring,
}

impl Fleet {
    /// The replica with this key.
    pub fn get(&self, key: Key<Replica>) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// The listed replica of an incarnation.
    pub fn find(&self, incarnation: Digest) -> Option<&Replica> {
        self.by_digest.get(&incarnation).and_then(|key| self.replicas.get(*key))
    }

    /// Whether a replica with this incarnation is known.
    pub fn contains(&self, incarnation: Digest) -> bool {
        self.by_digest.contains_key(&incarnation)
    }

    /// Whether a replica with this incarnation is listed and may get calls.
    pub fn is_open(&self, incarnation: Digest) -> bool {
        let key = self.by_digest.get(&incarnation).copied();
        key.and_then(|key| self.replicas.get(key)).is_some_and(Replica::is_open)
    }

    /// All replicas.
    pub fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.iter().map(|(_, r)| r)
    }

    /// Names of the services that have replicas.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.by_service.iter().filter(|(_, keys)| !keys.is_empty()).map(|(name, _)| name.as_str())
    }

    /// The replicas of a service that are not known to leave or to be gone.
    pub fn open_replicas(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (Key<Replica>, &Replica)> + Clone {
        let keys = self.by_service.get(service).into_iter().flatten();
        let replicas = keys.filter_map(|key| Some((*key, self.replicas.get(*key)?)));
        replicas.filter(|(_, replica)| replica.is_open())
    }

    /// Number of a service's replicas that may get calls at `now`.
    pub fn usable(&self, now: Time, service: &str) -> usize {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter(|k| self.replicas.get(**k).is_some_and(|r| r.is_usable(now))).count()
    }

    /// Estimated calls of all gateways at a service's replicas, running and waiting.
    pub fn calls(&self, now: Time, service: &str) -> f64 {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| self.replicas.get(*key)).map(|r| r.running(now)).sum()
    }

    /// Length of the shortest prefix of a service's open replicas without a limit, in the order of
    /// the isolated pool, that contains `wanted` usable ones at `now`; all of them if there are fewer.
    pub fn listed_prefix(&self, now: Time, service: &str, wanted: usize) -> usize {
        let keys = self.by_service.get(service).into_iter().flatten();
        let open = keys.filter_map(|k| self.replicas.get(*k)).filter(|r| r.is_open());
        let open = open.filter(|r| !self.is_limited(r));
        let scale = self.scale(service);
        let mut open: Vec<((i16, u64), bool)> =
            open.map(|r| (r.order(&scale), r.is_usable(now))).collect();
        open.sort_unstable();
        let mut found = 0;
        let mut is_needed = |usable: bool| {
            let needed = found < wanted;
            found += usize::from(usable);
            needed
        };
        open.into_iter().map(|(_, usable)| usable).take_while(|usable| is_needed(*usable)).count()
    }

    /// Records that an attempt is sent.
    pub fn record_sent(&mut self, now: Time, claim: &mut Claim, engine: bool, parts: &[Part]) {
        claim.sent = now;
        if claim.call == 0 {
            claim.call = self.next_call();
        }
        if engine || claim.from_snapshot {
            self.notify_owner(claim, Change::Sent(claim.prefill_ms as f32));
            if let Some(rank) = claim.urgent_rank {
                self.notify_owner(claim, Change::Rank(rank));
            }
            self.state_need(claim, parts);
        }
        if let Some(replica) = self.replicas.get_mut(claim.replica) {
            if replica.own_calls == 0 {
                replica.silence_start = now;
            }
            replica.engine = engine;
            replica.own_calls += 1;
            claim.recovering = replica.record_recovering();
            replica.sensitive_streams += u32::from(claim.sensitive);
            replica.prefill_ms += claim.prefill_ms;
            replica.cache.record(now, parts);
        }
    }

    /// Number for the next attempt, never zero.
    pub fn next_call(&mut self) -> u64 {
        self.last_call = self.last_call.wrapping_add(1).max(1);
        u64::from(self.last_call)
    }

    /// Whether the replica's owner counts a claim: at engines all of them, at plain replicas those
    /// that its snapshot was asked for.
    fn is_counted(&self, claim: &Claim) -> bool {
        claim.from_snapshot || self.replicas.get(claim.replica).is_some_and(|r| r.engine)
    }

    fn notify_owner(&mut self, claim: &Claim, change: Change) {
        if let Some(replica) = self.replicas.get(claim.replica) {
            let engine = replica.digest();
            self.updates.push(Update { engine, call: claim.call, change });
        }
    }

    /// Removes and returns the updates for the owners of engines. The caller adds this gateway's
    /// hash to their call numbers.
    pub fn drain_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.updates)
    }

    /// Records that a replica has sent data, and its load if that was reported.
    pub fn record_activity(&mut self, now: Time, key: Key<Replica>, load: Option<Load>) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.silence_start = now;
        replica.last_seen = now;
        replica.backoff = INITIAL_BACKOFF;
        if let Some(load) = load {
            replica.record_load(now, load.running, load.waiting, load.slowdown_percent);
        }
    }

    /// Merges the loads observed by other gateways, as far as they are newer.
    pub fn receive(&mut self, now: Time, observations: &[Observation]) {
        for observation in observations {
            // Digests of earlier incarnations are not in the map, so their loads are ignored.
            let key = self.by_digest.get(&observation.replica).copied();
            let Some(replica) = key.and_then(|key| self.replicas.get_mut(key)) else {
                continue;
            };
            replica.pace.receive(now, Word::from_byte(observation.pace));
            let at = gossip::time_before(now, observation.age_ms);
            if replica.report.is_none_or(|r| r.at < at) {
                replica.last_seen = replica.last_seen.max(at);
                replica.record_load(
                    at,
                    u32::from(observation.running),
                    u32::from(observation.waiting),
                    None,
                );
            }
        }
    }

    /// Recent loads to gossip, the newest first.
    pub fn gossip(&self, now: Time) -> Vec<Observation> {
        let mut recent: Vec<Observation> = self
            .replicas
            .iter()
            .filter_map(|(_, replica)| {
                let report = replica.report?;
                let age_ms = gossip::age_ms(now, report.at)?;
                Some(Observation {
                    replica: replica.digest(),
                    running: report.running.min(u32::from(u16::MAX)) as u16,
                    waiting: report.waiting as u16,
                    age_ms,
                    pace: replica.pace.word().byte(),
                })
            })
            .collect();
        recent.sort_by_key(|observation| observation.age_ms);
        recent.truncate(gossip::MAX_ENTRIES);
        recent
    }

    /// Number of this gateway's streams in progress that the prefill of long prompts would delay.
    pub fn sensitive_streams(&self) -> u32 {
        self.replicas.iter().map(|(_, r)| r.sensitive_streams).sum()
    }

    /// Service of a replica; `None` for a straggler, whose times say nothing about its service.
    pub fn service_unless_straggler(&self, key: Key<Replica>) -> Option<&str> {
        let replica = self.replicas.get(key)?;
        (replica.slowness < STRAGGLER_SLOWNESS).then_some(replica.listing.service.as_str())
    }

    /// Time until a replica with calls in progress counts as silent; zero if it already does, or if
    /// it is unknown.
    pub fn time_until_silent(&self, now: Time, key: Key<Replica>) -> Span {
        self.replicas.get(key).map_or(Span(0), |r| r.time_until_silent(now))
    }

    /// Records the first event of an attempt: the prefill of its prompt has ended.
    pub fn record_first_event(&mut self, now: Time, claim: &mut Claim) {
        if claim.first_event_seen {
            return;
        }
        claim.first_event_seen = true;
        claim.first_event = now;
        claim.last_event = now;
        if self.is_counted(claim) {
            self.notify_owner(claim, Change::FirstEvent);
        }
        if let Some(replica) = self.replicas.get_mut(claim.replica) {
            replica.prefill_ms = (replica.prefill_ms - claim.prefill_ms).max(0.0);
            if claim.recovering {
                replica.record_recovered(now);
            }
            let took_ms = now.since(claim.sent).as_secs_f64() * 1e3;
            let ratio = (took_ms / (claim.expected_ms + 25.0)).clamp(0.2, 8.0);
            replica.slowness += SLOWNESS_WEIGHT * (ratio - replica.slowness);
        }
    }

    /// Records the end of an attempt that was sent.
    pub fn record_end(&mut self, now: Time, mut claim: Claim, outcome: Outcome) {
        let key = claim.replica;
        if self.is_counted(&claim) {
            self.notify_owner(&claim, Change::Ended);
        }
        if !claim.first_event_seen {
            claim.first_event_seen = true;
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.prefill_ms = (replica.prefill_ms - claim.prefill_ms).max(0.0);
            }
        }
        if outcome == Outcome::Failed {
            self.record_failed_fetch(now, &claim);
        }
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.own_calls = replica.own_calls.saturating_sub(1);
            if claim.recovering {
                replica.record_recovering_end();
            }
            replica.sensitive_streams -= u32::from(claim.sensitive).min(replica.sensitive_streams);
        }
        self.record_outcome(now, key, outcome);
    }

    /// Records the outcome of an attempt, whether it was sent or not.
    pub fn record_outcome(&mut self, now: Time, key: Key<Replica>, outcome: Outcome) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let failure = match outcome {
            Outcome::Cancelled => return,
            Outcome::Answered => 0.0,
            Outcome::Refused => 0.5,
            Outcome::Unreachable | Outcome::Failed => 1.0,
            Outcome::Replaced => {
                replica.closed = true;
                return;
            }
        };
        replica.failure_rate += OUTCOME_WEIGHT * (failure - replica.failure_rate);
        if outcome == Outcome::Unreachable {
            replica.broken_at = Some(now);
            replica.backoff_until = now + replica.backoff;
            replica.backoff = Span(replica.backoff.0 * 2).min(MAX_BACKOFF);
        }
    }
}
