//! Quarantines parts of prompts that crash the replicas running them.
//!
//! Requests with such a part may all differ otherwise, so no request crashes several replicas. When
//! a connection breaks, the crash is charged to each part of the request's prompt but the last. A
//! part with crashes at [`CRASH_THRESHOLD`] moments and no complete answer that began after them is
//! quarantined, unless other parts explain its crashes, or it was answered before and all crashes lie
//! within the time of an outage. The quarantine covers only requests that also have whatever else all its
//! crashed requests had in common, as far as that is not known to be sound: parts that always occur
//! together can't be told apart, and each one is served alone.
//!
//! A quarantine has no end of its own. Answers to calls that were on their way, survived crashes and
//! operators end it. Records only gain crashes and lose common features, so the order in which a
//! gateway merges them does not affect the result.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use super::feature::Context;
use super::feature::Feature;
use super::survival::is_same;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Moments with crashes from which on a part is quarantined.
pub const CRASH_THRESHOLD: usize = 3;
/// Time from one crash to the next up to which they count as one moment: the loss of a failure
/// domain or of a gateway's links breaks connections to many replicas at once.
const MOMENT: Span = Span::millis(200);
/// Time from the crash that reaches the threshold to the quarantine. Answers by which other
/// gateways clear the part arrive meanwhile; with half of it, gateways that have just started refused
/// sound calls while many connections to live replicas broke.
pub const SETTLE_TIME: Span = Span::secs(1);
/// Time within which all replicas of a service may be lost for reasons of their own. The part that
/// all calls share has crashes at several moments then, and no answers, as long streams are not
/// complete so soon. A part that was answered before is quarantined only if it crashes a replica
/// again later than this, as it does once replicas have restarted.
const OUTAGE_TIME: Span = Span::secs(2);
/// Crashes that a part must share with another one for these to be explained by it.
const MIN_SHARED: usize = 2;
/// Upper bound on crashes tracked for one part. With 12 a cause forgot its first crashes in a storm,
/// so that it no longer explained those of bystanders.
const MAX_CRASHES: usize = 32;
/// Retention of parts with too few crashes for a quarantine, and of answers.
const RETENTION: Span = Span::secs(600);
/// Upper bound on tracked parts.
pub const MAX_PARTS: usize = 4_096;
/// Upper bound on parts whose last answer is remembered.
pub const MAX_ANSWERED: usize = 4_096;
/// Time for which a changed record is gossiped; long enough to reach every gateway.
const GOSSIP_PERIOD: Span = Span::secs(3);
/// Upper bound on records in one message. With a few hundred bytes at each heartbeat, a storm of
/// crashes costs a gateway no more than the rest of its gossip.
pub const MAX_GOSSIP_RECORDS: usize = 12;

/// A replica that crashed while it ran a request with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// Crashes and answers of one part, as gossiped between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The part.
    pub part: Feature,
    /// Other features that all requests with these crashes had in common, in order.
    pub common: Vec<Feature>,
    /// Crashes that no answer or other evidence has cleared.
    pub crashes: Vec<Crash>,
    /// Time since the start of its last complete answer, in milliseconds; `None` if there was none
    /// lately.
    pub answered_ms: Option<u64>,
}

/// Start or end of the quarantine of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The part.
    pub part: Feature,
    /// Whether the quarantine starts.
    pub quarantined: bool,
    /// Replicas that crashed, in the order of the crashes.
    pub replicas: Vec<Digest>,
    /// Features that a request must have besides the part to be refused.
    pub common: Vec<Feature>,
}

/// A crash of one replica.
type Known = (Time, Digest);

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes in the order of time.
    crashes: Vec<Known>,
    common: Vec<Feature>,
    /// Start of the last complete answer.
    answered: Option<Time>,
    /// Time of the last change that others must hear of.
    changed: Time,
}

impl Suspect {
    fn has(&self, (at, replica): Known) -> bool {
        self.crashes.iter().any(|(known, r)| *r == replica && is_same(*known, at))
    }

