//! Services of which this gateway reaches a small part only.

use super::Fleet;
use super::Replica;
use super::replica::INITIAL_BACKOFF;
use crate::time::Span;
use crate::time::Time;

/// Replicas that others reach and this gateway does not from which on its links are taken for lost, as
/// for a service that is out of reach; fewer may have crashed.
const MIN_UNREACHED: usize = 4;
/// Time after a failed connection in which its replica counts as not reached; longer than the longest
/// backoff, after which the next connection fails.
const UNREACHED_TIME: Span = Span::secs(4);
/// Share of the slots that others reach below which these have room. Above it, calls that are
/// delegated would only take the places of the delegates' own ones.
const ROOM_RATIO: f64 = 0.75;

impl Fleet {
    /// Whether a call is better served by another gateway: this one reaches at most half of the
    /// service's replicas, these are full, and those that only others reach have room.
    pub fn overflows(&self, now: Time, service: &str) -> bool {
        let open: Vec<&Replica> = self.open_replicas(service).map(|(_, replica)| replica).collect();
        let (unreached, others): (Vec<&Replica>, Vec<&Replica>) =
            open.into_iter().partition(|replica| replica.is_unreached_but_alive(now));
        let reached: Vec<&Replica> =
            others.into_iter().filter(|replica| replica.is_usable(now)).collect();
        unreached.len() >= MIN_UNREACHED
            && reached.len() <= unreached.len()
            && reached.iter().all(|replica| replica.running(now) >= slots(replica))
            && calls(now, &unreached) < ROOM_RATIO * unreached.iter().map(|r| slots(r)).sum::<f64>()
    }
}

fn slots(replica: &Replica) -> f64 {
    f64::from(replica.listing.slots.max(1))
}

fn calls(now: Time, replicas: &[&Replica]) -> f64 {
    replicas.iter().map(|replica| replica.running(now)).sum()
}

impl Replica {
    /// Whether this gateway could not connect to the replica lately, while others did.
    fn is_unreached_but_alive(&self, now: Time) -> bool {
        self.broken_at.is_some_and(|at| {
            self.backoff > INITIAL_BACKOFF && now.since(at) < UNREACHED_TIME && self.last_seen > at
        })
    }
}
