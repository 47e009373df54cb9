//! A list that may be older than what is known of replicas.

use std::collections::BTreeSet;

use super::Fleet;
use super::Listing;
use crate::time::Span;
use crate::time::Time;

/// How long a run that is gone is remembered: longer than the store may go back.
const REMEMBERED: Span = Span::secs(60);

impl Fleet {
    /// Forgets runs that have been gone for long.
    pub(super) fn forget_gone(&mut self, now: Time) {
        self.gone.retain(|_, at| now.since(*at) < REMEMBERED);
    }

    /// The list with what is known put before it: runs that are leaving, gone or replaced get nothing
    /// new, and with `retain_missing` those in use stay, whether listed or not.
    pub fn reconcile(&self, listings: Vec<Listing>, retain_missing: bool) -> Vec<Listing> {
        let mut amended: Vec<Listing> = listings.into_iter().map(|l| self.reconciled(l)).collect();
        if retain_missing {
            let listed: BTreeSet<&str> =
                amended.iter().map(|listing| listing.incarnation.id.as_str()).collect();
            let in_use = self.iter().filter(|replica| !replica.closed);
            let missing = in_use.map(|replica| &replica.listing);
            let missing = missing.filter(|l| !listed.contains(l.incarnation.id.as_str()));
            let missing: Vec<Listing> = missing.cloned().collect();
            amended.extend(missing);
        }
        amended
    }

    fn reconciled(&self, listing: Listing) -> Listing {
        let key = self.by_id.get(&listing.incarnation.id).copied();
        let known = key.and_then(|key| self.replicas.get(key));
        let is_gone = self.gone.contains_key(&listing.incarnation.digest());
        match known {
            // A former run under the id of the one that is there.
            Some(replica) if is_gone => replica.listing.clone(),
            Some(replica) if replica.closed && replica.digest() == listing.incarnation.digest() => {
                Listing { leaving: true, ..listing }
            }
            None if is_gone => Listing { leaving: true, ..listing },
            _ => listing,
        }
    }
}
