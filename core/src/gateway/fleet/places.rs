//! Places at replicas of brittle services.

use rand::Rng;
use rand::rngs::SmallRng;

use super::Fleet;
use super::Replica;
use super::cooldown::HIGHEST_RANK;
use crate::arena::Key;
use crate::gateway::brittle;
use crate::gateway::brittle::Ring;
use crate::gateway::brittle::Table;
use crate::gateway::directory;
use crate::gateway::origin::Origin;
use crate::time::Time;

/// Divisor of this gateway's places at a service that gives those kept for calls of the highest rank.
const RESERVE_DIVISOR: u32 = 8;

impl Fleet {
    /// Brittle services.
    pub fn brittle(&self) -> &Table {
        &self.brittle
    }

    /// Brittle services, to change them.
    pub fn brittle_mut(&mut self) -> &mut Table {
        &mut self.brittle
    }

    /// Sets the gateways that share the places at replicas of brittle services.
    pub fn set_ring(&mut self, ring: Ring) {
        self.ring = ring;
    }

    /// Whether a service is brittle.
    pub fn is_brittle(&self, now: Time, service: &str) -> bool {
        self.brittle.is_brittle(now, directory::short_hash(service))
    }

    /// Whether this gateway has a place left at a replica for a call of `rank`.
    pub fn has_place(&self, now: Time, key: Key<Replica>, rank: u8) -> bool {
        let Some(replica) = self.get(key) else {
            return false;
        };
        let service = &replica.listing.service;
        !self.is_brittle(now, service)
            || self.has_share_left(now, replica) && !self.is_reserved(now, service, rank)
    }

    /// Whether this gateway has fewer calls at a replica than its share. If calls wait inside the
    /// replica, its room is used up, as its memory may be with fewer calls than slots.
    pub(super) fn has_share_left(&self, now: Time, replica: &Replica) -> bool {
        replica.own_calls < self.share(replica) && replica.waiting(now) < 1.0
    }

    /// The gateway that has a random place at the replicas of a service that may continue streams of
    /// `origin`, by its short hash.
    pub fn random_holder(
        &self,
        service: &str,
        origin: Option<Origin>,
        rng: &mut SmallRng,
    ) -> Option<u32> {
        let room = |replica: &Replica| brittle::room(replica.listing.slots);
        let replicas = || {
            let open = self.open_replicas(service).map(|(_, replica)| replica);
            open.filter(move |replica| replica.continues(origin))
        };
        let total: u32 = replicas().map(room).sum();
        let mut place = rng.random_range(0..total.max(1));
        for replica in replicas() {
            if place < room(replica) {
                return self.ring.holder(replica.digest(), place, room(replica));
            }
            place -= room(replica);
        }
        None
    }

    fn share(&self, replica: &Replica) -> u32 {
        self.ring.share(replica.digest(), brittle::room(replica.listing.slots))
    }

    /// Whether the places that this gateway has left at a brittle service are kept for calls of the
    /// highest rank.
    pub(super) fn is_reserved(&self, now: Time, service: &str, rank: u8) -> bool {
        if rank == HIGHEST_RANK || !self.is_brittle(now, service) {
            return false;
        }
        let count = |(_, replica): (_, &Replica)| (self.share(replica), replica.own_calls);
        let counts = self.open_replicas(service).map(count);
        let (places, taken) = counts.fold((0, 0), |(p, t), (share, own)| (p + share, t + own));
        taken + places / RESERVE_DIVISOR >= places
    }
}
