//! Parts of prompts that crash replicas: charges crashes to them and finds quarantined ones.
//!
//! See [`crate::gateway::quarantine::part`].

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Gateway;
use super::Grant;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::fleet::Claim;
use crate::gateway::fleet::Presence;
use crate::gateway::quarantine;
use crate::gateway::quarantine::Connection;
use crate::gateway::quarantine::LIVENESS_DELAY;
use crate::gateway::quarantine::feature::Context;
use crate::gateway::quarantine::feature::Feature;
use crate::gateway::quarantine::part::Record;
use crate::gateway::quarantine::part::Transition;
use crate::gateway::quarantine::survival;
use crate::gateway::quarantine::survival::Survival;
use crate::gateway::quarantine::unframed::Answer;
use crate::gateway::quarantine::unframed::MAX_LEASE;
use crate::gateway::quarantine::unframed::Verdict;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Upper bound on the parts in the store, which gateways load at their start.
const MAX_STORED: usize = 64;

/// Time from the first event of an answer in which a part of its prompt crashes the replica.
const MAX_TIME_TO_CRASH: Span = Span::secs(1);

/// Time after the start within which a gateway learns of the others, which may start with it.
const ANNOUNCEMENT_TIME: Span = Span::secs(10);

/// What gateways tell each other of parts that crash replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// Parts with recent crashes or answers.
    pub parts: Vec<Record>,
    /// Supposed crashes that the replicas survived.
    pub survivals: Vec<Survival>,
}

impl Crashes {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.survivals.is_empty()
    }
}

impl Gateway {
    /// Charges the crash of a replica to the parts of a request that it ran.
    ///
    /// This also holds while the replica's service seems out of reach: most of it may be down because
    /// of such a part. Links that break at once are a single moment with crashes. A request that the
    /// replica had been answering for some time has not crashed it.
    pub(super) fn record_part_crash(&mut self, now: Time, grant: &Grant, claim: &Claim) {
        self.survivals.watch(claim.incarnation, now);
        if claim.first_event_seen && now.since(claim.first_event) >= MAX_TIME_TO_CRASH {
            return;
        }
        self.parts.record_crash(now, claim.incarnation, &context(grant));
    }

    /// Records that the store or another gateway was heard at `now`.
    pub fn record_contact(&mut self, now: Time) {
        self.withdraw_unheard_crashes(now);
        self.contact.record(now);
    }

    /// Time of the last contact, if this gateway is isolated. A single gateway is not.
    pub(super) fn isolated_since(&self, now: Time) -> Option<Time> {
        self.contact.lost_since(now).filter(|last| !self.was_single(*last))
    }

    /// Whether this gateway knew of no others at its last contact, long enough after its start.
    fn was_single(&self, last: Time) -> bool {
        self.gateway_count() == 1 && last.since(self.started_at) >= ANNOUNCEMENT_TIME
    }

    /// Withdraws the crashes since the last contact if this gateway is isolated. It saw all of them
    /// itself.
    pub(super) fn withdraw_unheard_crashes(&mut self, now: Time) {
        if let Some(since) = self.isolated_since(now) {
            self.parts.withdraw_crashes(since);
            self.withdraw_crashes(since, None);
        }
    }

    /// Looks for evidence that a replica survived a supposed crash, when it sent data.
    pub(super) fn record_survival(&mut self, now: Time, claim: &Claim) {
        let opened = claim.connected.unwrap_or(claim.sent);
        // Data that waited to be read may be that of a replica which has crashed since, unless it
        // answers a call that was sent later.
        let has_waited = self.pulse.is_behind(now)
            || claim.paused.is_some_and(|end| now.since(end) < LIVENESS_DELAY);
        let alive = if has_waited { claim.sent } else { survival::alive_until(now, claim.sent) };
        let refuted = self.survivals.observe(now, claim.incarnation, opened, alive);
        if let Some((at, alive)) = refuted {
            self.parts.remove_crash(claim.incarnation, at, alive);
        }
        let complete = self.unframed.observe(claim.incarnation, opened, alive);
        complete.iter().for_each(|answer| self.record_complete(now, answer));
        // The replicas of these runs live.
        self.abandoned.observe(claim.incarnation, opened, alive);
    }

