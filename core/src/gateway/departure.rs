//! Departures: replicas that say in their answers that they leave.
//!
//! A departure holds for the rest of the incarnation, whatever the list of replicas says: while the
//! store is out, the list goes on saying that the replica is ready. Gateways gossip the departures
//! that their lists do not show.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::gossip;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Time for which the departure of a replica without an entry is remembered. The entry may come
/// back from an older copy of the store, or once the store is reachable again.
const RETENTION: Span = Span::secs(600);
/// Age up to which all departures are gossiped; by then they have reached all gateways.
const SPREADING_TIME: Span = Span::secs(10);
/// Older departures in one message, for gateways that have started since. With all of them, gossip
/// during an outage of the store would grow with the replicas that leave in it.
const MAX_OLD_RECORDS: usize = 8;

/// Departure of a replica, as gateways pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Time since a gateway first got an answer that says so, in milliseconds.
    pub age_ms: u32,
}

/// Departures that this gateway knows.
#[derive(Debug, Default)]
pub struct Table {
    /// Time of the first answer that says so, by incarnation.
    first_said: BTreeMap<Digest, Time>,
}

impl Table {
    /// Time of the first answer that says that a replica leaves, if there was one.
    pub fn first_said(&self, replica: Digest) -> Option<Time> {
        self.first_said.get(&replica).copied()
    }

    /// Records that a replica said at `at` that it leaves; returns whether that was not known.
    pub fn record(&mut self, at: Time, replica: Digest) -> bool {
        let is_new = !self.first_said.contains_key(&replica);
        let first = self.first_said.entry(replica).or_insert(at);
        *first = (*first).min(at);
        is_new
    }

    /// The departures to gossip: the newest ones, and some older ones at random, of the replicas
    /// that `is_listed_ready`.
    pub fn gossip(
        &self,
        now: Time,
        rng: &mut impl Rng,
        is_listed_ready: impl Fn(Digest) -> bool,
    ) -> Vec<Record> {
        let unknown = self.first_said.iter().filter(|(replica, _)| is_listed_ready(**replica));
        let records = unknown.map(|(replica, at)| Record {
            replica: *replica,
            age_ms: now.since(*at).as_millis().min(u64::from(u32::MAX)) as u32,
        });
        let is_fresh = |record: &Record| u64::from(record.age_ms) < SPREADING_TIME.as_millis();
        let (mut fresh, old): (Vec<Record>, Vec<Record>) = records.partition(is_fresh);
        fresh.sort_by_key(|record| record.age_ms);
        fresh.truncate(gossip::MAX_ENTRIES);
        fresh.extend(old.into_iter().choose_multiple(rng, MAX_OLD_RECORDS));
        fresh
    }

    /// Forgets departures of replicas that are not listed, once they are old.
    pub fn sweep(&mut self, now: Time, is_listed: impl Fn(Digest) -> bool) {
        self.first_said.retain(|replica, at| is_listed(*replica) || now.since(*at) < RETENTION);
    }
}
