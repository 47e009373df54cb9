//! Engines that hold copies of runs, or take runs from engines that leave.

use super::Claim;
use super::Fleet;
use super::Replica;
use super::Requirements;
use crate::arena::Key;
use crate::gateway::copy;
use crate::gateway::copy::Candidate;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

impl Fleet {
    /// The engine to hold the copy of the run with this hash at `engine`; only others of the same
    /// service and of this build, that take calls without a permit and that `allows` accepts.
    pub fn choose_standby(
        &self,
        now: Time,
        service: &str,
        engine: Key<Replica>,
        build: Option<&str>,
        run: u64,
        allows: impl Fn(Digest) -> bool,
    ) -> Option<Key<Replica>> {
        let first = self.get(engine)?;
        let is_eligible = |key: Key<Replica>, replica: &Replica| {
            key != engine
                && replica.listing.address != first.listing.address
                && replica.listing.build.as_deref() == build
                && replica.is_usable(now)
                && !self.is_limited(replica)
                && allows(replica.digest())
        };
        let open = self.open_replicas(service).filter(|(key, replica)| is_eligible(*key, replica));
        let (keys, candidates): (Vec<Key<Replica>>, Vec<Candidate>) = open
            .map(|(key, replica)| {
                let candidate = Candidate {
                    same_host: host(&replica.listing.address) == host(&first.listing.address),
                    other_domain: replica.listing.domain != first.listing.domain,
                    calls: replica.running(now),
                    hash: replica.hash,
                };
                (key, candidate)
            })
            .unzip();
        copy::choose_standby(&candidates, run).map(|index| keys[index])
    }

    /// A claim on the standby of a copy; `None` if it takes no more calls, or only with a permit.
    pub fn claim_standby(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        domain: &str,
        standby: Digest,
    ) -> Option<Claim> {
        let key = self.by_digest.get(&standby).copied()?;
        let replica = self.get(key)?;
        if self.is_limited(replica) || !self.may_send(now, key, requirements.rank) {
            return None;
        }
        self.score(now, requirements, domain, &[(key, replica)]).pop().map(|(_, claim)| claim)
    }

    /// A claim on the engine on which a run was stopped; `None` if it is unknown, or has been known
    /// to leave for more than `max_age`, so that it must get no request any more.
    pub fn claim_source(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        domain: &str,
        source: Digest,
        max_age: Span,
    ) -> Option<Claim> {
        let key = self.by_digest.get(&source).copied()?;
        let replica = self.get(key)?;
        if !replica.is_open() && now.since(replica.leaving_since()?) > max_age {
            return None;
        }
        self.score(now, requirements, domain, &[(key, replica)]).pop().map(|(_, claim)| claim)
    }

    /// Time from which a replica has been known to leave; `None` if it is open, or closed for another
    /// reason.
    pub fn leaving_since(&self, key: Key<Replica>) -> Option<Time> {
        self.get(key)?.leaving_since()
    }

    /// Whether streams are slower on an engine than on the typical one of its service and than on the
    /// `other` one, by more than a class.
    pub fn is_slower(&self, service: &str, engine: Digest, other: Key<Replica>) -> bool {
        let scale = self.scale(service);
        let bucket = |replica: &Replica| scale.bucket(replica.class());
        let other = self.get(other).map_or(0, bucket);
        let engine = self.by_digest.get(&engine).and_then(|key| self.get(*key)).map_or(0, bucket);
        engine > other.max(0)
    }

    /// Service of an open replica with this incarnation.
    pub fn service_of_open(&self, incarnation: Digest) -> Option<&str> {
        let key = self.by_digest.get(&incarnation).copied()?;
        let replica = self.get(key).filter(|replica| replica.is_open())?;
        Some(&replica.listing.service)
    }
}

/// The host in an address with a port.
fn host(address: &str) -> &str {
    address.rsplit_once(':').map_or(address, |(host, _)| host)
}
