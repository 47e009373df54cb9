//! A gateway as one that notes under which contents replicas end, and sends none that is held back.

use std::collections::BTreeMap;

use super::Gateway;
use super::Grant;
use crate::gateway::content::Content;
use crate::gateway::fleet::Claim;
use crate::gateway::quarantine::Record;
use crate::gateway::quarantine::Verdict;
use crate::gateway::refusal::Reason;
use crate::gateway::refusal::Refusal;
use crate::time::Time;

/// Contents that the store keeps for gateways that start: the newest, in an item of some 20 KB.
const MOST_KEPT: usize = 64;

impl Gateway {
    /// Notes that the connection broke on which a replica ran a call.
    pub fn broke(&mut self, now: Time, grant: &Grant, claim: &Claim) {
        if let Some(content) = grant.content {
            self.quarantine.broke(now, content, claim.run);
        }
    }

    /// Notes that a replica has answered a call whole.
    pub fn answered(&mut self, now: Time, grant: &Grant) {
        if let Some(content) = grant.content {
            self.quarantine.answered(now, content);
        }
    }

    /// Whether a call may be sent to a replica, by what became of those that ran its content before.
    pub(super) fn may_send(&self, now: Time, grant: &Grant) -> Result<(), Refusal> {
        let held = grant.content.and_then(|content| self.quarantine.holds(now, content));
        match held {
            Some(rest) => Err(Refusal::not_run(Reason::Quarantined, rest)),
            None => Ok(()),
        }
    }

    /// Looks at all contents under which replicas ended once more; returns the verdicts that have
    /// changed since the last look.
    pub fn reconsider(&mut self, now: Time) -> Vec<Verdict> {
        let fleet = &self.fleet;
        self.quarantine.reconsider(now, |replica, at| fleet.heard_since(replica, at))
    }

    /// Contents that are held back.
    pub fn contents_held(&self, now: Time) -> usize {
        self.quarantine.held(now)
    }

    /// Takes in what the store holds of contents under which replicas ended.
    pub fn recall(&mut self, now: Time, records: &[Record]) {
        self.quarantine.hear(now, records);
    }

    /// What the store has to hold of contents under which replicas ended, if it is not what it holds.
    ///
    /// What it holds stays until the content is answered, whatever this gateway makes of it: gateways
    /// that saw different things would otherwise write in turn.
    pub fn to_keep(&self, now: Time, stored: &[Record]) -> Option<Vec<Record>> {
        let lasting = stored.iter().filter(|record| !self.quarantine.is_over(now, record));
        let mut all: BTreeMap<Content, Record> = lasting.map(|r| (r.content, r.clone())).collect();
        for own in self.quarantine.lasting(now) {
            if all.get(&own.content).is_none_or(|known| known.ends.len() < own.ends.len()) {
                all.insert(own.content, own);
            }
        }
        let mut kept: Vec<Record> = all.into_values().collect();
        kept.sort_by_key(|record| record.ends.iter().map(|end| end.age_ms).min());
        kept.truncate(MOST_KEPT);
        let is_stored = |record: &Record| {
            stored.iter().any(|s| s.content == record.content && s.ends.len() == record.ends.len())
        };
        let same = kept.len() == stored.len() && kept.iter().all(is_stored);
        (!same).then_some(kept)
    }
}
