//! Replicas of all services: who is there, how loaded, and which one gets a call.

mod amend;
mod choice;
mod list;
mod replica;

use std::collections::BTreeMap;

use crate::arena::Arena;
use crate::arena::Key;
use crate::gateway::ask::Part;
use crate::gateway::gossip;
use crate::gateway::gossip::Observation;
use crate::gateway::occupancy::Change;
use crate::gateway::occupancy::Update;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

pub use self::choice::Claim;
pub use self::choice::Criteria;
pub use self::choice::Requirements;
pub use self::list::Changes;
use self::replica::FIRST_REST;
pub use self::replica::Listing;
pub use self::replica::Load;
pub use self::replica::Outcome;
pub use self::replica::Replica;

const LONGEST_REST: Span = Span::secs(3);
/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Times as slow as expected from which on a replica is taken for a straggler. Its gaps are not
/// those of its service; at half of this, bursts make every engine a straggler.
const STRAGGLER: f64 = 4.0;
/// Weight of the newest first event in a replica's slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;

/// All replicas.
#[derive(Debug, Default)]
pub struct Fleet {
    replicas: Arena<Replica>,
    by_id: BTreeMap<String, Key<Replica>>,
    by_digest: BTreeMap<Digest, Key<Replica>>,
    by_service: BTreeMap<String, Vec<Key<Replica>>>,
    /// Runs that are gone, and since when.
    gone: BTreeMap<Digest, Time>,
    /// Calls sent to engines so far; numbers them for their owners.
    calls: u32,
    updates: Vec<Update>,
}

impl Fleet {
    /// A replica.
    pub fn get(&self, key: Key<Replica>) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// Whether a run is listed.
    pub fn contains(&self, run: Digest) -> bool {
        self.by_digest.contains_key(&run)
    }

    /// Whether a run is listed and has sent something after `at`, to any gateway.
    pub fn active_since(&self, run: Digest, at: Time) -> bool {
        let key = self.by_digest.get(&run).copied();
        key.and_then(|key| self.replicas.get(key)).is_some_and(|replica| replica.alive > at)
    }

