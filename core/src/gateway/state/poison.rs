//! Requests that crash replicas: recording crashes, and refusing quarantined requests.

use std::collections::BTreeMap;

use super::Gateway;
use super::Grant;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::fleet::Claim;
use crate::gateway::quarantine::Record;
use crate::gateway::quarantine::Transition;
use crate::gateway::refusal::Reason;
use crate::gateway::refusal::Refusal;
use crate::time::Time;

/// Upper bound on records stored for gateways that start.
const MAX_STORED: usize = 64;

impl Gateway {
    /// Records that the connection broke on which a replica ran a request.
    pub fn record_crash(&mut self, now: Time, grant: &Grant, claim: &Claim) {
        if let Some(fingerprint) = grant.fingerprint {
            self.quarantine.record_crash(now, fingerprint, claim.incarnation);
        }
    }

    /// Records a complete answer.
    pub fn record_answer(&mut self, now: Time, grant: &Grant) {
        if let Some(fingerprint) = grant.fingerprint {
            self.quarantine.record_answer(now, fingerprint);
        }
    }

    /// Refuses a request that is quarantined.
    pub(super) fn may_send(&self, now: Time, grant: &Grant) -> Result<(), Refusal> {
        let remaining =
            grant.fingerprint.and_then(|fingerprint| self.quarantine.remaining(now, fingerprint));
        match remaining {
            Some(rest) => Err(Refusal::not_run(Reason::Quarantined, rest)),
            None => Ok(()),
        }
    }

    /// Reevaluates the quarantine; returns the verdicts that changed since the last call.
    pub fn reevaluate_quarantine(&mut self, now: Time) -> Vec<Transition> {
        let fleet = &self.fleet;
        self.quarantine.reevaluate(now, |replica, at| fleet.active_since(replica, at))
    }

    /// Number of quarantined fingerprints.
    pub fn fingerprints_quarantined(&self, now: Time) -> usize {
        self.quarantine.quarantined_count(now)
    }

    /// Merges the records that the store holds.
    pub fn restore_quarantine(&mut self, now: Time, records: &[Record]) {
        self.quarantine.merge(now, records);
    }

    /// Records to store, if the stored ones are out of date.
    ///
    /// A stored record stays until it is obsolete, whatever this gateway makes of it; gateways that saw
    /// different things would otherwise overwrite each other in turn.
    pub fn quarantine_to_store(&self, now: Time, stored: &[Record]) -> Option<Vec<Record>> {
        let persistent = stored.iter().filter(|record| !self.quarantine.is_obsolete(now, record));
        let mut all: BTreeMap<Fingerprint, Record> =
            persistent.map(|r| (r.fingerprint, r.clone())).collect();
        for own in self.quarantine.durable_records(now) {
            if all.get(&own.fingerprint).is_none_or(|known| known.crashes.len() < own.crashes.len())
            {
                all.insert(own.fingerprint, own);
            }
        }
        let mut kept: Vec<Record> = all.into_values().collect();
        kept.sort_by_key(|record| record.crashes.iter().map(|crash| crash.age_ms).min());
        kept.truncate(MAX_STORED);
        let is_stored = |record: &Record| {
            stored.iter().any(|s| {
                s.fingerprint == record.fingerprint && s.crashes.len() == record.crashes.len()
            })
        };
        let same = kept.len() == stored.len() && kept.iter().all(is_stored);
        (!same).then_some(kept)
    }
}
