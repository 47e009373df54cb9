//! Quarantine of requests that repeatedly crash the replica serving them.
//!
//! Gateways record which replica was running a request when its connection broke, by the request's
//! fingerprint, and gossip these records. A fingerprint with [`CRASH_THRESHOLD`] crashes and no answer is
//! quarantined. Requests that merely ran beside the cause are cleared by an answer elsewhere, by a sign of
//! life of the replica, or because the cause already explains their crashes. Records only grow, except
//! where an answer clears them, so gateways agree whatever order they merge them in.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::fingerprint::Fingerprint;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Crashes before a fingerprint is quarantined. Bystanders see one or two in a row, as a stream that is
/// resumed after the first crash may meet the next one.
pub const CRASH_THRESHOLD: usize = 3;
/// Length of the first quarantine; doubles with each further crash.
const HOLD: Span = Span::secs(600);
/// Crashes shared with a quarantined fingerprint from which on that one is taken as their cause.
const SHARED: usize = 2;
/// Upper bound on crashes tracked for one fingerprint.
const MAX_CRASHES: usize = 10;
/// Retention of fingerprints with too few crashes for a quarantine.
const MEMORY: Span = Span::secs(600);
/// Retention of fingerprints that were quarantined; longer than the longest quarantine.
const LONG_MEMORY: Span = Span::secs(2 * 86_400);
/// Upper bound on tracked fingerprints.
pub const MAX_FINGERPRINTS: usize = 4_096;
/// A sign of life this long after the connection broke shows that the replica has not crashed. What it
/// sent before may be read, and gossiped, up to then.
pub const LIVENESS_DELAY: Span = Span::secs(1);
/// Time for which heartbeats carry a change; long enough to reach every gateway.
const SHARED_FOR: Span = Span::secs(3);
/// Upper bound on records in one heartbeat.
pub const MAX_GOSSIP_RECORDS: usize = 32;

/// A replica that crashed while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
}

/// What gateways gossip about a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Replicas that crashed while running it.
    pub crashes: Vec<Crash>,
    /// Time since it was last answered, if it was, in milliseconds.
    pub answered_ms: Option<u64>,
}

/// A fingerprint whose verdict has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// It is quarantined from now on, or no longer.
    pub quarantined: bool,
    /// Crashes without a later sign of life.
    pub crashes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Time,
    /// The replica gave a sign of life later. Kept, so that the same crash is not new when a peer
    /// gossips it.
    alive: bool,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: BTreeMap<Digest, Mark>,
    answered: Option<Time>,
    /// Last change that peers may not have.
    changed: Time,
}

impl Suspect {
    fn counted(&self) -> impl Iterator<Item = (Digest, Time)> {
        self.crashes
            .iter()
            .filter(|(_, mark)| !mark.alive)
            .map(|(replica, mark)| (*replica, mark.at))
    }

    /// Whether it has enough crashes for a quarantine.
    fn is_strong(&self) -> bool {
        self.counted().count() >= CRASH_THRESHOLD
    }

    /// Adds a crash; `true` if it is new. Of several times for one crash the earliest is right, because
    /// gossip lags.
    fn add_crash(&mut self, at: Time, replica: Digest) -> bool {
        if self.answered.is_some_and(|answered| at <= answered + LIVENESS_DELAY) {
            return false;
        }
        if let Some(mark) = self.crashes.get_mut(&replica) {
            mark.at = mark.at.min(at);
            return false;
        }
        self.crashes.insert(replica, Mark { at, alive: false });
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, mark)| mark.at).map(|(r, _)| *r);
            oldest.and_then(|oldest| self.crashes.remove(&oldest));
        }
        true
    }

    /// Adds a complete answer; `true` if it is new.
    fn add_answer(&mut self, at: Time) -> bool {
        if self.answered.is_some_and(|known| at <= known + LIVENESS_DELAY) {
            return false;
        }
        self.answered = Some(at);
        self.crashes.retain(|_, mark| mark.at > at + LIVENESS_DELAY);
        true
    }

    fn is_forgotten(&self, now: Time) -> bool {
        let last = self.crashes.values().map(|mark| mark.at).max().max(self.answered);
        let memory = if self.is_strong() { LONG_MEMORY } else { MEMORY };
        last.is_none_or(|last| now.since(last) > memory)
    }

    fn record(&self, now: Time, fingerprint: Fingerprint) -> Record {
        let age = |at: Time| now.since(at).as_millis();
        let crashes = self.counted().map(|(replica, at)| Crash { replica, age_ms: age(at) });
        Record { fingerprint, crashes: crashes.collect(), answered_ms: self.answered.map(age) }
    }
}