    /// All replicas.
    pub fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.iter().map(|(_, r)| r)
    }

    /// Number of a service's replicas that may get work at `now`.
    pub fn usable(&self, now: Time, service: &str) -> usize {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter(|k| self.replicas.get(**k).is_some_and(|r| r.is_usable(now))).count()
    }

    /// Calls of all gateways at a service's replicas, running or waiting, as far as known.
    pub fn calls(&self, now: Time, service: &str) -> f64 {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| self.replicas.get(*key)).map(|r| r.running(now)).sum()
    }

    /// How many of a service's listed replicas, from the first hash on, hold `wanted` that may get
    /// work at `now`.
    pub fn listed_prefix(&self, now: Time, service: &str, wanted: usize) -> usize {
        let keys = self.by_service.get(service).into_iter().flatten();
        let open = keys.filter_map(|k| self.replicas.get(*k)).filter(|r| !r.closed);
        let mut open: Vec<(u64, bool)> = open.map(|r| (r.hash, r.is_usable(now))).collect();
        open.sort_unstable();
        let mut found = 0;
        let mut before = |usable: bool| {
            let more = found < wanted;
            found += usize::from(usable);
            more
        };
        open.into_iter().map(|(_, usable)| usable).take_while(|usable| before(*usable)).count()
    }

    /// Whether a service has a replica that may get work at `now`, besides those in `tried`.
    pub fn has_other(&self, now: Time, service: &str, tried: &[Key<Replica>]) -> bool {
        let mut keys = self.by_service.get(service).into_iter().flatten();
        keys.any(|k| !tried.contains(k) && self.replicas.get(*k).is_some_and(|r| r.is_usable(now)))
    }

    /// Notes that an attempt is sent.
    pub fn record_sent(&mut self, now: Time, claim: &mut Claim, engine: bool, parts: &[Part]) {
        claim.sent = now;
        self.calls = self.calls.wrapping_add(1);
        claim.call = u64::from(self.calls);
        if engine {
            self.notify_owner(claim, Change::Sent(claim.prefill_ms as f32));
        }
        if let Some(replica) = self.replicas.get_mut(claim.replica) {
            if replica.own == 0 {
                replica.quiet_since = now;
            }
            replica.engine = engine;
            replica.own += 1;
            replica.sensitive += u32::from(claim.sensitive);
            replica.prefill_ms += claim.prefill_ms;
            replica.cache.record(now, parts);
        }
    }

    fn is_engine(&self, key: Key<Replica>) -> bool {
        self.replicas.get(key).is_some_and(|r| r.engine)
    }

    fn notify_owner(&mut self, claim: &Claim, change: Change) {
        if let Some(replica) = self.replicas.get(claim.replica) {
            let engine = replica.digest();
            self.updates.push(Update { engine, call: claim.call, change });
        }
    }

    /// Updates for the owners of engines; calls are numbered by this gateway.
    pub fn drain_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.updates)
    }

    /// Records that something came from a replica.
    pub fn record_activity(&mut self, now: Time, key: Key<Replica>, load: Option<Load>) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.quiet_since = now;
        replica.alive = now;
        replica.rest = FIRST_REST;
        if let Some(load) = load {
            replica.record_load(now, load.running, load.waiting);
        }
    }

    /// Merges loads that other gateways saw.
    pub fn receive(&mut self, now: Time, sightings: &[Observation]) {
        for s in sightings {
            // What is said of a former life finds none.
            let key = self.by_digest.get(&s.replica).copied();
            let Some(replica) = key.and_then(|key| self.replicas.get_mut(key)) else {
                continue;
            };
            let at = gossip::time_before(now, s.age_ms);
            if replica.report.is_none_or(|r| r.at < at) {
                replica.alive = replica.alive.max(at);
                replica.record_load(at, u32::from(s.running), u32::from(s.waiting));
            }
        }
    }

    /// Loads to gossip, the youngest first.
    pub fn gossip(&self, now: Time) -> Vec<Observation> {
        let mut young: Vec<Observation> = self
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
                })
            })
            .collect();
        young.sort_by_key(|s| s.age_ms);
        young.truncate(gossip::MAX_ENTRIES);
        young
    }

    /// This gateway's streams that long prompts would disturb.
    pub fn sensitive_streams(&self) -> u32 {
        self.replicas.iter().map(|(_, r)| r.sensitive).sum()
    }

    /// Service of a replica, if it answers like its peers: a straggler says nothing about them.
    pub fn service_unless_straggler(&self, key: Key<Replica>) -> Option<&str> {
        let replica = self.replicas.get(key)?;
        (replica.slowness < STRAGGLER).then_some(replica.listing.service.as_str())
    }

    /// Time until a replica that has work counts as silent; zero if it is now, or unknown.
    pub fn time_until_silent(&self, now: Time, key: Key<Replica>) -> Span {
        self.replicas.get(key).map_or(Span(0), |r| r.time_until_silent(now))
    }

    /// Notes the first event of an attempt: its prompt has been read.
    pub fn record_first_event(&mut self, now: Time, claim: &mut Claim) {
        if claim.first_event_seen {
            return;
        }
        claim.first_event_seen = true;
        claim.last_event = now;
        if self.is_engine(claim.replica) {
            self.notify_owner(claim, Change::FirstEvent);
        }
        if let Some(replica) = self.replicas.get_mut(claim.replica) {
            replica.prefill_ms = (replica.prefill_ms - claim.prefill_ms).max(0.0);
            let took = now.since(claim.sent).as_secs_f64() * 1e3;
            let ratio = (took / (claim.expected_ms + 25.0)).clamp(0.2, 8.0);
            replica.slowness += SLOWNESS_WEIGHT * (ratio - replica.slowness);
        }
    }

    /// Notes the end of an attempt that was sent.
    pub fn record_end(&mut self, now: Time, mut claim: Claim, outcome: Outcome) {
        let key = claim.replica;
        if self.is_engine(key) {
            self.notify_owner(&claim, Change::Ended);
        }
        if !claim.first_event_seen {
            claim.first_event_seen = true;
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.prefill_ms = (replica.prefill_ms - claim.prefill_ms).max(0.0);
            }
        }
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.own = replica.own.saturating_sub(1);
            replica.sensitive -= u32::from(claim.sensitive).min(replica.sensitive);
        }
        self.record_outcome(now, key, outcome);
    }

    /// Notes what came of an attempt, sent or not.
    pub fn record_outcome(&mut self, now: Time, key: Key<Replica>, outcome: Outcome) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let failed = match outcome {
            Outcome::Cancelled => return,
            Outcome::Answered => 0.0,
            Outcome::Refused => 0.5,
            Outcome::Unreachable | Outcome::Failed => 1.0,
            Outcome::Replaced => {
                replica.closed = true;
                return;
            }
        };
        replica.failures += OUTCOME_WEIGHT * (failed - replica.failures);
        if outcome == Outcome::Unreachable {
            replica.resting_until = now + replica.rest;
            replica.rest = Span(replica.rest.0 * 2).min(LONGEST_REST);
        }
    }
}