    /// Records an answer without a length that ended with its connection, as it would after a crash.
    pub fn record_unframed(&mut self, now: Time, began: Time, grant: &Grant, claim: &Claim) {
        self.unframed.add(Answer {
            replica: claim.incarnation,
            opened: claim.connected.unwrap_or(claim.sent),
            began,
            ended: now,
            fingerprint: grant.fingerprint,
            context: context(grant),
        });
    }

    /// Records that an attempt was given up while a replica may have been running the request: its
    /// caller left, or the replica sent nothing for too long. A crash soon after is one of the request.
    pub fn record_abandoned(&mut self, now: Time, fingerprint: Option<Fingerprint>, claim: &Claim) {
        if fingerprint.is_some() {
            self.abandoned.add(Answer {
                replica: claim.incarnation,
                opened: claim.connected.unwrap_or(claim.sent),
                began: now,
                ended: now,
                fingerprint,
                context: Context::default(),
            });
        }
    }

    fn record_complete(&mut self, now: Time, answer: &Answer) {
        if let Some(fingerprint) = answer.fingerprint {
            self.quarantine.record_answer(now, fingerprint);
        }
        self.parts.record_answer(now, answer.began, &answer.context.parts);
    }

    /// Decides on answers that ended with their connections, once their verdicts are known.
    fn decide_unframed(&mut self, now: Time) {
        if self.isolated_since(now).is_some() {
            return;
        }
        let mut unframed = std::mem::take(&mut self.unframed);
        let decided = unframed.decide(now, |answer| self.judge_unframed(now, answer));
        self.unframed = unframed;
        let mut abandoned = std::mem::take(&mut self.abandoned);
        let ended = abandoned.decide(now, |run| self.judge_unframed(now, run));
        self.abandoned = abandoned;
        for (run, _) in ended.iter().filter(|(_, verdict)| *verdict != Verdict::Complete) {
            if let Some(fingerprint) = run.fingerprint {
                let connection = Connection { replica: run.replica, opened: run.opened };
                self.quarantine.record_past_crash(now, run.ended, fingerprint, connection);
            }
        }
        for (answer, verdict) in decided {
            if verdict == Verdict::Complete {
                self.record_complete(now, &answer);
                continue;
            }
            let (replica, ended) = (answer.replica, answer.ended);
            if verdict == Verdict::Crashed {
                self.parts.record_past_crash(now, ended, replica, &answer.context);
            }
            if let Some(fingerprint) = answer.fingerprint {
                let connection = Connection { replica, opened: answer.opened };
                self.quarantine.record_interruption(ended, fingerprint, connection, answer.began);
            }
        }
    }

    fn judge_unframed(&self, now: Time, answer: &Answer) -> Option<Verdict> {
        let (replica, ended) = (answer.replica, answer.ended);
        if now.since(ended) < MAX_LEASE {
            return None;
        }
        if self.parts.has_crash(replica, ended) || self.quarantine.has_crash(replica, ended) {
            return Some(Verdict::Crashed);
        }
        if self.proved_at().is_none_or(|read| read < ended + MAX_LEASE) {
            return None;
        }
        match self.fleet.presence(replica) {
            Presence::Listed => Some(Verdict::Complete),
            Presence::Gone => Some(Verdict::Gone),
            Presence::Unknown => None,
        }
    }

    /// The quarantined part because of which a call is refused, if there is one.
    pub fn quarantined_part(&self, now: Time, grant: &Grant) -> Option<Feature> {
        if grant.parts.is_empty() || self.parts.tracked_count() == 0 {
            return None;
        }
        self.parts.find_quarantined(now, &context(grant))
    }

