//! Departures of the replicas in the fleet.

use rand::Rng;

use super::Fleet;
use super::Replica;
use crate::arena::Key;
use crate::gateway::departure::Record;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Time after a replica first said that it leaves in which it still gets the calls that no other
/// replica can take. A leaving replica serves for some seconds more, and its successor may not be
/// listed yet.
const GRACE: Span = Span::secs(1);

impl Fleet {
    /// Records that a replica said at `at` that it leaves. Returns the id of the replica if that
    /// was not known; it gets no new calls from now on.
    pub fn record_departure(&mut self, at: Time, replica: Digest) -> Option<String> {
        let is_new = self.departures.record(at, replica);
        let first = self.departures.first_said(replica);
        let key = self.by_digest.get(&replica)?;
        let known = self.replicas.get_mut(*key)?;
        known.departed_at = first;
        is_new.then(|| known.listing.incarnation.id.clone())
    }

    /// Departures to gossip: those that the list of replicas does not show.
    pub fn gossip_departures(&self, now: Time, rng: &mut impl Rng) -> Vec<Record> {
        let is_listed_ready = |replica: Digest| {
            let known = self.by_digest.get(&replica).and_then(|key| self.replicas.get(*key));
            known.is_some_and(|replica| !replica.listing.leaving)
        };
        self.departures.gossip(now, rng, is_listed_ready)
    }

    /// Forgets old departures of replicas that are not listed.
    pub fn sweep_departures(&mut self, now: Time) {
        let by_digest = &self.by_digest;
        self.departures.sweep(now, |replica| by_digest.contains_key(&replica));
    }

    /// Whether a call of `rank` that was chosen for a replica may still be sent there. One that is
    /// already under way when the replica says that it leaves is not chosen anew.
    pub fn may_send(&self, now: Time, key: Key<Replica>, rank: u8) -> bool {
        self.has_place(now, key, rank)
            && self.replicas.get(key).is_some_and(|replica| {
                (replica.is_open() || is_in_grace(now, replica)) && replica.admits(now, rank)
            })
    }
}

/// Whether a leaving replica may get the calls that no other replica can take.
pub(super) fn is_in_grace(now: Time, replica: &Replica) -> bool {
    !replica.closed && replica.departed_at.is_some_and(|at| now.since(at) < GRACE)
}
