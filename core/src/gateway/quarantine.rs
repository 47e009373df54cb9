//! Quarantines requests that repeatedly crash the replica serving them. Different requests that
//! crash replicas because of one part of their prompts are the matter of [`part`].
//!
//! When a connection to a replica breaks, the gateway records a crash for the fingerprint of each
//! request that was running on it, and gossips the records. A fingerprint with [`CRASH_THRESHOLD`]
//! crashes and no complete answer is quarantined. Requests that merely ran at the same time as the
//! cause are cleared by a complete answer from another replica, by a later sign of life of the
//! replica, or because another quarantined fingerprint explains their crashes. Crashes are only
//! added to records, except that an answer clears them, so the order in which a gateway merges
//! records does not affect the result.

pub mod feature;
pub mod part;
pub mod survival;
pub mod unframed;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::fingerprint::Fingerprint;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Number of crashes that quarantines a fingerprint. One or two are not enough: a harmless stream
/// that is resumed after a crash may land on the next replica to crash.
pub const CRASH_THRESHOLD: usize = 3;
/// Duration of a quarantine after [`CRASH_THRESHOLD`] crashes; doubles with each further crash.
const MIN_QUARANTINE: Span = Span::secs(600);
/// Number of crashes shared with a quarantined fingerprint from which that fingerprint is
/// considered their cause.
const MIN_SHARED: usize = 2;
/// Upper bound on crashes tracked for one fingerprint.
const MAX_CRASHES: usize = 10;
/// Retention of fingerprints with too few crashes for a quarantine.
const RETENTION: Span = Span::secs(600);
/// Retention of fingerprints that were quarantined; longer than the longest quarantine.
const QUARANTINED_RETENTION: Span = Span::secs(2 * 86_400);
/// Upper bound on tracked fingerprints.
pub const MAX_FINGERPRINTS: usize = 4_096;
/// Time after a broken connection from which a sign of life shows that the replica has not crashed.
/// Messages that it sent before a crash may be read and gossiped until then.
pub const LIVENESS_DELAY: Span = Span::secs(1);
/// Time for which heartbeats carry a changed record; long enough to reach every gateway.
const GOSSIP_PERIOD: Span = Span::secs(3);
/// Upper bound on records in one heartbeat.
pub const MAX_GOSSIP_RECORDS: usize = 32;

/// A replica that crashed while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// Crashes and answers of one fingerprint, as gossiped between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Replicas that crashed while running a request with this fingerprint.
    pub crashes: Vec<Crash>,
    /// Time since its last complete answer, in milliseconds; `None` if there was none.
    pub answered_ms: Option<u64>,
}

/// Why a supposed crash of a replica does not count against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Refutation {
    /// The replica gave a later sign of life.
    Survived,
    /// A quarantined part of prompts caused the crash.
    PartExplains,
    /// The links of the gateway that recorded the crash were lost.
    Withdrawn,
}

/// Why a quarantine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Release {
    /// Its time is over.
    Expired,
    /// A replica answered the request completely.
    Answered,
    /// Crashes of another quarantined request include all of its crashes.
    RequestExplains,
    /// Too many of its crashes were refuted; the last reason that was found.
    #[display("{_0}")]
    Refuted(Refutation),
}

/// Start or end of the quarantine of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Why the quarantine ends; `None` if it starts.
    pub release: Option<Release>,
    /// Number of crashes that are not refuted.
    pub crashes: usize,
}

/// A broken connection to one replica.
#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Time,
    /// Why it was no crash under the request. The observation is kept, so that the same crash is not
    /// counted when a peer gossips it again.
    refuted: Option<Refutation>,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: BTreeMap<Digest, Observation>,
    /// Crashes of replicas that had already sent part of their answer, until it is known whether
    /// another request explains them.
    undecided: BTreeMap<Digest, Time>,
    answered: Option<Time>,
    /// Time of the last change.
    changed: Time,
}

impl Suspect {
    /// Crashes that are not refuted.
    fn valid_crashes(&self) -> impl Iterator<Item = (Digest, Time)> {
        self.crashes
            .iter()
            .filter(|(_, crash)| crash.refuted.is_none())
            .map(|(replica, crash)| (*replica, crash.at))
    }

