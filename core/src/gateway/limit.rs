//! Limits that replicas in need state: the requests a second that one takes from all gateways
//! together, for as long as its answers say so.
//!
//! Gateways gossip the statements, the newest of which counts. Every request to a replica with a
//! limit needs a permit; see [`issuer`].

pub mod issuer;
pub mod permit;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::gossip;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Age from which on statements are not passed on: a replica that takes a request every few seconds
/// seldom repeats its limit.
const MAX_RECORD_AGE: Span = Span::secs(10);
/// Time for which the end of a limit is remembered: longer than records of the limit are passed on,
/// which would bring it back.
const LIFTED_RETENTION: Span = Span::secs(30);

/// What the head of an answer says about the limit of its replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement {
    /// The replica has no limit.
    #[default]
    Unlimited,
    /// The replica takes this many requests a second.
    Rate(f32),
    /// The value can't be read, which says nothing about the limit.
    Malformed,
}

impl Statement {
    /// Reads a number of requests a second.
    pub fn parse(text: &str) -> Statement {
        match text.trim().parse::<f32>() {
            Ok(rate) if is_valid(rate) => Statement::Rate(rate),
            _ => Statement::Malformed,
        }
    }
}

fn is_valid(rate: f32) -> bool {
    rate.is_finite() && rate >= 0.0
}

/// Statement of a replica, as gateways pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Requests a second; `None` if the replica has a limit no more.
    pub rate: Option<f32>,
    /// Age in milliseconds.
    pub age_ms: u16,
}

/// Change of a replica's limit, in requests a second; `None` is no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Limit before.
    pub before: Option<f32>,
    /// Limit from now on.
    pub after: Option<f32>,
}

/// Changes of replicas' limits, with the ids of the replicas.
pub type Changes = Vec<(String, Change)>;

/// Newest statement of a replica that has, or recently had, a limit.
#[derive(Clone, Debug, Default)]
struct Entry {
    rate: Option<f32>,
    /// Time of the statement.
    at: Time,
    /// Time until which permits are denied, by kind and by the rank of the call.
    denials: BTreeMap<(Kind, u8), Time>,
}

/// Kind of permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Valid at once.
    Immediate,
    /// Valid at once or some time later.
    Reserved,
}

/// Limits of replicas, as far as this gateway knows them.
#[derive(Debug, Default)]
pub struct Table {
    entries: BTreeMap<Digest, Entry>,
}

impl Table {
    /// Limit of a replica in requests a second; `None` if it has none.
    pub fn rate(&self, replica: Digest) -> Option<f32> {
        self.entries.get(&replica)?.rate
    }

    /// Number of replicas with a limit.
    pub fn len(&self) -> usize {
        self.entries.values().filter(|entry| entry.rate.is_some()).count()
    }

    /// Whether no replica has a limit.
    pub fn is_empty(&self) -> bool {
        !self.entries.values().any(|entry| entry.rate.is_some())
    }

    /// Records what a replica stated at `at`, unless a newer statement is known; returns the
    /// change, if there is one.
    pub fn record(&mut self, at: Time, replica: Digest, rate: Option<f32>) -> Option<Change> {
        if rate.is_none() && !self.entries.contains_key(&replica) {
            return None;
        }
        let entry = self.entries.entry(replica).or_default();
        if at < entry.at {
            return None;
        }
        entry.at = at;
        let before = std::mem::replace(&mut entry.rate, rate);
        if before == rate {
            return None;
        }
        entry.denials.clear();
        Some(Change { before, after: rate })
    }

    /// Merges the record of another gateway; returns the change, if there is one.
    pub fn receive(&mut self, now: Time, record: &Record) -> Option<Change> {
        let valid = record.rate.is_none_or(is_valid);
        valid.then(|| {
            self.record(gossip::time_before(now, record.age_ms), record.replica, record.rate)
        })?
    }

    /// The record of a replica to pass on; `None` if nothing recent is known of its limit.
    pub fn get(&self, now: Time, replica: Digest) -> Option<Record> {
        let entry = self.entries.get(&replica)?;
        let age = now.since(entry.at);
        (age < MAX_RECORD_AGE).then_some(Record {
            replica,
            rate: entry.rate,
            age_ms: age.as_millis() as u16,
        })
    }

    /// Records to gossip, the newest first.
    pub fn gossip(&self, now: Time) -> Vec<Record> {
        let mut records: Vec<Record> =
            self.entries.keys().filter_map(|replica| self.get(now, *replica)).collect();
        records.sort_by_key(|record| record.age_ms);
        records.truncate(gossip::MAX_ENTRIES);
        records
    }

    /// Drops replicas that are not listed and limits that ended long ago.
    pub fn sweep(&mut self, now: Time, mut is_listed: impl FnMut(Digest) -> bool) {
        self.entries.retain(|replica, entry| {
            let remembered = entry.rate.is_some() || now.since(entry.at) < LIFTED_RETENTION;
            remembered && is_listed(*replica)
        });
    }

    /// Records that calls of `rank`, and of lower ranks, get no permit of a kind for a replica
    /// before `until`.
    pub fn record_denial(&mut self, now: Time, replica: Digest, kind: Kind, rank: u8, until: Time) {
        if let Some(entry) = self.entries.get_mut(&replica) {
            entry.denials.retain(|_, until| *until > now);
            entry.denials.insert((kind, rank), until);
        }
    }

    /// Time until which calls of `rank` get no permit of a kind for a replica; `None` if they may
    /// ask for one, or need none.
    pub fn denied_until(&self, now: Time, replica: Digest, kind: Kind, rank: u8) -> Option<Time> {
        let entry = self.entries.get(&replica)?;
        entry.rate?;
        let applies = |denied: Kind, by: u8| denied >= kind && by <= rank;
        let denials = entry.denials.iter().filter(|((denied, by), _)| applies(*denied, *by));
        denials.map(|(_, until)| *until).filter(|until| *until > now).max()
    }
}
