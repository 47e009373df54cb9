//! Poison requests, which crash the replicas that run them: records crashes and refuses quarantined
//! requests.
//!
//! Requests are identified by fingerprint; see [`crate::gateway::quarantine`].

use std::collections::BTreeMap;

use super::Gateway;
use super::Grant;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::fleet::Claim;
use crate::gateway::quarantine::Connection;
use crate::gateway::quarantine::Record;
use crate::gateway::quarantine::Refutation;
use crate::gateway::quarantine::Transition;
use crate::gateway::refusal::Reason;
use crate::gateway::refusal::Refusal;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Upper bound on the quarantine records in the store, which gateways load at their start.
const MAX_STORED: usize = 64;

/// Time after which a caller retries whose prompt has a quarantined part. The quarantine has no end
/// of its own; an operator may have ended it by then.
const RETRY_PART: Span = Span::secs(600);

/// Time for which this gateway remembers the crashes that it recorded itself.
const OWN_CRASH_RETENTION: Span = Span::secs(5);

/// A crash that this gateway recorded.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    at: Time,
    service: String,
    fingerprint: Fingerprint,
    replica: Digest,
}

impl Gateway {
    /// Records that the connection to a replica broke while it ran a request.
    ///
    /// While this gateway has lost its links to the replica's service, this says nothing about the
    /// request; a service that is only out of reach may have been crashed by it. The same holds while
    /// this gateway is isolated: replicas that have left are still in its list.
    pub fn record_crash(&mut self, now: Time, grant: &Grant, claim: &Claim) {
        self.fleet.record_broken(now, claim.replica);
        self.withdraw_unheard_crashes(now);
        if self.isolated_since(now).is_some() {
            return;
        }
        self.record_part_crash(now, grant, claim);
        let Some(fingerprint) = grant.fingerprint else {
            return;
        };
        if self.has_lost_links(&grant.service) {
            return;
        }
        self.own_crashes.retain(|crash| now.since(crash.at) < OWN_CRASH_RETENTION);
        let (service, replica) = (grant.service.clone(), claim.incarnation);
        self.own_crashes.push(Crash { at: now, service, fingerprint, replica });
        let opened = claim.connected.unwrap_or(claim.sent);
        let connection = Connection { replica, opened };
        match claim.first_event_seen {
            true => {
                let began = claim.first_event;
                self.quarantine.record_interruption(now, fingerprint, connection, began);
            }
            false => self.quarantine.record_crash(now, fingerprint, connection),
        }
    }

    /// Withdraws the crashes that this gateway recorded since `since`, only those of `service` if it
    /// is given: its links broke then, and requests that were running on them would be quarantined at
    /// all gateways.
    pub(super) fn withdraw_crashes(&mut self, since: Time, service: Option<&str>) {
        let is_withdrawn = |crash: &Crash| {
            crash.at >= since && service.is_none_or(|service| crash.service == service)
        };
        let (withdrawn, kept): (Vec<Crash>, Vec<Crash>) =
            self.own_crashes.drain(..).partition(is_withdrawn);
        self.own_crashes = kept;
        for crash in withdrawn {
            self.quarantine.withdraw_crash(crash.fingerprint, crash.replica);
        }
    }

    /// Records that a replica answered a request completely, from `began` on.
    pub fn record_answer(&mut self, now: Time, began: Time, grant: &Grant) {
        if let Some(fingerprint) = grant.fingerprint {
            self.quarantine.record_answer(now, fingerprint);
        }
        self.parts.record_answer(now, began, &grant.parts);
    }

    /// Checks that a request is not quarantined.
    ///
    /// # Errors
    ///
    /// The refusal to answer the caller with.
    pub(super) fn check_quarantine(&self, now: Time, grant: &Grant) -> Result<(), Refusal> {
        let remaining =
            grant.fingerprint.and_then(|fingerprint| self.quarantine.remaining(now, fingerprint));
        if let Some(remaining) = remaining {
            return Err(Refusal::not_run(Reason::Quarantined, remaining));
        }
        match self.quarantined_part(now, grant) {
            Some(_) => Err(Refusal::not_run(Reason::PartQuarantined, RETRY_PART)),
            None => Ok(()),
        }
    }

    /// Reevaluates the quarantine; returns the fingerprints that entered or left it since the last
    /// call.
    pub fn reevaluate_quarantine(&mut self, now: Time) -> Vec<Transition> {
        let (explained, survivals) = (self.parts.explained(now), &self.survivals);
        self.quarantine.reevaluate(now, |replica, at| {
            let survived = survivals.has_survived(replica, at).then_some(Refutation::Survived);
            let is_explained = || explained.contains(replica, at);
            survived.or_else(|| is_explained().then_some(Refutation::PartExplains))
        })
    }

    /// Number of quarantined fingerprints.
    pub fn fingerprints_quarantined(&self, now: Time) -> usize {
        self.quarantine.quarantined_count(now)
    }

    /// Merges the quarantine records that were read from the store.
    pub fn restore_quarantine(&mut self, now: Time, records: &[Record]) {
        self.merge_requests(now, records);
    }

    /// Records to write to the store, or `None` if the stored ones are up to date.
    ///
    /// A stored record is kept until it is obsolete, also if this gateway saw none of its crashes.
    /// Otherwise gateways with different observations would overwrite each other in turn.
    pub fn quarantine_to_store(&self, now: Time, stored: &[Record]) -> Option<Vec<Record>> {
        let current = stored.iter().filter(|record| !self.quarantine.is_obsolete(now, record));
        let mut merged: BTreeMap<Fingerprint, Record> =
            current.map(|r| (r.fingerprint, r.clone())).collect();
        for own in self.quarantine.durable_records(now) {
            if merged
                .get(&own.fingerprint)
                .is_none_or(|known| known.crashes.len() < own.crashes.len())
            {
                merged.insert(own.fingerprint, own);
            }
        }
        let mut records: Vec<Record> = merged.into_values().collect();
        records.sort_by_key(|record| record.crashes.iter().map(|crash| crash.age_ms).min());
        records.truncate(MAX_STORED);
        let is_stored = |record: &Record| {
            stored.iter().any(|s| {
                s.fingerprint == record.fingerprint && s.crashes.len() == record.crashes.len()
            })
        };
        let up_to_date = records.len() == stored.len() && records.iter().all(is_stored);
        (!up_to_date).then_some(records)
    }
}