    /// Whether there are enough crashes for a quarantine.
    fn has_enough_crashes(&self) -> bool {
        self.valid_crashes().count() >= CRASH_THRESHOLD
    }

    /// Adds a crash; `true` if it is new. If the same crash is reported with several times, the
    /// earliest one is kept, because gossip arrives late.
    fn add_crash(&mut self, at: Time, replica: Digest) -> bool {
        if self.answered.is_some_and(|answered| at <= answered + LIVENESS_DELAY) {
            return false;
        }
        if let Some(crash) = self.crashes.get_mut(&replica) {
            crash.at = crash.at.min(at);
            return false;
        }
        self.crashes.insert(replica, Observation { at, refuted: None });
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at).map(|(r, _)| *r);
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
        self.undecided.retain(|_, crash| *crash > at + LIVENESS_DELAY);
        self.crashes.retain(|_, crash| crash.at > at + LIVENESS_DELAY);
        true
    }

    fn is_expired(&self, now: Time) -> bool {
        let last = self.crashes.values().map(|crash| crash.at).max().max(self.answered);
        let last = last.max(self.undecided.values().copied().max());
        let retention = if self.has_enough_crashes() { QUARANTINED_RETENTION } else { RETENTION };
        last.is_none_or(|last| now.since(last) > retention)
    }

    fn record(&self, now: Time, fingerprint: Fingerprint) -> Record {
        let age = |at: Time| now.since(at).as_millis();
        let crashes = self.valid_crashes().map(|(replica, at)| Crash { replica, age_ms: age(at) });
        Record { fingerprint, crashes: crashes.collect(), answered_ms: self.answered.map(age) }
    }
}

/// Fingerprints that crashed replicas, as known to this gateway.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Quarantined fingerprints with the ends of their quarantines.
    quarantined: BTreeMap<Fingerprint, Time>,
    /// Fingerprints that were quarantined at the last reevaluation.
    last_quarantined: BTreeSet<Fingerprint>,
}

impl Quarantine {
    /// Records that the connection to `replica` broke while a request was running on it.
    pub fn record_crash(&mut self, now: Time, fingerprint: Fingerprint, replica: Digest) {
        let suspect = self.suspects.entry(fingerprint).or_default();
        if suspect.add_crash(now, replica) {
            suspect.changed = now;
            if suspect.has_enough_crashes() {
                self.recompute();
            }
        }
    }

    /// Records that the connection to `replica` broke after it had sent part of its answer to a
    /// request.
    ///
    /// Most such requests are bystanders: long streams meet several crashes while other requests
    /// cause them. As soon as three were counted against a stream, it seemed to explain the crashes
    /// of their cause, which was then sent again. So the crash counts only if, once peers have
    /// gossiped theirs, no request is known that had not begun to be answered there.
    pub fn record_interruption(&mut self, now: Time, fingerprint: Fingerprint, replica: Digest) {
        let suspect = self.suspects.entry(fingerprint).or_default();
        if !suspect.crashes.contains_key(&replica) {
            suspect.undecided.entry(replica).or_insert(now);
        }
    }

