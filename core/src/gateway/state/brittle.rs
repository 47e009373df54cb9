//! Brittle services: replicas that fall over if they must refuse too many requests.
//!
//! See [`crate::gateway::brittle`].

use rand::Rng;

use super::Gateway;
use super::Grant;
use crate::arena::Key;
use crate::gateway::brittle::Record;
use crate::gateway::brittle::Ring;
use crate::gateway::directory;
use crate::gateway::directory::Entry;
use crate::gateway::fleet::Claim;
use crate::gateway::fleet::Replica;
use crate::time::Span;
use crate::time::Time;

/// Places that are drawn to find one of another gateway that is live.
const MAX_DRAWS: usize = 8;
/// Time between two updates of the gateways that share the places at replicas.
const RING_INTERVAL: Span = Span::millis(250);
/// Range of the time without calls of this gateway after a brittle replica refused one of them: its
/// room has shrunk, and further calls would be refused too.
const MIN_REFUSAL_PAUSE: Span = Span::millis(1_000);
const MAX_REFUSAL_PAUSE: Span = Span::millis(2_000);

impl Gateway {
    /// Records that an answer says that its replica is brittle. Returns the name of the service if
    /// that was not known.
    pub fn record_brittle(&mut self, now: Time, claim: &Claim) -> Option<String> {
        let service = self.fleet.get(claim.replica)?.listing.service.clone();
        let short = directory::short_hash(&service);
        let is_new = self.fleet.brittle_mut().record(now, now, short);
        self.update_ring(now, is_new);
        is_new.then_some(service)
    }

    /// Records that an answer does not say that its replica is brittle.
    pub fn record_sturdy(&mut self, now: Time, claim: &Claim) {
        if let Some(replica) = self.fleet.get(claim.replica) {
            let service = directory::short_hash(&replica.listing.service);
            self.fleet.brittle_mut().deny(now, service);
        }
    }

    /// Brittle services to gossip.
    pub fn gossip_brittle(&self, now: Time) -> Vec<Record> {
        self.fleet.brittle().gossip(now)
    }

    /// Merges the brittle services that another gateway knows; returns the names of those that were
    /// not known.
    pub fn receive_brittle(&mut self, now: Time, records: &[Record]) -> Vec<String> {
        let mut is_new = |record: &&Record| self.fleet.brittle_mut().receive(now, record);
        let new: Vec<u32> = records.iter().filter(&mut is_new).map(|r| r.service).collect();
        self.update_ring(now, !new.is_empty());
        let is_named = |service: &&str| new.contains(&directory::short_hash(service));
        self.fleet.services().filter(is_named).map(str::to_owned).collect()
    }

    /// The gateway to delegate a call to for which this one has no place: one with a random place at
    /// the replicas of its service, other than those whose names are in `tried`.
    pub fn select_holder(&mut self, now: Time, grant: &Grant, tried: &[String]) -> Option<Entry> {
        if !self.fleet.brittle().may_delegate(now, directory::short_hash(&grant.service)) {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let holder = self.fleet.random_holder(&grant.service, grant.origin, &mut self.rng)?;
            let entry = self.directory.open_entry(now, holder);
            if let Some(entry) = entry.filter(|entry| !tried.contains(&entry.name)) {
                return Some(entry.clone());
            }
        }
        None
    }

    /// Records whether one of the gateways that were asked had a place for a call of a service.
    pub fn record_holders(&mut self, now: Time, service: &str, had_place: bool) {
        let service = directory::short_hash(service);
        self.fleet.brittle_mut().record_delegation(now, service, had_place);
    }

    /// Updates the gateways that share places, at once or if the last update is too old.
    pub(super) fn update_ring(&mut self, now: Time, at_once: bool) {
        if at_once || now.since(self.ring_updated) >= RING_INTERVAL {
            self.ring_updated = now;
            let own = self.takes_callers(now).then_some(self.short_hash());
            let ring = Ring::new(own, self.directory.open_hashes(now));
            self.fleet.set_ring(ring);
        }
    }

    /// Keeps this gateway's calls away from a brittle replica that refused one, for a while.
    pub(super) fn pause_after_refusal(&mut self, now: Time, key: Key<Replica>) {
        let Some(replica) = self.fleet.get(key) else {
            return;
        };
        if self.fleet.is_brittle(now, &replica.listing.service) {
            let incarnation = replica.listing.incarnation.digest();
            let pause = self.rng.random_range(MIN_REFUSAL_PAUSE.0..MAX_REFUSAL_PAUSE.0);
            self.fleet.record_cooldown(key, incarnation, now + Span(pause));
        }
    }
}
