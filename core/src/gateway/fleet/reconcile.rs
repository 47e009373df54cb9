//! Reconciles a list of replicas from the store with newer knowledge.
//!
//! After the store has returned to an older copy of its data, its list may contain replicas that
//! have left, or lack some that are running.

use std::collections::BTreeSet;

use super::Fleet;
use super::Listing;
use super::cooldown::Cooldown;
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
}

impl Fleet {
    /// Drops removed incarnations whose lifetime has ended.
    pub(super) fn expire_removed(&mut self, now: Time) {
        self.removed.retain(|_, removed| now.since(removed.at) < REMOVED_LIFETIME);
        self.replaced.retain(|_, at| now.since(*at) < REMOVED_LIFETIME);
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