    /// Adds a crash of a request with the other features `common`; `true` if this changes anything.
    fn add_crash(&mut self, (at, replica): Known, common: &[Feature]) -> bool {
        let is_first = self.crashes.is_empty();
        let before = self.common.len();
        match is_first {
            true => self.common = common.to_vec(),
            false => self.common.retain(|feature| common.contains(feature)),
        }
        let known = self.crashes.iter_mut().find(|(t, r)| *r == replica && is_same(*t, at));
        let is_new = known.is_none();
        match known {
            Some((t, _)) => *t = at.min(*t),
            None => self.crashes.push((at, replica)),
        }
        self.crashes.sort_unstable();
        // The first ones stay, since the threshold and the time to later ones depend on them.
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(MAX_CRASHES / 2);
        }
        is_new || self.common.len() < before
    }

    /// Removes the crashes for which `is_refuted`; `true` if there were any.
    fn remove_crashes(&mut self, is_refuted: impl Fn(Known) -> bool) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| !is_refuted(*crash));
        if self.crashes.is_empty() {
            self.common.clear();
        }
        self.crashes.len() < before
    }

    /// Adds a complete answer that began at `at`; `true` if it clears a crash.
    fn add_answer(&mut self, at: Time) -> bool {
        self.answered = self.answered.max(Some(at));
        self.remove_crashes(|(crashed, _)| crashed < at)
    }

    /// Time of the crash that reached the threshold, if one did.
    fn reached(&self) -> Option<Time> {
        let mut moments = 0;
        let mut start: Option<Time> = None;
        for (at, _) in &self.crashes {
            if start.is_none_or(|start| at.since(start) > MOMENT) {
                start = Some(*at);
                moments += 1;
            }
            if moments == CRASH_THRESHOLD {
                return Some(*at);
            }
        }
        None
    }

    /// Time from which on the crashes suffice for a quarantine.
    fn due(&self) -> Option<Time> {
        let settled = self.reached()? + SETTLE_TIME;
        let (first, _) = *self.crashes.first()?;
        if self.answered.is_none_or(|answered| answered >= first) {
            return Some(settled);
        }
        let (later, _) = *self.crashes.iter().find(|(at, _)| at.since(first) >= OUTAGE_TIME)?;
        Some(settled.max(later))
    }

    fn is_expired(&self, now: Time) -> bool {
        let last = self.crashes.last().map(|(at, _)| *at).max(self.answered);
        self.due().is_none() && last.is_none_or(|last| now.since(last) > RETENTION)
    }

    fn record(&self, now: Time, part: Feature) -> Record {
        let age = |at: Time| now.since(at).as_millis();
        let crashes =
            self.crashes.iter().map(|(at, replica)| Crash { replica: *replica, age_ms: age(*at) });
        Record {
            part,
            common: self.common.clone(),
            crashes: crashes.collect(),
            answered_ms: self.answered.map(age),
        }
    }
}

/// Crashes that quarantined parts explain.
#[derive(Debug, Default)]
pub struct Explained(Vec<Known>);

impl Explained {
    /// Whether a crash of a replica at this time is explained.
    pub fn contains(&self, replica: Digest, at: Time) -> bool {
        let is_at_once = |known: Time| known.since(at).max(at.since(known)) <= MOMENT;
        self.0.iter().any(|(known, r)| *r == replica && is_at_once(*known))
    }
}

/// Parts that crashed replicas, as known to this gateway.
#[derive(Debug, Default)]
pub struct Parts {
    suspects: BTreeMap<Feature, Suspect>,
    /// Start of the last complete answer of each part that was answered here lately, so that crashes
    /// from before it, which a peer or the store may bring again, do not count.
    answered: BTreeMap<Feature, Time>,
    /// Parts that were quarantined at the last reevaluation.
    last_quarantined: BTreeSet<Feature>,
}

impl Parts {
    /// Records that the connection to `replica` broke while a request with these features was
    /// running on it.
    pub fn record_crash(&mut self, now: Time, replica: Digest, context: &Context) {
        self.record_past_crash(now, now, replica, context);
    }

    /// The same for a crash at `at` that is only known now.
    pub fn record_past_crash(&mut self, now: Time, at: Time, replica: Digest, context: &Context) {
        for part in &context.parts {
            let answered = self.answered.get(part).copied();
            let suspect = self.suspects.entry(*part).or_default();
            suspect.answered = suspect.answered.max(answered);
            if suspect.add_crash((at, replica), &context.others(*part)) {
                suspect.changed = now;
            }
        }
    }

    /// Records a complete answer, which began at `began`, to a request with these parts.
    pub fn record_answer(&mut self, now: Time, began: Time, parts: &[Feature]) {
        for part in parts {
            if self.answered.len() < MAX_ANSWERED || self.answered.contains_key(part) {
                let last = self.answered.entry(*part).or_insert(began);
                *last = began.max(*last);
            }
            if let Some(suspect) = self.suspects.get_mut(part)
                && suspect.add_answer(began)
            {
                suspect.changed = now;
            }
        }
    }