/// Fingerprints that crashed replicas, as far as this gateway knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// End of each quarantine.
    quarantined: BTreeMap<Fingerprint, Time>,
    /// Fingerprints last reported as quarantined.
    reported: BTreeSet<Fingerprint>,
}

impl Quarantine {
    /// Records that the connection broke on which `replica` ran a request.
    pub fn record_crash(&mut self, now: Time, fingerprint: Fingerprint, replica: Digest) {
        let suspect = self.suspects.entry(fingerprint).or_default();
        if suspect.add_crash(now, replica) {
            suspect.changed = now;
            if suspect.is_strong() {
                self.recompute();
            }
        }
    }

    /// Records a complete answer.
    pub fn record_answer(&mut self, now: Time, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        let was_strong = suspect.is_strong();
        if suspect.add_answer(now) {
            suspect.changed = now;
            if was_strong {
                self.recompute();
            }
        }
    }

    /// Merges records of a peer or of the store.
    pub fn merge(&mut self, now: Time, records: &[Record]) {
        let mut is_new = false;
        for record in records {
            let at = |age_ms: u64| now - Span::millis(age_ms);
            let mut suspect = self.suspects.remove(&record.fingerprint).unwrap_or_default();
            let was_strong = suspect.is_strong();
            let mut changed = record.answered_ms.is_some_and(|age| suspect.add_answer(at(age)));
            for end in record.crashes.iter().take(MAX_CRASHES) {
                changed |= suspect.add_crash(at(end.age_ms), end.replica);
            }
            if changed {
                suspect.changed = now;
            }
            is_new |= changed && (was_strong || suspect.is_strong());
            if !suspect.is_forgotten(now) {
                self.suspects.insert(record.fingerprint, suspect);
            }
        }
        if is_new {
            self.recompute();
        }
    }

