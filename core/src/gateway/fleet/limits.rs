//! Limits of the replicas in the fleet.

use super::Fleet;
use super::Replica;
use crate::arena::Key;
use crate::gateway::limit::Kind;
use crate::gateway::limit::Table;
use crate::gateway::origin::Origin;
use crate::incarnation::Digest;
use crate::time::Time;

impl Fleet {
    /// Limits of replicas.
    pub fn limits(&self) -> &Table {
        &self.limits
    }

    /// Limits of replicas, to change them.
    pub fn limits_mut(&mut self) -> &mut Table {
        &mut self.limits
    }

    /// Drops the limits of replicas that are not listed, and those that ended long ago.
    pub fn sweep_limits(&mut self, now: Time) {
        let by_digest = &self.by_digest;
        self.limits.sweep(now, |replica| by_digest.contains_key(&replica));
    }

    /// Id of the replica with this incarnation.
    pub fn id(&self, incarnation: Digest) -> Option<&str> {
        let key = self.by_digest.get(&incarnation)?;
        Some(&self.replicas.get(*key)?.listing.incarnation.id)
    }

    /// Whether a service has a replica without a limit besides those in `tried` that may get calls
    /// at `now`, and may continue streams of `origin`.
    pub fn has_unlimited(
        &self,
        now: Time,
        service: &str,
        origin: Option<Origin>,
        tried: &[Key<Replica>],
    ) -> bool {
        let mut keys = self.by_service.get(service).into_iter().flatten();
        keys.any(|key| {
            let is_unlimited =
                |r: &Replica| r.is_usable(now) && r.continues(origin) && !self.is_limited(r);
            !tried.contains(key) && self.replicas.get(*key).is_some_and(is_unlimited)
        })
    }

    /// Whether a replica has a limit.
    pub(super) fn is_limited(&self, replica: &Replica) -> bool {
        self.limits.rate(replica.digest()).is_some()
    }

    /// Whether calls of `rank` get no permit of a kind for a replica at `now`.
    pub(super) fn is_denied(&self, now: Time, replica: &Replica, kind: Kind, rank: u8) -> bool {
        self.limits.denied_until(now, replica.digest(), kind, rank).is_some()
    }

    /// Expected time until a call of `rank` gets a permit for a replica, in milliseconds.
    pub(super) fn permit_wait_ms(&self, now: Time, replica: &Replica, rank: u8) -> f64 {
        let until = self.limits.denied_until(now, replica.digest(), Kind::Immediate, rank);
        until.map_or(0.0, |until| until.since(now).as_secs_f64() * 1e3)
    }

    /// Earliest time at which a call of `rank` may get a permit that it was denied for a replica of
    /// a service that may continue streams of `origin`; `None` if it was denied none.
    pub fn first_permit(
        &self,
        now: Time,
        service: &str,
        origin: Option<Origin>,
        rank: u8,
    ) -> Option<Time> {
        let keys = self.by_service.get(service).into_iter().flatten();
        let replicas = keys.filter_map(|k| self.replicas.get(*k));
        let usable = replicas.filter(|r| r.is_usable(now) && r.continues(origin));
        let denied = |r: &Replica| self.limits.denied_until(now, r.digest(), Kind::Immediate, rank);
        usable.filter_map(denied).min()
    }
}
