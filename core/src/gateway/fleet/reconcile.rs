//! Reconciles a list of replicas from the store with newer knowledge.
//!
//! After the store has returned to an older copy of its data, its list may contain replicas that
//! have left, or lack some that are running.

use std::collections::BTreeSet;

use super::Fleet;
use super::Listing;
use super::cooldown::Cooldown;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Time for which a removed incarnation is remembered; longer than the age of any copy that the
/// store may return to.
const REMOVED_LIFETIME: Span = Span::secs(60);

/// What is remembered of a removed incarnation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Removed {
    pub(super) at: Time,
    /// Cooldown of the replica, which holds on if its entry is back.
    pub(super) cooldown: Option<Cooldown>,
    /// Whether it was known to leave.
    pub(super) was_leaving: bool,
    /// Time at which it was last known to run by its responses.
    pub(super) heard_at: Time,
}

/// What the list of replicas tells of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is listed.
    Listed,
    /// Its entry lapsed or was replaced, and it was not known to leave.
    Gone,
    /// It left, or its entry may be that of another incarnation.
    Unknown,
}

impl Fleet {
    /// Drops removed incarnations whose lifetime has ended.
    pub(super) fn expire_removed(&mut self, now: Time) {
        self.removed.retain(|_, removed| now.since(removed.at) < REMOVED_LIFETIME);
        self.expire_lineage(now);
    }

    /// What the last list tells of an incarnation. The entry of one without a stated start may be that
    /// of its successor, and a retained one is not listed.
    pub fn presence(&self, incarnation: Digest) -> Presence {
        let Some(replica) = self.find(incarnation) else {
            let gone = self.removed.get(&incarnation).is_some_and(|removed| !removed.was_leaving);
            return if gone { Presence::Gone } else { Presence::Unknown };
        };
        if replica.retained {
            return Presence::Unknown;
        }
        if replica.listed_in == self.list_number {
            let states_start = replica.listing.incarnation.start_ms.is_some();
            return if states_start { Presence::Listed } else { Presence::Unknown };
        }
        // Kept for its calls in progress.
        if replica.is_leaving() { Presence::Unknown } else { Presence::Gone }
    }

    /// Corrects a list by newer knowledge: incarnations that were closed, removed or replaced get
    /// no new calls. With `retain_missing`, replicas in use are added if they are missing.
    pub fn reconcile(&self, listings: Vec<Listing>, retain_missing: bool) -> Vec<Listing> {
        let mut reconciled: Vec<Listing> =
            listings.into_iter().map(|l| self.reconcile_one(l)).collect();
        if retain_missing {
            let listed: BTreeSet<&str> =
                reconciled.iter().map(|listing| listing.incarnation.id.as_str()).collect();
            let in_use = self.iter().filter(|replica| replica.is_open());
            let missing = in_use.map(|replica| &replica.listing);
            let missing = missing.filter(|l| !listed.contains(l.incarnation.id.as_str()));
            let missing: Vec<Listing> = missing.cloned().collect();
            reconciled.extend(missing);
        }
        reconciled
    }

    /// Corrects one entry by newer knowledge of its replica.
    fn reconcile_one(&self, listing: Listing) -> Listing {
        let key = self.by_id.get(&listing.incarnation.id).copied();
        let known = key.and_then(|key| self.replicas.get(key));
        let is_removed = self.removed.contains_key(&listing.incarnation.digest());
        match known {
            // The listed incarnation is an earlier one of the replica in use.
            Some(replica) if is_removed => replica.listing.clone(),
            Some(replica)
                if !replica.is_open() && replica.digest() == listing.incarnation.digest() =>
            {
                Listing { leaving: true, ..listing }
            }
            None if is_removed => Listing { leaving: true, ..listing },
            _ => listing,
        }
    }
}
