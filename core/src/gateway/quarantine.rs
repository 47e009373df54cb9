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
//!
//! A replica that starts again under its id may look like the incarnation that crashed until its
//! entry is read, or for good if it states no start. Crashes of one incarnation are therefore
//! numbered. A further one counts if its connection was opened after the one before, or if the
//! replica has survived the one before. Connections that break later than others in the same crash
//! are not counted again.

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
/// Longest time between the first and the last gateway that notices a crash: a host that loses power
/// is noticed by a timeout of each connection. Below it bystanders would not be recognised, and above
/// it crashes of a replica that has started again would be taken for those of its predecessor.
const MAX_DETECTION_SPREAD: Span = Span::secs(2);
/// Time from the first event of an answer within which the request most likely caused a crash.
const MAX_TIME_TO_CRASH: Span = Span::secs(1);
/// Crashes of another request before its answer from which on it is the likelier cause of a crash
/// than one whose answer has just begun. Calls that wait in a crashed replica have one.
const MIN_REPEATED: usize = 2;
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

/// A connection to a replica that broke while a request was running on it.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// Incarnation of the replica, as far as it is known.
    pub replica: Digest,
    /// Time at which the connection was opened.
    pub opened: Time,
}

/// A connection that broke after the first event of an answer.
#[derive(Clone, Copy, Debug)]
struct Interruption {
    connection: Connection,
    at: Time,
    first_event: Time,
}

/// A crash of an incarnation, by its number among those that a request met.
type Key = (Digest, u8);

/// Broken connections that one crash explains.
#[derive(Clone, Copy, Debug)]
struct Observation {
    /// Earliest time at which a connection broke.
    first: Time,
    /// Latest such time.
    last: Time,
    /// Why it was no crash under the request. The observation is kept, so that the same crash is not
    /// counted when a peer gossips it again.
    refuted: Option<Refutation>,
}

impl Observation {
    /// Whether a crash from `first` to `last` is this one, if it is of the same replica.
    fn is_near(&self, first: Time, last: Time) -> bool {
        first <= self.last + MAX_DETECTION_SPREAD && self.first <= last + MAX_DETECTION_SPREAD
    }
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: BTreeMap<Key, Observation>,
    /// Crashes of replicas that had already sent part of their answer, until it is known whether
    /// another request explains them.
    undecided: BTreeMap<Digest, Interruption>,
    answered: Option<Time>,
    /// Time of the last change.
    changed: Time,
}

impl Suspect {
    /// Crashes that are not refuted.
    fn valid_crashes(&self) -> impl Iterator<Item = (Digest, Observation)> {
        self.crashes
            .iter()
            .filter(|(_, crash)| crash.refuted.is_none())
            .map(|((replica, _), crash)| (*replica, *crash))
    }

    /// Whether there are enough crashes for a quarantine.
    fn has_enough_crashes(&self) -> bool {
        self.valid_crashes().count() >= CRASH_THRESHOLD
    }

    /// The crash under which `connection` broke at `at`: the last known one of its replica, or the next.
    fn key(&self, at: Time, connection: Connection) -> Key {
        let replica = connection.replica;
        let mut known = self.crashes.range((replica, 0)..=(replica, u8::MAX));
        match known.next_back() {
            None => (replica, 0),
            Some(((_, number), crash)) => {
                let is_next = match crash.refuted {
                    Some(_) => at > crash.last + survival::SAME_CRASH,
                    None => connection.opened > crash.first + LIVENESS_DELAY,
                };
                (replica, number.saturating_add(u8::from(is_next)))
            }
        }
    }

