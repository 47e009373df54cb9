//! Evidence of which incarnation of a replica a connection leads to.
//!
//! A replica may start again under its id and address, with another build. Its new entry is listed
//! only some time later, and until then connections lead to a process that the list does not show. A
//! connection surely leads to the listed incarnation if that incarnation is shown to have run after
//! the connection was opened. Evidence of this is a list that still has the entry when that of a
//! successor would have been written, a response or data on a connection that is itself known to lead
//! there, and the start of its process that the replica states.

use std::collections::BTreeMap;

use super::Claim;
use super::Fleet;
use super::Replica;
use crate::arena::Key;
use crate::gateway::origin::Origin;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Longest time from the start of a replica until its entry is in the store: an interval between
/// heartbeats and a half. With a shorter one, streams are joined from two builds after upgrades in
/// place; with a longer one, callers wait longer for streams that are resumed.
const ENTRY_DELAY: Span = Span::millis(1_800);
/// Time between two proofs of the list from which on replicas may have been unable to write their entries.
/// Busy gateways are later than half of this with some reads; streams would be given up after each.
const MAX_PROOF_GAP: Span = Span::secs(2);
/// Time after an outage of the store in which replicas write the entries that they could not write.
const OUTAGE_RECOVERY: Span = Span::secs(2);
/// Longest time that data of a replica is on its way. With a shorter one, data of a replica that has
/// crashed confirms connections to its successor.
const MAX_DATA_DELAY: Span = Span::millis(250);
/// Time for which it is remembered that incarnations were succeeded; longer than any stream lasts.
const SUCCESSION_LIFETIME: Span = Span::secs(600);

/// Proofs that the list of replicas was current.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Proofs {
    /// Newest one.
    last: Option<Time>,
    /// End of the time after an outage in which lists may lack new entries.
    recovered_at: Time,
    /// Newest one outside of such a time.
    settled: Time,
}

impl Proofs {
    /// Records that the list was current at `sent`.
    fn record(&mut self, sent: Time) {
        if self.last.is_none_or(|last| sent.since(last) > MAX_PROOF_GAP) {
            self.recovered_at = sent + OUTAGE_RECOVERY;
        }
        self.last = self.last.max(Some(sent));
        if sent >= self.recovered_at {
            self.settled = self.settled.max(sent);
        }
    }

    /// Time until which no incarnation had started that the list lacks.
    fn complete_until(&self) -> Time {
        self.settled - ENTRY_DELAY
    }
}

/// Incarnations that were listed under the ids of replicas, and those that have taken their places.
#[derive(Debug, Default)]
pub(super) struct Lineage {
    /// Incarnation that was last listed under an id.
    last: BTreeMap<String, Digest>,
    /// Times until which opened connections led to an incarnation, by the incarnation and the time when
    /// its successor, or an unreadable entry, was listed. Without stated starts incarnations may have
    /// the same digest.
    successions: BTreeMap<(Digest, Time), Time>,
}

/// How certain it is that a connection led to an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// It did.
    Certain,
    /// Later lists may show it.
    Pending,
    /// It may have led to a successor, and nothing will show it.
    Doubtful,
}

impl Fleet {
    /// Records that the current list was complete at `sent`.
    pub(in crate::gateway) fn record_proof(&mut self, sent: Time) {
        self.proofs.record(sent);
    }

    /// Whether the list shows all replicas that had started at `time`.
    pub fn is_listed_since(&self, time: Time) -> bool {
        time <= self.proofs.complete_until()
    }

    /// Records a response to an attempt. If the connection is known to lead to the incarnation, that
    /// was running when the attempt was sent.
    pub(in crate::gateway) fn record_response(&mut self, claim: &Claim) {
        if let Some(opened) = claim.connected {
            self.record_running(claim.replica, opened, claim.sent);
        }
    }

    /// Records data of an attempt which arrived after `waited_since`, when none had been there to read.
    pub(in crate::gateway) fn record_data(&mut self, claim: &Claim, waited_since: Time) {
        if let Some(opened) = claim.connected {
            self.record_running(claim.replica, opened, waited_since - MAX_DATA_DELAY);
        }
    }