    /// Crashes of parts to gossip.
    pub fn gossip_crashes(&mut self, now: Time) -> Crashes {
        let parts = self.parts.gossip(now, &mut self.rng);
        Crashes { parts, survivals: self.survivals.gossip(now) }
    }

    /// Merges what another gateway knows of crashes.
    pub fn receive_crashes(&mut self, now: Time, crashes: &Crashes) {
        if self.pulse.is_behind(now) {
            return;
        }
        for survival in &crashes.survivals {
            if let Some((at, alive)) = self.survivals.merge(now, survival) {
                self.parts.remove_crash(survival.replica, at, alive);
            }
        }
        self.restore_parts(now, &crashes.parts);
    }

    /// Merges the records that were read from the store.
    pub fn restore_parts(&mut self, now: Time, records: &[Record]) {
        // Crashes that others saw during an isolation are not withdrawn.
        self.record_contact(now);
        for record in records {
            self.watch(now, record.crashes.iter().map(|crash| (crash.replica, crash.age_ms)));
        }
        let survivals = &self.survivals;
        self.parts.merge(now, records, |replica, at| survivals.has_survived(replica, at));
    }

    /// Looks for evidence that replicas survived crashes of these ages, in milliseconds.
    fn watch(&mut self, now: Time, crashes: impl Iterator<Item = (Digest, u64)>) {
        for (replica, age_ms) in crashes {
            self.survivals.watch(replica, now - Span::millis(age_ms));
        }
    }

    /// Merges what another gateway, or the store, knows of crashing requests.
    pub(super) fn merge_requests(&mut self, now: Time, records: &[quarantine::Record]) {
        for record in records {
            self.watch(now, record.crashes.iter().map(|crash| (crash.replica, crash.age_ms)));
        }
        self.quarantine.merge(now, records);
    }

    /// Reevaluates the quarantine of parts; returns those that entered or left it since the last
    /// call.
    pub fn reevaluate_parts(&mut self, now: Time) -> Vec<Transition> {
        self.survivals.sweep(now);
        self.withdraw_unheard_crashes(now);
        self.decide_unframed(now);
        self.parts.reevaluate(now)
    }

    /// Number of quarantined parts.
    pub fn parts_quarantined(&self, now: Time) -> usize {
        self.parts.quarantined_count(now)
    }

    /// Records of parts to write to the store, or `None` if the stored ones are up to date. As for
    /// requests, a stored record is kept until it is obsolete.
    pub fn parts_to_store(&self, now: Time, stored: &[Record]) -> Option<Vec<Record>> {
        let current = stored.iter().filter(|record| !self.parts.is_obsolete(now, record));
        let mut merged: BTreeMap<Feature, Record> =
            current.map(|record| (record.part, record.clone())).collect();
        for own in self.parts.durable_records(now) {
            if merged.get(&own.part).is_none_or(|known| is_wider(&own, known)) {
                merged.insert(own.part, own);
            }
        }
        let mut records: Vec<Record> = merged.into_values().collect();
        records.sort_by_key(|record| record.crashes.iter().map(|crash| crash.age_ms).min());
        records.truncate(MAX_STORED);
        let is_stored =
            |record: &Record| stored.iter().any(|s| s.part == record.part && !is_wider(record, s));
        let up_to_date = records.len() == stored.len() && records.iter().all(is_stored);
        (!up_to_date).then_some(records)
    }
}

/// Whether a record has more crashes or fewer common features than another one of the same part.
fn is_wider(record: &Record, known: &Record) -> bool {
    record.crashes.len() > known.crashes.len() || record.common.len() < known.common.len()
}

/// Features of the request of a call.
fn context(grant: &Grant) -> Context {
    Context::new(grant.parts.clone(), grant.organisation.as_deref(), grant.fingerprint)
}