    /// Removes a crash at `at` that a replica survived until `alive`.
    pub fn remove_crash(&mut self, replica: Digest, at: Time, alive: Time) {
        let is_refuted =
            |(crashed, r): Known| r == replica && is_same(crashed, at) && crashed < alive;
        for suspect in self.suspects.values_mut() {
            suspect.remove_crashes(is_refuted);
        }
    }

    /// Withdraws all crashes later than `since`.
    pub fn withdraw_crashes(&mut self, since: Time) {
        for suspect in self.suspects.values_mut() {
            suspect.remove_crashes(|(crashed, _)| crashed > since);
        }
    }

    /// Merges records of a peer or of the store. `has_survived` returns whether a replica survived a
    /// supposed crash.
    pub fn merge(
        &mut self,
        now: Time,
        records: &[Record],
        has_survived: impl Fn(Digest, Time) -> bool,
    ) {
        for record in records {
            let at = |age_ms: u64| now - Span::millis(age_ms);
            let stated = record.answered_ms.map(at);
            let known = self.answered_since(record.part);
            let suspect = self.suspects.entry(record.part).or_default();
            let mut changed = stated.is_some_and(|answered| suspect.add_answer(answered));
            suspect.answered = suspect.answered.max(known);
            for crash in record.crashes.iter().take(MAX_CRASHES) {
                let crashed = at(crash.age_ms);
                if has_survived(crash.replica, crashed) || stated > Some(crashed) {
                    continue;
                }
                // The sender does not know of the answer that cleared this crash.
                if known > Some(crashed) {
                    changed = true;
                    continue;
                }
                changed |= suspect.add_crash((crashed, crash.replica), &record.common);
            }
            if changed {
                suspect.changed = now;
            }
            if suspect.is_expired(now) {
                self.suspects.remove(&record.part);
            }
        }
    }

    /// Records to gossip: recently changed ones, those with the most crashes first, and one of an older
    /// quarantine at random, for gateways that started while the store was out. Among equals the
    /// choice is random: in a storm of crashes the cause's first record would otherwise never be sent.
    pub fn gossip(&self, now: Time, rng: &mut impl Rng) -> Vec<Record> {
        let is_recent = |suspect: &Suspect| now.since(suspect.changed) < GOSSIP_PERIOD;
        let (mut recent, old): (Vec<_>, Vec<_>) =
            self.suspects.iter().partition(|(_, suspect)| is_recent(suspect));
        recent.shuffle(rng);
        recent.sort_by_key(|(_, suspect)| Reverse(suspect.crashes.len()));
        recent.truncate(MAX_GOSSIP_RECORDS);
        recent.extend(old.into_iter().filter(|(_, s)| s.due().is_some()).choose(rng));
        recent.into_iter().map(|(part, suspect)| suspect.record(now, *part)).collect()
    }

    /// The quarantined part because of which a request with these features is refused, if there is
    /// one.
    pub fn find_quarantined(&self, now: Time, context: &Context) -> Option<Feature> {
        if self.suspects.is_empty() {
            return None;
        }
        let is_refused = |part: &Feature| {
            self.required(now, *part).is_some_and(|mut all| all.all(|f| context.contains(f)))
        };
        context.parts.iter().copied().find(is_refused)
    }

    /// Records that must outlast this process: those of quarantined parts.
    pub fn durable_records(&self, now: Time) -> Vec<Record> {
        let quarantined = self.suspects.iter().filter(|(part, _)| self.is_quarantined(now, **part));
        quarantined.map(|(part, suspect)| suspect.record(now, *part)).collect()
    }

    /// Whether a complete answer began after each crash of a record.
    pub fn is_obsolete(&self, now: Time, record: &Record) -> bool {
        let answered = self.answered_since(record.part);
        record.crashes.iter().all(|crash| answered > Some(now - Span::millis(crash.age_ms)))
    }

    /// Crashes of the quarantined parts, which say nothing about the other requests that ran on these
    /// replicas. A quarantine of a single request explains nothing: it is lifted when another request
    /// with the part is answered.
    pub fn explained(&self, now: Time) -> Explained {
        let is_cause = |(part, suspect): &(&Feature, &Suspect)| {
            !suspect.common.iter().any(|feature| feature.is_request())
                && self.is_quarantined(now, **part)
        };
        let causes = self.suspects.iter().filter(is_cause);
        Explained(causes.flat_map(|(_, suspect)| suspect.crashes.iter().copied()).collect())
    }

