//! Detects that a more urgent rank of calls is served worse than a less urgent one, and by how much
//! the isolated pool has to grow for it.
//!
//! The share on time of each rank is a decayed one. If the most urgent rank is served worse for some
//! seconds, the pool grows by a step at a time, up to a bound. The steps are undone one by one once
//! the inversion is over.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::time::Span;
use crate::time::Time;

/// Ended streams of a rank below which its share on time is unknown.
const MIN_ENDED: f64 = 30.0;
/// Difference of shares on time from which a rank counts as served worse than a less urgent one. At
/// smaller ones, the noise of a hundred streams would move the pool.
const MIN_DIFFERENCE: f64 = 0.1;
/// Difference of shares below which an inversion is over.
const OVER_DIFFERENCE: f64 = 0.03;
/// Time for which an inversion lasts before the pool grows by one more step.
const GROWTH_INTERVAL: Span = Span::secs(2);
/// Time for which there is no inversion before one step is undone.
const UNDO_INTERVAL: Span = Span::secs(4);
/// Upper bound on the steps: a pool that grows further takes more from the others than it gives.
const MAX_STEPS: usize = 2;
/// Interval at which the decider states the shares on time if the steps do not change.
const STATEMENT_INTERVAL: Span = Span::secs(1);
/// Age of a record from which it says nothing more: the decider that stated it is gone.
const RECORD_TTL: Span = Span::secs(10);
/// Upper bound on the services with a record.
const MAX_SERVICES: usize = 256;
/// Upper bound on the ranks in a record.
const MAX_RANKS: usize = 16;

/// Streams of one rank that ended, with decayed counts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Results {
    /// Streams that ended.
    pub ended: f64,
    /// Those whose first event and pauses were on time.
    pub on_time: f64,
}

impl Results {
    fn share(&self) -> Option<f64> {
        (self.ended >= MIN_ENDED).then(|| (self.on_time / self.ended).clamp(0.0, 1.0))
    }
}

/// Change of the steps by which the isolated pool of a service grows.
#[derive(Clone, Debug)]
pub struct Change {
    /// Short hash of the service's name.
    pub service: u32,
    /// Steps from now on.
    pub steps: usize,
    /// Share of the streams on time by rank, as far as it is known.
    pub shares: BTreeMap<u8, f64>,
}

impl Change {
    /// The change to `steps` of a service with these results.
    pub fn new(service: u32, steps: usize, ranks: &BTreeMap<u8, Results>) -> Change {
        let known = |(rank, results): (&u8, &Results)| Some((*rank, results.share()?));
        Change { service, steps, shares: ranks.iter().filter_map(known).collect() }
    }
}

/// Steps by which the isolated pool of one service grows.
#[derive(Debug, Default)]
pub struct Inversion {
    steps: usize,
    /// Time from which the current state counts, and whether it is an inversion.
    state: Option<(Time, bool)>,
}

impl Inversion {
    /// Updates the steps by the results of each rank, and returns them.
    pub fn update(&mut self, now: Time, ranks: &BTreeMap<u8, Results>) -> usize {
        let shares = ranks.values().map(|results| results.share());
        let mut shares = shares.map(|share| share.unwrap_or(f64::NAN));
        let first = shares.next().unwrap_or(f64::NAN);
        let best = shares.fold(f64::NAN, f64::max);
        let difference = best - first;
        let was_inverted = self.state.is_some_and(|(_, inverted)| inverted);
        let least = if was_inverted { OVER_DIFFERENCE } else { MIN_DIFFERENCE };
        // The difference to an unknown share is NaN, which is no inversion.
        let is_inverted = difference >= least;
        let since = match self.state {
            Some((since, inverted)) if inverted == is_inverted => since,
            _ => now,
        };
        self.state = Some((since, is_inverted));
        let interval = if is_inverted { GROWTH_INTERVAL } else { UNDO_INTERVAL };
        if now.since(since) >= interval {
            self.steps = match is_inverted {
                true => (self.steps + 1).min(MAX_STEPS),
                false => self.steps.saturating_sub(1),
            };
            self.state = Some((now, is_inverted));
        }
        self.steps
    }

    /// Steps by which the pool grows.
    pub fn steps(&self) -> usize {
        self.steps
    }
}

/// Steps and shares on time of one service, as the decider states them to all gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Short hash of the service's name.
    pub service: u32,
    /// Number of the record; it grows with each one.
    pub serial: u32,
    /// Short hash of the decider's name; of two records with the same serial, the greater one
    /// prevails.
    pub by: u32,
    /// Steps by which the isolated pool grows.
    pub steps: u8,
    /// Share of the streams on time by rank, in percent, as far as it is known.
    pub on_time_percent: Vec<(u8, u8)>,
}

/// Newest record of each service.
#[derive(Debug, Default)]
pub struct Table {
    records: BTreeMap<u32, (Record, Time)>,
}

impl Table {
    /// Stores a record of another gateway if it is later than the known one; ignores it if it has
    /// more ranks than any decider states, or if the table is full.
    pub fn receive(&mut self, now: Time, record: &Record) {
        let known = self.records.get(&record.service);
        let is_later = match known {
            Some((known, _)) => (record.serial, record.by) > (known.serial, known.by),
            None => self.records.len() < MAX_SERVICES,
        };
        if is_later && record.on_time_percent.len() <= MAX_RANKS {
            self.records.insert(record.service, (record.clone(), now));
        }
    }

    /// States the steps and shares of a service as its decider, if they are due.
    pub fn publish(&mut self, now: Time, by: u32, state: &Change) {
        let known = self.records.get(&state.service);
        let steps = state.steps.min(usize::from(u8::MAX)) as u8;
        let is_due = known.is_none_or(|(known, at)| {
            known.by != by || known.steps != steps || now.since(*at) >= STATEMENT_INTERVAL
        });
        if !is_due || known.is_none() && self.records.len() >= MAX_SERVICES {
            return;
        }
        let serial = known.map_or(0, |(known, _)| known.serial).saturating_add(1);
        let percent = |(rank, share): (&u8, &f64)| (*rank, (share * 100.0).round() as u8);
        let on_time_percent = state.shares.iter().take(MAX_RANKS).map(percent).collect();
        let record = Record { service: state.service, serial, by, steps, on_time_percent };
        self.records.insert(state.service, (record, now));
    }

    /// Records that are not expired.
    pub fn current(&self, now: Time) -> impl Iterator<Item = &Record> {
        let records = self.records.values().filter(move |(_, at)| now.since(*at) < RECORD_TTL);
        records.map(|(record, _)| record)
    }

    /// Drops the records of removed services.
    pub fn retain(&mut self, mut exists: impl FnMut(u32) -> bool) {
        self.records.retain(|service, _| exists(*service));
    }
}
