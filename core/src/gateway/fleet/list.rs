//! Applies lists of replicas from the store: adds, replaces, closes and retains replicas.
//!
//! A closed replica gets no new calls; it is removed once it is no longer listed and has no calls
//! in progress. After an outage of the store, entries may be missing although their replicas run;
//! these replicas are retained until their entries are back or are known to be gone.

use std::collections::BTreeMap;

use super::Fleet;
use super::Listing;
use super::Replica;
use super::cooldown;
use super::reconcile::Removed;
use crate::arena::Key;
use crate::gateway::build::Build;
use crate::gateway::outage::Absence;
use crate::time::Time;

/// Changes made by a list, as ids of replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Replicas that were not known before.
    pub added: Vec<String>,
    /// Replicas with a new incarnation, service or address.
    pub replaced: Vec<String>,
    /// Replicas that get no new calls from now on.
    pub closed: Vec<String>,
    /// Replicas that are missing from the list and stay in use, because their leases may have
    /// expired in an outage of the store.
    pub retained: Vec<String>,
}

impl Fleet {
    /// Applies a list of replicas.
    ///
    /// With `retain_missing`, replicas that are not listed stay in use: after an outage of the
    /// store, entries are missing for a moment although their replicas run, and closing these would
    /// empty the fleet.
    pub fn update(&mut self, now: Time, listings: Vec<Listing>, retain_missing: bool) -> Changes {
        self.expire_removed(now);
        self.list_number += 1;
        let mut changes = Changes::default();
        for listing in listings {
            self.update_one(now, listing, &mut changes);
        }
        let is_missing = |key: Key<Replica>| {
            self.replicas.get(key).is_some_and(|replica| replica.listed_in != self.list_number)
        };
        let missing = self.by_id.iter().filter(|(_, key)| is_missing(**key));
        let missing: Vec<(String, Key<Replica>)> =
            missing.map(|(id, key)| (id.clone(), *key)).collect();
        if retain_missing {
            changes.retained = self.retain_all(&missing);
            return changes;
        }
        for (id, key) in missing {
            changes.closed.extend(self.close(now, key).then(|| id.clone()));
            if self.replicas.get(key).is_some_and(|r| r.own_calls == 0) {
                self.remove(now, &id, key);
            }
        }
        changes
    }

    /// Applies one entry of a list. An unchanged entry allocates nothing, as most of thousands are
    /// unchanged in each list.
    fn update_one(&mut self, now: Time, listing: Listing, changes: &mut Changes) {
        let id = &listing.incarnation.id;
        let known = self.by_id.get(id).copied();
        if listing.is_unreadable() {
            // The state of a replica with an unreadable entry is unknown, so that it gets no new
            // calls. Its load and failure rate are kept for its next readable entry.
            if let Some(key) = known {
                if self.close(now, key) {
                    changes.closed.push(id.clone());
                    // The entry may be that of a successor.
                    if let Some(digest) = self.get(key).map(Replica::digest) {
                        self.end_evidence(now, digest);
                    }
                }
                self.mark_listed(key);
            }
            return;
        }
        let key = match known {
            Some(key) if self.is_same_incarnation(key, &listing) => key,
            Some(key) => {
                // Late events of the earlier incarnation find no replica under its key.
                self.record_listed(now, id, listing.incarnation.digest(), true);
                self.remove(now, id, key);
                changes.replaced.push(id.clone());
                self.insert(now, listing.clone())
            }
            None => {
                changes.added.push(id.clone());
                self.insert(now, listing.clone())
            }
        };
        self.mark_listed(key);
        if let Some(replica) = self.replicas.get_mut(key) {
            if listing.leaving && !replica.closed {
                replica.closed_at = Some(now);
                changes.closed.push(id.clone());
            }
            // A closed replica that is listed again runs: only its lease had expired.
            replica.closed = listing.leaving;
            replica.retained = false;
            if replica.listing != listing {
                let (old, new) = (replica.build, listing.build.as_deref().map(Build::of));
                self.census.remove(now, &listing.service, old);
                self.census.add(now, &listing.service, new);
                replica.build = new;
                replica.listing = listing;
            }
        }
    }