    /// Whether a replica is known to have crashed about this time.
    pub fn has_crash(&self, replica: Digest, at: Time) -> bool {
        self.suspects.values().any(|suspect| suspect.has((at, replica)))
    }

    /// Number of tracked parts.
    pub fn tracked_count(&self) -> usize {
        self.suspects.len()
    }

    /// Number of quarantined parts.
    pub fn quarantined_count(&self, now: Time) -> usize {
        self.suspects.keys().filter(|part| self.is_quarantined(now, **part)).count()
    }

    /// Removes what is too old or too much, and returns the quarantines that started or ended since
    /// the last call.
    pub fn reevaluate(&mut self, now: Time) -> Vec<Transition> {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        self.answered.retain(|_, at| now.since(*at) < RETENTION);
        self.evict_excess();
        let parts = self.suspects.keys().copied();
        let quarantined: BTreeSet<Feature> =
            parts.filter(|part| self.is_quarantined(now, *part)).collect();
        let changed = quarantined.symmetric_difference(&self.last_quarantined);
        let transitions = changed.map(|part| self.transition(*part, quarantined.contains(part)));
        let transitions = transitions.collect();
        self.last_quarantined = quarantined;
        transitions
    }

    fn transition(&self, part: Feature, quarantined: bool) -> Transition {
        let suspect = self.suspects.get(&part);
        let crashes = suspect.into_iter().flat_map(|suspect| &suspect.crashes);
        Transition {
            part,
            quarantined,
            replicas: crashes.map(|(_, replica)| *replica).collect(),
            common: suspect.map_or_else(Vec::new, |suspect| suspect.common.clone()),
        }
    }

    /// Removes the parts with the fewest crashes beyond [`MAX_PARTS`], and the oldest answers beyond
    /// three quarters of [`MAX_ANSWERED`], so that there is room for new ones.
    fn evict_excess(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_PARTS);
        if excess > 0 {
            let order = |(part, s): (&Feature, &Suspect)| (s.crashes.len(), s.changed, *part);
            let mut all: Vec<_> = self.suspects.iter().map(order).collect();
            all.sort_unstable();
            for (_, _, part) in all.into_iter().take(excess) {
                self.suspects.remove(&part);
            }
        }
        let excess = self.answered.len().saturating_sub(MAX_ANSWERED / 4 * 3);
        if excess > 0 {
            let mut all: Vec<(Time, Feature)> =
                self.answered.iter().map(|(p, at)| (*at, *p)).collect();
            all.sort_unstable();
            for (_, part) in all.into_iter().take(excess) {
                self.answered.remove(&part);
            }
        }
    }

    fn is_quarantined(&self, now: Time, part: Feature) -> bool {
        self.required(now, part).is_some()
    }

    /// The features that a request with this part must also have to be refused; `None` if the part
    /// is not quarantined.
    fn required(&self, now: Time, part: Feature) -> Option<impl Iterator<Item = Feature>> {
        let suspect = self.suspects.get(&part)?;
        if now < suspect.due()? || self.is_explained(part, suspect) {
            return None;
        }
        let (first, _) = *suspect.crashes.first()?;
        let is_sound = move |feature: &Feature| self.answered_since(*feature) > Some(first);
        Some(suspect.common.iter().copied().filter(move |feature| !is_sound(feature)))
    }

    /// Start of the last complete answer of a part, as far as this gateway knows.
    fn answered_since(&self, part: Feature) -> Option<Time> {
        let gossiped = self.suspects.get(&part).and_then(|suspect| suspect.answered);
        self.answered.get(&part).copied().max(gossiped)
    }

    /// Whether other parts explain all crashes of a part: parts with more crashes, and narrower parts,
    /// whose crashed requests all had this one too while the reverse does not hold.
    fn is_explained(&self, part: Feature, suspect: &Suspect) -> bool {
        let is_cause = |(other, cause): &(&Feature, &Suspect)| {
            let is_narrower = cause.common.contains(&part);
            let has_more = cause.crashes.len() > suspect.crashes.len();
            **other != part
                && (is_narrower || has_more)
                && !suspect.common.contains(other)
                && cause.reached().is_some()
        };
        let shared = |cause: &Suspect| suspect.crashes.iter().filter(|c| cause.has(**c)).count();
        let causes = self.suspects.iter().filter(is_cause).map(|(_, cause)| cause);
        let causes: Vec<&Suspect> = causes.filter(|cause| shared(cause) >= MIN_SHARED).collect();
        suspect.crashes.iter().all(|crash| causes.iter().any(|cause| cause.has(*crash)))
    }
}
