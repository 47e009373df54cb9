//! Builds of the replicas in the fleet.

use super::Claim;
use super::Fleet;
use super::Replica;
use crate::arena::Key;
use crate::gateway::build::Build;
use crate::gateway::origin::Origin;
use crate::time::Span;
use crate::time::Time;

/// Time after a broken connection in which a replica may have restarted with another build under its id,
/// before its entry says so.
const RESTART_DOUBT: Span = Span::secs(4);

impl Fleet {
    /// Whether any replica of a service states its build, or did so a while ago.
    pub fn states_builds(&self, service: &str) -> bool {
        self.census.is_stated(service)
    }

    /// Builds that a service has had since a time; `None` is an entry without one.
    pub fn builds_since(&self, service: &str, since: Time) -> impl Iterator<Item = Option<Build>> {
        self.census.since(service, since)
    }

    /// The one build that a service has had since a time; `None` if it had several, or no replica.
    pub fn only_build(&self, service: &str, since: Time) -> Option<Option<Build>> {
        self.census.only(service, since)
    }

    /// Origin of a stream of which an attempt brings the first event; `None` if its service has no
    /// builds. The build is unknown if the replica is known no more.
    pub fn origin(&self, claim: &Claim, service: &str) -> Option<Origin> {
        let build = self.get(claim.replica).and_then(|replica| replica.build);
        self.states_builds(service).then_some(Origin { replica: claim.incarnation, build })
    }

    /// Records that a connection to a replica broke, or could not be opened.
    pub(in crate::gateway) fn record_broken(&mut self, now: Time, key: Key<Replica>) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.broken_at = Some(now);
        }
    }

    /// Whether a replica of a service may have started again, as a connection to it has just broken.
    pub fn may_have_restarted(&self, now: Time, service: &str) -> bool {
        let is_broken =
            |replica: &Replica| replica.broken_at.is_some_and(|at| now.since(at) < RESTART_DOUBT);
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .any(|key| self.get(*key).is_some_and(is_broken))
    }

    /// Whether an open replica of a service may continue streams of this origin.
    pub fn may_continue(&self, service: &str, origin: Origin) -> bool {
        self.open_replicas(service).any(|(_, replica)| replica.continues(Some(origin)))
    }

    /// Keeps the replicas that may continue streams of an origin; those that may have just restarted
    /// only if there is no other.
    pub(super) fn retain_build(
        &self,
        now: Time,
        replicas: &mut Vec<(Key<Replica>, &Replica)>,
        origin: Option<Origin>,
    ) {
        if origin.is_none() {
            return;
        }
        replicas.retain(|(_, replica)| replica.continues(origin));
        let is_certain =
            |replica: &Replica| replica.broken_at.is_none_or(|at| now.since(at) >= RESTART_DOUBT);
        if replicas.iter().any(|(_, replica)| is_certain(replica)) {
            replicas.retain(|(_, replica)| is_certain(replica));
        }
    }
}

impl Replica {
    /// Whether the replica may continue streams of an origin; `None` is any stream that has not begun.
    pub(super) fn continues(&self, origin: Option<Origin>) -> bool {
        origin.is_none_or(|origin| match origin.build {
            Some(_) => self.build == origin.build,
            None => self.build.is_none() && self.digest() == origin.replica,
        })
    }
}