    /// Withdraws a crash that was no crash. It is kept as one that the replica survived, since peers
    /// that have heard of it would bring it back.
    pub fn withdraw_crash(&mut self, fingerprint: Fingerprint, replica: Digest) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.undecided.remove(&replica);
        if let Some(crash) = suspect.crashes.get_mut(&replica) {
            crash.refuted = Some(Refutation::Withdrawn);
            self.recompute();
        }
    }

    /// Decides on interruptions for which the crashes that peers recorded have arrived.
    fn decide_interruptions(&mut self, now: Time) {
        let crashed: BTreeSet<Digest> =
            self.suspects.values().flat_map(|s| s.crashes.keys().copied()).collect();
        for suspect in self.suspects.values_mut() {
            let due = |at: Time| now.since(at) >= LIVENESS_DELAY;
            let decided: Vec<(Digest, Time)> = suspect
                .undecided
                .iter()
                .map(|(r, at)| (*r, *at))
                .filter(|(_, at)| due(*at))
                .collect();
            for (replica, at) in decided {
                suspect.undecided.remove(&replica);
                if !crashed.contains(&replica) && suspect.add_crash(at, replica) {
                    suspect.changed = now;
                }
            }
        }
    }

    /// Records a complete answer to a request.
    pub fn record_answer(&mut self, now: Time, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        let had_enough_crashes = suspect.has_enough_crashes();
        if suspect.add_answer(now) {
            suspect.changed = now;
            if had_enough_crashes {
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
            let had_enough_crashes = suspect.has_enough_crashes();
            let mut changed = record.answered_ms.is_some_and(|age| suspect.add_answer(at(age)));
            for crash in record.crashes.iter().take(MAX_CRASHES) {
                changed |= suspect.add_crash(at(crash.age_ms), crash.replica);
            }
            if changed {
                suspect.changed = now;
            }
            is_new |= changed && (had_enough_crashes || suspect.has_enough_crashes());
            if !suspect.is_expired(now) {
                self.suspects.insert(record.fingerprint, suspect);
            }
        }
        if is_new {
            self.recompute();
        }
    }

    /// Recently changed records to gossip, those with the most crashes first.
    pub fn gossip(&self, now: Time) -> Vec<Record> {
        let recent = self.suspects.iter().filter(|(_, s)| now.since(s.changed) < GOSSIP_PERIOD);
        let mut recent: Vec<(&Fingerprint, &Suspect)> = recent.collect();
        recent.sort_by_key(|(_, s)| (Reverse(s.crashes.len()), Reverse(s.changed)));
        recent.truncate(MAX_GOSSIP_RECORDS);
        recent.into_iter().map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    /// Records that must outlast this process: those with enough crashes for a quarantine.
    pub fn durable_records(&self, now: Time) -> Vec<Record> {
        let persistent = self.suspects.iter().filter(|(_, s)| s.has_enough_crashes());
        persistent.map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    /// Whether each crash of a record is too old or was followed by a complete answer.
    pub fn is_obsolete(&self, now: Time, record: &Record) -> bool {
        let answered = self.suspects.get(&record.fingerprint).and_then(|s| s.answered);
        let is_relevant = |age: Span| {
            age <= QUARANTINED_RETENTION
                && answered.is_none_or(|answered| now - age > answered + LIVENESS_DELAY)
        };
        !record.crashes.iter().any(|crash| is_relevant(Span::millis(crash.age_ms)))
    }

    /// Time until the end of a fingerprint's quarantine; `None` if it is not quarantined.
    pub fn remaining(&self, now: Time, fingerprint: Fingerprint) -> Option<Span> {
        let until = *self.quarantined.get(&fingerprint)?;
        (now < until).then(|| until.since(now))
    }

    /// Whether another replica than `besides` crashed while it ran a request with this fingerprint,
    /// as far as that is not explained.
    pub fn is_suspect(&self, fingerprint: Fingerprint, besides: Digest) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|suspect| {
            let crashes = suspect.valid_crashes().map(|(replica, _)| replica);
            crashes.chain(suspect.undecided.keys().copied()).any(|replica| replica != besides)
        })
    }

    /// Whether a replica is known to have crashed about this time.
    pub fn has_crash(&self, replica: Digest, at: Time) -> bool {
        let crashes = self.suspects.values().filter_map(|suspect| suspect.crashes.get(&replica));
        crashes.into_iter().any(|crash| crash.refuted.is_none() && survival::is_same(crash.at, at))
    }

    /// Number of tracked fingerprints.
    pub fn tracked_count(&self) -> usize {
        self.suspects.len()
    }

    /// Number of quarantined fingerprints.
    pub fn quarantined_count(&self, now: Time) -> usize {
        self.quarantined.values().filter(|until| now < **until).count()
    }

    /// Reevaluates all fingerprints and returns the quarantines that started or ended since the
    /// last call. `refutation` returns why the supposed crash of a replica at the given time does not
    /// count, if that is known.
    pub fn reevaluate(
        &mut self,
        now: Time,
        refutation: impl Fn(Digest, Time) -> Option<Refutation>,
    ) -> Vec<Transition> {
        self.decide_interruptions(now);
        for suspect in self.suspects.values_mut() {
            for (replica, crash) in &mut suspect.crashes {
                crash.refuted = crash.refuted.or_else(|| refutation(*replica, crash.at));
            }
        }
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        self.evict_excess();
        self.recompute();
        self.take_transitions(now)
    }

    /// Removes the fingerprints with the fewest crashes beyond [`MAX_FINGERPRINTS`].
    fn evict_excess(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_FINGERPRINTS);
        if excess == 0 {
            return;
        }
        let order = |(fingerprint, suspect): (&Fingerprint, &Suspect)| {
            (suspect.valid_crashes().count(), suspect.changed, *fingerprint)
        };
        let mut all: Vec<_> = self.suspects.iter().map(order).collect();
        all.sort_unstable();
        for (_, _, fingerprint) in all.into_iter().take(excess) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Recomputes the quarantines. Candidates are ordered by their number of crashes, then by the
    /// time at which they reached the threshold. A candidate is a bystander if it shares all of its
    /// crashes with earlier ones, and at least [`MIN_SHARED`] with each of these. Crashing requests
    /// that meet at a replica or two do not excuse each other.
    fn recompute(&mut self) {
        self.quarantined.clear();
        let mut candidates = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            let mut crashes: Vec<(Time, Digest)> =
                suspect.valid_crashes().map(|(r, at)| (at, r)).collect();
            if crashes.len() >= CRASH_THRESHOLD {
                crashes.sort_unstable();
                candidates.push((
                    Reverse(crashes.len()),
                    crashes[CRASH_THRESHOLD - 1].0,
                    *fingerprint,
                    crashes,
                ));
            }
        }
        candidates.sort_unstable();
        let mut causes: Vec<BTreeSet<Digest>> = Vec::new();
        for (_, _, fingerprint, crashes) in candidates {
            let replicas: BTreeSet<Digest> = crashes.iter().map(|(_, replica)| *replica).collect();
            let shares =
                |cause: &&BTreeSet<Digest>| cause.intersection(&replicas).count() >= MIN_SHARED;
            let explained: BTreeSet<Digest> =
                causes.iter().filter(shares).flatten().copied().collect();
            let is_explained = crashes.iter().all(|(_, replica)| explained.contains(replica));
            if let Some((last, _)) = crashes.last()
                && !is_explained
            {
                let doublings =
                    (crashes.len() - CRASH_THRESHOLD).min(MAX_CRASHES - CRASH_THRESHOLD);
                self.quarantined.insert(fingerprint, *last + Span(MIN_QUARANTINE.0 << doublings));
                causes.push(replicas);
            }
        }
    }

    /// Why a fingerprint is no longer quarantined.
    fn release(&self, fingerprint: &Fingerprint) -> Release {
        let Some(suspect) = self.suspects.get(fingerprint) else {
            return Release::Expired;
        };
        if suspect.has_enough_crashes() {
            let is_over = self.quarantined.contains_key(fingerprint);
            return if is_over { Release::Expired } else { Release::RequestExplains };
        }
        let last = suspect.crashes.values().max_by_key(|crash| (crash.refuted.is_some(), crash.at));
        last.and_then(|crash| crash.refuted).map_or(Release::Answered, Release::Refuted)
    }

    /// Quarantines that started or ended since the last call.
    fn take_transitions(&mut self, now: Time) -> Vec<Transition> {
        let quarantined = self.quarantined.iter().filter(|(_, until)| now < **until);
        let quarantined: BTreeSet<Fingerprint> =
            quarantined.map(|(fingerprint, _)| *fingerprint).collect();
        let changed = quarantined.symmetric_difference(&self.last_quarantined);
        let transitions = changed.map(|fingerprint| Transition {
            fingerprint: *fingerprint,
            release: (!quarantined.contains(fingerprint)).then(|| self.release(fingerprint)),
            crashes: self.suspects.get(fingerprint).map_or(0, |s| s.valid_crashes().count()),
        });
        let transitions = transitions.collect();
        self.last_quarantined = quarantined;
        transitions
    }
}