    /// Adds a report of a crash; `true` if it is new. The earliest and the latest of several reports
    /// are kept, because gossip arrives late.
    fn add_crash(&mut self, at: Time, key: Key) -> bool {
        if self.answered.is_some_and(|answered| at <= answered + LIVENESS_DELAY) {
            return false;
        }
        if let Some(crash) = self.crashes.get_mut(&key) {
            crash.first = crash.first.min(at);
            crash.last = crash.last.max(at);
            return false;
        }
        self.crashes.insert(key, Observation { first: at, last: at, refuted: None });
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.first).map(|(k, _)| *k);
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
        self.undecided.retain(|_, interruption| interruption.at > at + LIVENESS_DELAY);
        self.crashes.retain(|_, crash| crash.first > at + LIVENESS_DELAY);
        true
    }

    fn is_expired(&self, now: Time) -> bool {
        let last = self.crashes.values().map(|crash| crash.last).max().max(self.answered);
        let last = last.max(self.undecided.values().map(|interruption| interruption.at).max());
        let retention = if self.has_enough_crashes() { QUARANTINED_RETENTION } else { RETENTION };
        last.is_none_or(|last| now.since(last) > retention)
    }

    fn record(&self, now: Time, fingerprint: Fingerprint) -> Record {
        let age = |at: Time| now.since(at).as_millis();
        // The receiver numbers those of one replica by their order, so that refuted ones are listed if
        // a later one counts.
        let has_valid = |(replica, number): Key| {
            let mut later = self.crashes.range((replica, number)..=(replica, u8::MAX));
            later.any(|(_, crash)| crash.refuted.is_none())
        };
        let listed = self.crashes.iter().filter(|(key, _)| has_valid(**key));
        let crashes = listed
            .map(|((replica, _), crash)| Crash { replica: *replica, age_ms: age(crash.first) });
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
    /// Records that a connection broke while a request was running on it.
    pub fn record_crash(&mut self, now: Time, fingerprint: Fingerprint, connection: Connection) {
        self.record_past_crash(now, now, fingerprint, connection);
    }

    /// The same for a crash at `at` that is only known now.
    pub fn record_past_crash(
        &mut self,
        now: Time,
        at: Time,
        fingerprint: Fingerprint,
        connection: Connection,
    ) {
        let suspect = self.suspects.entry(fingerprint).or_default();
        if suspect.add_crash(at, suspect.key(at, connection)) {
            suspect.changed = now;
            if suspect.has_enough_crashes() {
                self.recompute();
            }
        }
    }

    /// Records that a connection broke on which a replica had sent part of its answer to a request,
    /// since `first_event`.
    ///
    /// Most such requests are bystanders: long streams meet several crashes while other requests
    /// cause them. So the crash counts only if, once peers have gossiped theirs, no likelier cause is
    /// known.
    pub fn record_interruption(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        connection: Connection,
        first_event: Time,
    ) {
        let suspect = self.suspects.entry(fingerprint).or_default();
        let interruption = Interruption { connection, at: now, first_event };
        suspect.undecided.entry(connection.replica).or_insert(interruption);
    }

    /// Withdraws a crash that was no crash. It is kept as one that the replica survived, since peers
    /// that have heard of it would bring it back.
    pub fn withdraw_crash(&mut self, fingerprint: Fingerprint, replica: Digest) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.undecided.remove(&replica);
        let mut crashes = suspect.crashes.range_mut((replica, 0)..=(replica, u8::MAX));
        if let Some((_, crash)) = crashes.next_back() {
            crash.refuted = Some(Refutation::Withdrawn);
            self.recompute();
        }
    }

    /// Decides on interruptions for which the crashes that peers recorded have arrived.
    fn decide_interruptions(&mut self, now: Time) {
        let is_due = |interruption: &Interruption| now.since(interruption.at) >= LIVENESS_DELAY;
        let due = self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            let due = suspect.undecided.values().filter(|interruption| is_due(interruption));
            due.map(move |interruption| (*fingerprint, *interruption))
        });
        let due: Vec<(Fingerprint, Interruption)> = due.collect();
        for (fingerprint, interruption) in due {
            let is_explained = self.is_interruption_explained(fingerprint, &interruption);
            let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
                continue;
            };
            suspect.undecided.remove(&interruption.connection.replica);
            let key = suspect.key(interruption.at, interruption.connection);
            if !is_explained && suspect.add_crash(interruption.at, key) {
                suspect.changed = now;
            }
        }
    }

    /// Whether another request is a likelier cause of an interruption: one that had not begun to be
    /// answered there. Calls that wait in the replica are such too, so a request that crashes replicas
    /// right after its first event is excused only by one that has met further crashes.
    fn is_interruption_explained(
        &self,
        fingerprint: Fingerprint,
        interruption: &Interruption,
    ) -> bool {
        let (at, replica) = (interruption.at, interruption.connection.replica);
        let has_just_begun = at.since(interruption.first_event) < MAX_TIME_TO_CRASH;
        let required = if has_just_begun { MIN_REPEATED } else { 1 };
        let mut others = self.suspects.iter().filter(|(other, _)| **other != fingerprint);
        others.any(|(_, suspect)| {
            let mut known = suspect.crashes.range((replica, 0)..=(replica, u8::MAX));
            known.any(|(_, crash)| crash.is_near(at, at)) && suspect.crashes.len() >= required
        })
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
            let mut counts: BTreeMap<Digest, u8> = BTreeMap::new();
            for crash in record.crashes.iter().take(MAX_CRASHES) {
                let number = counts.entry(crash.replica).or_default();
                changed |= suspect.add_crash(at(crash.age_ms), (crash.replica, *number));
                *number += 1;
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
        let is_known = |suspect: &Suspect| {
            let mut crashes = suspect.valid_crashes();
            crashes.any(|(crashed, crash)| crashed == replica && crash.is_near(at, at))
        };
        self.suspects.values().any(is_known)
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
            for ((replica, _), crash) in &mut suspect.crashes {
                if crash.refuted.is_none()
                    && let Some(reason) = refutation(*replica, crash.first)
                {
                    crash.refuted = Some(reason);
                }
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
            let mut crashes: Vec<(Digest, Observation)> = suspect.valid_crashes().collect();
            if crashes.len() >= CRASH_THRESHOLD {
                crashes.sort_unstable_by_key(|(replica, crash)| (crash.first, *replica));
                let reached = crashes[CRASH_THRESHOLD - 1].1.first;
                candidates.push((Reverse(crashes.len()), reached, *fingerprint, crashes));
            }
        }
        candidates.sort_unstable_by_key(|(count, reached, fingerprint, _)| {
            (*count, *reached, *fingerprint)
        });
        let mut causes: Vec<Vec<(Digest, Observation)>> = Vec::new();
        for (_, _, fingerprint, crashes) in candidates {
            let shared = |cause: &[(Digest, Observation)]| {
                crashes.iter().filter(|crash| is_in(cause, crash)).count()
            };
            let explaining: Vec<&Vec<(Digest, Observation)>> =
                causes.iter().filter(|cause| shared(cause) >= MIN_SHARED).collect();
            let is_explained =
                crashes.iter().all(|crash| explaining.iter().any(|cause| is_in(cause, crash)));
            if let Some((_, last)) = crashes.last()
                && !is_explained
            {
                let doublings =
                    (crashes.len() - CRASH_THRESHOLD).min(MAX_CRASHES - CRASH_THRESHOLD);
                let end = last.first + Span(MIN_QUARANTINE.0 << doublings);
                self.quarantined.insert(fingerprint, end);
                causes.push(crashes);
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
        let last =
            suspect.crashes.values().max_by_key(|crash| (crash.refuted.is_some(), crash.last));
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

/// Whether a crash is among those of another request.
fn is_in(crashes: &[(Digest, Observation)], (replica, crash): &(Digest, Observation)) -> bool {
    crashes.iter().any(|(other, c)| other == replica && c.is_near(crash.first, crash.last))
}
