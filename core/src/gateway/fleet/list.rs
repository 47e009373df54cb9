//! What a list of replicas changes: who comes, goes, starts again, or is used on although it is
//! missing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Fleet;
use super::Listing;
use super::Replica;
use crate::arena::Key;
use crate::gateway::outage::Absence;
use crate::time::Time;

/// What a list changed, by identity of the replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Listed for the first time.
    pub added: Vec<String>,
    /// Another life is there than before.
    pub replaced: Vec<String>,
    /// Gets nothing new from now on.
    pub closed: Vec<String>,
    /// Not listed, and used all the same, as its lease may have lapsed in an outage of the store.
    pub retained: Vec<String>,
}

impl Fleet {
    /// Takes the list of replicas in; returns what changed by it.
    ///
    /// With `retain_missing`, entries that are not listed stay as they are: after an outage of the
    /// store entries are missing for a moment although their replicas live, and going by the list
    /// alone would empty the fleet.
    pub fn update(&mut self, now: Time, listings: Vec<Listing>, retain_missing: bool) -> Changes {
        self.forget_gone(now);
        let mut added = Vec::new();
        let mut replaced = Vec::new();
        let mut closed = Vec::new();
        let mut listed: BTreeMap<String, Key<Replica>> = BTreeMap::new();
        for listing in listings {
            let id = listing.incarnation.id.clone();
            let known = self.by_id.get(&id).copied();
            if listing.is_unreadable() {
                // Nobody can say what has become of a replica whose entry is spoilt, so it gets
                // nothing new; what was learnt of it is kept for its next readable entry.
                if let Some(key) = known {
                    closed.extend(self.close(key).then(|| id.clone()));
                    listed.insert(id, key);
                }
                continue;
            }
            let key = match known {
                Some(key) if self.is_same_life(key, &listing) => key,
                Some(key) => {
                    // Late events of the former life find nothing under its key.
                    self.forget(now, &id, key);
                    replaced.push(id.clone());
                    self.insert(now, listing.clone())
                }
                None => {
                    added.push(id.clone());
                    self.insert(now, listing.clone())
                }
            };
            if let Some(replica) = self.replicas.get_mut(key) {
                if listing.leaving && !replica.closed {
                    closed.push(id.clone());
                }
                // An entry that left and is listed again lives: its lease had lapsed.
                replica.closed = listing.leaving;
                replica.retained = false;
                replica.listing = listing;
            }
            listed.insert(id, key);
        }
        let missing: Vec<(String, Key<Replica>)> = self
            .by_id
            .iter()
            .filter(|(id, _)| !listed.contains_key(*id))
            .map(|(i, k)| (i.clone(), *k))
            .collect();
        if retain_missing {
            let retained = self.retain_all(&missing);
            return Changes { added, replaced, closed, retained };
        }
        for (id, key) in missing {
            closed.extend(self.close(key).then(|| id.clone()));
            if self.replicas.get(key).is_some_and(|r| r.own == 0) {
                self.forget(now, &id, key);
            }
        }
        Changes { added, replaced, closed, retained: Vec::new() }
    }

    /// Whether an entry is of the life that is known.
    ///
    /// Only equality counts, not which start is the greater: the list is the newest, and a clock
    /// that was set back would pin the dead life.
    fn is_same_life(&self, key: Key<Replica>, listing: &Listing) -> bool {
        self.replicas.get(key).is_some_and(|replica| {
            let known = &replica.listing;
            known.incarnation == listing.incarnation
                && known.service == listing.service
                && known.address == listing.address
        })
    }

    /// Closes a replica; `false` if it was closed or is unknown.
    fn close(&mut self, key: Key<Replica>) -> bool {
        let Some(replica) = self.replicas.get_mut(key) else {
            return false;
        };
        replica.retained = false;
        !std::mem::replace(&mut replica.closed, true)
    }

    /// How many of the replicas in use are not among `listings`, against those that are. One whose
    /// entry is unreadable is among them.
    pub fn absence(&self, listings: &[Listing]) -> Absence {
        let listed: BTreeSet<&str> = listings.iter().map(|l| l.incarnation.id.as_str()).collect();
        let mut services: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for listing in listings {
            services.entry(self.service_of(listing)).or_default().0 += 1;
        }
        let mut newly = 0;
        let in_use = self.replicas.iter().map(|(_, r)| r).filter(|r| !r.closed);
        for replica in in_use.filter(|r| !listed.contains(r.listing.incarnation.id.as_str())) {
            services.entry(&replica.listing.service).or_default().1 += 1;
            newly += usize::from(!replica.retained);
        }
        Absence {
            most_at_once: newly > listings.len(),
            most_of_a_service: services.values().any(|(listed, missing)| missing > listed),
        }
    }

    /// The service that an entry names, or that its replica was known for if it is unreadable.
    fn service_of<'a>(&'a self, listing: &'a Listing) -> &'a str {
        if !listing.is_unreadable() {
            return &listing.service;
        }
        let known = self.by_id.get(&listing.incarnation.id).and_then(|key| self.replicas.get(*key));
        known.map_or("", |replica| &replica.listing.service)
    }

    fn retain_all(&mut self, missing: &[(String, Key<Replica>)]) -> Vec<String> {
        let mut retained = Vec::new();
        for (id, key) in missing {
            if let Some(replica) = self.replicas.get_mut(*key)
                && !replica.closed
            {
                replica.retained = true;
                retained.push(id.clone());
            }
        }
        retained
    }

    /// Closes the replicas that were kept although their entries are missing; returns their ids.
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
        let key = self.replicas.insert(Replica::new(listing, now));
        self.by_id.insert(id, key);
        if let Some(replica) = self.replicas.get(key) {
            self.by_digest.insert(replica.digest(), key);
            // Its entry had lapsed, and is back.
            self.gone.remove(&replica.digest());
        }
        self.by_service.entry(service).or_default().push(key);
        key
    }

    fn forget(&mut self, now: Time, id: &str, key: Key<Replica>) {
        self.by_id.remove(id);
        let Some(replica) = self.replicas.remove(key) else {
            return;
        };
        self.by_digest.remove(&replica.digest());
        self.gone.insert(replica.digest(), now);
        if let Some(keys) = self.by_service.get_mut(&replica.listing.service) {
            keys.retain(|k| *k != key);
        }
    }
}