    /// Recent changes to gossip, the most crashes first.
    pub fn gossip(&self, now: Time) -> Vec<Record> {
        let young = self.suspects.iter().filter(|(_, s)| now.since(s.changed) < SHARED_FOR);
        let mut young: Vec<(&Fingerprint, &Suspect)> = young.collect();
        young.sort_by_key(|(_, s)| (Reverse(s.crashes.len()), Reverse(s.changed)));
        young.truncate(MAX_GOSSIP_RECORDS);
        young.into_iter().map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    /// Records that must outlast this process: those with enough crashes for a quarantine.
    pub fn durable_records(&self, now: Time) -> Vec<Record> {
        let persistent = self.suspects.iter().filter(|(_, s)| s.is_strong());
        persistent.map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    /// Whether a record is obsolete: answered since, or too old.
    pub fn is_obsolete(&self, now: Time, record: &Record) -> bool {
        let answered = self.suspects.get(&record.fingerprint).and_then(|s| s.answered);
        let counts = |age: Span| {
            age <= LONG_MEMORY
                && answered.is_none_or(|answered| now - age > answered + LIVENESS_DELAY)
        };
        !record.crashes.iter().any(|end| counts(Span::millis(end.age_ms)))
    }

    /// Time left of a quarantine; `None` if the request may be sent.
    pub fn remaining(&self, now: Time, fingerprint: Fingerprint) -> Option<Span> {
        let until = *self.quarantined.get(&fingerprint)?;
        (now < until).then(|| until.since(now))
    }

    /// Number of tracked fingerprints.
    pub fn tracked_count(&self) -> usize {
        self.suspects.len()
    }

    /// Number of quarantined fingerprints.
    pub fn quarantined_count(&self, now: Time) -> usize {
        self.quarantined.values().filter(|until| now < **until).count()
    }

    /// Reevaluates all fingerprints; `is_alive` says whether a replica gave a sign of life after a time.
    /// Returns the verdicts that changed since the last call.
    pub fn reevaluate(
        &mut self,
        now: Time,
        is_alive: impl Fn(Digest, Time) -> bool,
    ) -> Vec<Transition> {
        for suspect in self.suspects.values_mut() {
            for (replica, mark) in &mut suspect.crashes {
                mark.alive = mark.alive || is_alive(*replica, mark.at + LIVENESS_DELAY);
            }
        }
        self.suspects.retain(|_, suspect| !suspect.is_forgotten(now));
        self.bound();
        self.recompute();
        self.changes(now)
    }

    fn bound(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_FINGERPRINTS);
        if excess == 0 {
            return;
        }
        let order = |(fingerprint, suspect): (&Fingerprint, &Suspect)| {
            (suspect.counted().count(), suspect.changed, *fingerprint)
        };
        let mut all: Vec<_> = self.suspects.iter().map(order).collect();
        all.sort_unstable();
        for (_, _, fingerprint) in all.into_iter().take(excess) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Recomputes the quarantine. The fingerprint with the most crashes, of equals the earliest, is taken
    /// as their cause; they do not count against others that share [`SHARED`] of them.
    fn recompute(&mut self) {
        self.quarantined.clear();
        let mut strong = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            let mut crashes: Vec<(Time, Digest)> =
                suspect.counted().map(|(r, at)| (at, r)).collect();
            if crashes.len() >= CRASH_THRESHOLD {
                crashes.sort_unstable();
                strong.push((
                    Reverse(crashes.len()),
                    crashes[CRASH_THRESHOLD - 1].0,
                    *fingerprint,
                    crashes,
                ));
            }
        }
        strong.sort_unstable();
        let mut causes: Vec<BTreeSet<Digest>> = Vec::new();
        for (_, _, fingerprint, crashes) in strong {
            let replicas: BTreeSet<Digest> = crashes.iter().map(|(_, replica)| *replica).collect();
            let shares =
                |cause: &&BTreeSet<Digest>| cause.intersection(&replicas).count() >= SHARED;
            let explained: BTreeSet<Digest> =
                causes.iter().filter(shares).flatten().copied().collect();
            let own = crashes.iter().filter(|(_, replica)| !explained.contains(replica));
            let own: Vec<Time> = own.map(|(at, _)| *at).collect();
            if let Some(last) = own.last()
                && own.len() >= CRASH_THRESHOLD
            {
                let hold = Span(
                    HOLD.0 << (own.len() - CRASH_THRESHOLD).min(MAX_CRASHES - CRASH_THRESHOLD),
                );
                self.quarantined.insert(fingerprint, *last + hold);
                causes.push(replicas);
            }
        }
    }

    fn changes(&mut self, now: Time) -> Vec<Transition> {
        let quarantined = self.quarantined.iter().filter(|(_, until)| now < **until);
        let quarantined: BTreeSet<Fingerprint> =
            quarantined.map(|(fingerprint, _)| *fingerprint).collect();
        let changed = quarantined.symmetric_difference(&self.reported);
        let verdicts = changed.map(|fingerprint| Transition {
            fingerprint: *fingerprint,
            quarantined: quarantined.contains(fingerprint),
            crashes: self.suspects.get(fingerprint).map_or(0, |s| s.counted().count()),
        });
        let verdicts = verdicts.collect();
        self.reported = quarantined;
        verdicts
    }
}