    fn mark_listed(&mut self, key: Key<Replica>) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.listed_in = self.list_number;
        }
    }

    /// Whether an entry has the known incarnation, service and address of the replica, and not another
    /// build: a replica without a stated start may have restarted with one under its id. An entry
    /// that lacks the build for a time is of the same incarnation.
    ///
    /// Incarnations are compared for equality and not for their order, because the list is the
    /// newest information: if a clock was set back, an order would favour the earlier incarnation.
    fn is_same_incarnation(&self, key: Key<Replica>, listing: &Listing) -> bool {
        self.replicas.get(key).is_some_and(|replica| {
            let known = &replica.listing;
            known.incarnation == listing.incarnation
                && known.service == listing.service
                && known.address == listing.address
                && (known.build == listing.build
                    || known.build.is_none()
                    || listing.build.is_none())
        })
    }

    /// Closes a replica; `false` if it was already closed or is unknown.
    fn close(&mut self, now: Time, key: Key<Replica>) -> bool {
        let Some(replica) = self.replicas.get_mut(key) else {
            return false;
        };
        replica.retained = false;
        let was_open = !std::mem::replace(&mut replica.closed, true);
        if was_open {
            replica.closed_at = Some(now);
        }
        was_open
    }

    /// Compares the number of replicas in use that `listings` lacks with the number of those
    /// listed, for each service and in total. A replica with an unreadable entry counts as listed.
    pub fn absence(&self, listings: &[Listing]) -> Absence {
        let mut listed: Vec<&str> = listings.iter().map(|l| l.incarnation.id.as_str()).collect();
        listed.sort_unstable();
        let mut listed = listed.into_iter().peekable();
        let mut services: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for listing in listings {
            services.entry(self.service_of(listing)).or_default().0 += 1;
        }
        let mut newly_missing = 0;
        for (id, key) in &self.by_id {
            while listed.next_if(|listed| *listed < id.as_str()).is_some() {}
            let is_listed = listed.peek() == Some(&id.as_str());
            let replica = self.replicas.get(*key).filter(|replica| replica.is_open() && !is_listed);
            if let Some(replica) = replica {
                services.entry(&replica.listing.service).or_default().1 += 1;
                newly_missing += usize::from(!replica.retained);
            }
        }
        Absence {
            most_at_once: newly_missing > listings.len(),
            most_of_a_service: services.values().any(|(listed, missing)| missing > listed),
        }
    }

    /// The service in an entry; for an unreadable entry, the last known service of its replica.
    fn service_of<'a>(&'a self, listing: &'a Listing) -> &'a str {
        if !listing.is_unreadable() {
            return &listing.service;
        }
        let known = self.by_id.get(&listing.incarnation.id).and_then(|key| self.replicas.get(*key));
        known.map_or("", |replica| &replica.listing.service)
    }

    /// Retains the open replicas among `missing`; returns their ids.
    fn retain_all(&mut self, missing: &[(String, Key<Replica>)]) -> Vec<String> {
        let mut retained = Vec::new();
        for (id, key) in missing {
            if let Some(replica) = self.replicas.get_mut(*key)
                && replica.is_open()
            {
                replica.retained = true;
                retained.push(id.clone());
            }
        }
        retained
    }

    /// Closes the replicas that were retained although their entries are missing; returns their
    /// ids.
    pub fn close_retained(&mut self) -> Vec<String> {
        let mut closed = Vec::new();
        for (id, key) in &self.by_id {
            if let Some(replica) = self.replicas.get_mut(*key)
                && replica.retained
            {
                replica.retained = false;
                replica.closed = true;
                closed.push(id.clone());
            }
        }
        closed
    }

    fn insert(&mut self, now: Time, listing: Listing) -> Key<Replica> {
        let id = listing.incarnation.id.clone();
        let service = listing.service.clone();
        let digest = listing.incarnation.digest();
        self.record_listed(now, &id, digest, false);
        let departed_at = self.departures.first_said(digest);
        // The entry of a removed replica is back: only its lease had expired.
        let removed = self.removed.remove(&digest);
        let cooldown = cooldown::restored(removed.and_then(|removed| removed.cooldown));
        let heard_at = removed.map_or(Time(0), |removed| removed.heard_at);
        let replica = Replica { departed_at, cooldown, heard_at, ..Replica::new(listing, now) };
        self.census.add(now, &service, replica.build);
        let key = self.replicas.insert(replica);
        self.by_id.insert(id, key);
        self.by_digest.insert(digest, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    fn remove(&mut self, now: Time, id: &str, key: Key<Replica>) {
        self.by_id.remove(id);
        let Some(replica) = self.replicas.remove(key) else {
            return;
        };
        self.by_digest.remove(&replica.digest());
        self.census.remove(now, &replica.listing.service, replica.build);
        let was_leaving = replica.is_leaving();
        let removed = Removed {
            at: now,
            cooldown: replica.cooldown,
            was_leaving,
            heard_at: replica.heard_at,
        };
        self.removed.insert(replica.digest(), removed);
        if let Some(keys) = self.by_service.get_mut(&replica.listing.service) {
            keys.retain(|k| *k != key);
        }
    }
}
