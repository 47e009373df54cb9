//! Which plain services are short of places, by the loads that their replicas report.

use super::Fleet;
use super::Replica;
use crate::arena::Key;
use crate::gateway::directory;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Time for which a service counts as short after a replica reported that it was full. Loads reach
/// all gateways within about half of it.
const SCARCITY_PERIOD: Span = Span::secs(1);

impl Fleet {
    /// Whether a replica of a service reported lately that all of its slots were taken, and no
    /// other rules decide on the places of the service.
    pub fn is_scarce(&self, now: Time, service: &str) -> bool {
        let mut replicas = self.open_replicas(service).map(|(_, replica)| replica);
        replicas.clone().any(|replica| is_full(now, replica))
            && !replicas.any(|replica| self.has_other_rules(now, replica))
    }

    /// The replica with this incarnation.
    pub fn replica(&self, incarnation: Digest) -> Option<(Key<Replica>, &Replica)> {
        let key = *self.by_digest.get(&incarnation)?;
        Some((key, self.replicas.get(key)?))
    }

    /// The open replica with this incarnation.
    pub fn open_replica(&self, incarnation: Digest) -> Option<&Replica> {
        let (_, replica) = self.replica(incarnation)?;
        replica.is_open().then_some(replica)
    }

    /// Incarnations and slots of a service's replicas that may get calls at `now`, or of all open ones
    /// if none may.
    pub fn places(&self, now: Time, service: &str) -> Vec<(Digest, u32)> {
        let open = self.open_replicas(service).map(|(_, replica)| replica);
        let places = |replica: &Replica| (replica.digest(), replica.listing.slots);
        let usable: Vec<_> = open.clone().filter(|r| r.is_usable(now)).map(places).collect();
        if usable.is_empty() { open.map(places).collect() } else { usable }
    }

    /// Whether a replica may get calls, and no other rules decide on its places.
    pub fn may_get_calls(&self, now: Time, replica: &Replica) -> bool {
        replica.is_usable(now) && !self.has_other_rules(now, replica)
    }

    /// Whether calls to a replica need permits, or its service is brittle, or it gets few calls
    /// after a cooldown: these rules decide alone on who gets its places.
    pub fn has_other_rules(&self, now: Time, replica: &Replica) -> bool {
        let service = directory::short_hash(&replica.listing.service);
        self.is_limited(replica)
            || self.brittle.is_brittle(now, service)
            || replica.cooldown.is_some()
    }
}

fn is_full(now: Time, replica: &Replica) -> bool {
    let report = replica.report.filter(|report| now.since(report.at) < SCARCITY_PERIOD);
    let slots = f64::from(replica.listing.slots.max(1));
    report.is_some_and(|report| f64::from(report.running) + report.waiting >= slots)
}