    /// Records that a replica has stated the start of its process on a connection, in answer to a
    /// request that was sent at `asked`. Returns whether it is that of the listed incarnation.
    pub fn record_start(&mut self, key: Key<Replica>, start_ms: u64, asked: Time) -> bool {
        let Some(replica) = self.replicas.get_mut(key) else {
            return false;
        };
        let is_listed = replica.listing.incarnation.start_ms == Some(start_ms);
        if is_listed {
            replica.heard_at = replica.heard_at.max(asked);
        }
        is_listed
    }

    /// Records that a replica's report does not state the start of its process.
    pub fn record_unstated_start(&mut self, key: Key<Replica>) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.hides_start = true;
        }
    }

    /// Whether a replica may state the start of its process, if it is asked.
    pub fn may_state_start(&self, key: Key<Replica>) -> bool {
        self.get(key).is_some_and(|replica| {
            replica.listing.incarnation.start_ms.is_some() && !replica.hides_start
        })
    }

    fn record_running(&mut self, key: Key<Replica>, opened: Time, at: Time) {
        let is_confirmed = self.leads_to(key, opened);
        if let Some(replica) = self.replicas.get_mut(key).filter(|_| is_confirmed) {
            replica.heard_at = replica.heard_at.max(at);
        }
    }

    /// Whether a connection to the address of a replica that was opened at `opened` surely leads to the
    /// listed incarnation.
    pub fn leads_to(&self, key: Key<Replica>, opened: Time) -> bool {
        self.get(key)
            .filter(|replica| !replica.retained && !replica.closed)
            .is_some_and(|replica| opened <= self.confirmed_until(replica.digest()))
    }

    /// How certain it is that a connection which was opened at `opened`, or before, led to the replica
    /// of an origin.
    pub fn certainty(&self, origin: Origin, opened: Time) -> Certainty {
        let incarnation = origin.replica;
        let certain_or = |is_certain, otherwise| match is_certain {
            true => Certainty::Certain,
            false => otherwise,
        };
        let mut successions = self.lineage.successions.range((incarnation, opened)..);
        if let Some(((succeeded, _), confirmed_until)) = successions.next()
            && *succeeded == incarnation
        {
            return certain_or(opened <= *confirmed_until, Certainty::Doubtful);
        }
        let Some(replica) = self.find(incarnation) else {
            let first = (incarnation, Time(0))..(incarnation, opened);
            if self.lineage.successions.range(first).next().is_some() {
                return Certainty::Doubtful;
            }
            return certain_or(opened <= self.confirmed_until(incarnation), Certainty::Pending);
        };
        // Without a stated start this may be a successor that others have listed earlier.
        if replica.build.is_some() && replica.build != origin.build {
            return Certainty::Doubtful;
        }
        certain_or(opened <= self.confirmed_until(incarnation), Certainty::Pending)
    }

    /// Time until which opened connections lead to an incarnation that has no listed successor.
    fn confirmed_until(&self, incarnation: Digest) -> Time {
        let listed = self.find(incarnation).map(|replica| replica.heard_at);
        let removed = || self.removed.get(&incarnation).map(|removed| removed.heard_at);
        let heard_at = listed.or_else(removed);
        heard_at.map_or(Time(0), |heard_at| heard_at.max(self.proofs.complete_until()))
    }

    /// Records that an incarnation is listed under an id; with `replaces`, in the place of one with the
    /// same digest.
    pub(super) fn record_listed(&mut self, now: Time, id: &str, digest: Digest, replaces: bool) {
        let Some(previous) = self.lineage.last.insert(id.to_owned(), digest) else {
            return;
        };
        if previous != digest || replaces {
            self.end_evidence(now, previous);
        }
    }

    /// Records that lists show nothing more of an incarnation, as another one may run in its place.
    pub(super) fn end_evidence(&mut self, now: Time, incarnation: Digest) {
        let confirmed_until = self.confirmed_until(incarnation);
        self.lineage.successions.insert((incarnation, now), confirmed_until);
    }

    /// Drops what is known of incarnations of long ago.
    pub(super) fn expire_lineage(&mut self, now: Time) {
        let is_recent = |at: Time| now.since(at) < SUCCESSION_LIFETIME;
        self.lineage.successions.retain(|(_, at), _| is_recent(*at));
        let (by_id, removed) = (&self.by_id, &self.removed);
        self.lineage
            .last
            .retain(|id, digest| by_id.contains_key(id) || removed.contains_key(digest));
    }
}
