//! Views of the store as read by a gateway, with digests that are updated incrementally.
//!
//! The digest of a part is the sum of the hashes of its items. It does not depend on their order,
//! and the cost of an update is proportional to the number of changed items.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::config::Account;
use super::config::Config;
use super::config::Limits;
use super::config::Route;
use super::config::Service;
use super::directory::Entry;
use super::fleet::Listing;
use crate::rendezvous;

/// Everything that a gateway reads from the store, at one point in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Newest configuration; `None` if none was written yet.
    pub config: Option<Arc<Config>>,
    /// Replicas of all services.
    pub replicas: Vec<Listing>,
    /// Gateways.
    pub gateways: Vec<Entry>,
}

/// Digests of a view's parts; the digest of an empty part is zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest {
    /// Digest of the configuration.
    pub config: u64,
    /// Digest of the replicas.
    pub replicas: u64,
    /// Digest of the gateways.
    pub gateways: u64,
}

/// A view with its digest.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The view; its lists are sorted and hold each item once.
    pub view: Arc<View>,
    /// Digest of the view.
    pub digest: Digest,
}

/// An item of a list in a view, identified by its key.
pub(super) trait Item: Clone + PartialEq + Serialize {
    /// Identity among items of the same kind.
    type Key: Ord;
    /// Kind of item; it is hashed, so that equal bytes of different kinds have different hashes.
    const KIND: u8;

    fn key(&self) -> Self::Key;
    fn order(&self, other: &Self) -> Ordering;
    /// Compares the item's key, without a copy of it, to another key.
    fn order_key(&self, key: &Self::Key) -> Ordering;
}

impl Item for Listing {
    type Key = String;
    const KIND: u8 = 1;

    fn key(&self) -> String {
        self.incarnation.id.clone()
    }

    fn order(&self, other: &Self) -> Ordering {
        self.incarnation.id.cmp(&other.incarnation.id)
    }

    fn order_key(&self, key: &Self::Key) -> Ordering {
        self.incarnation.id.cmp(key)
    }
}

impl Item for Entry {
    type Key = String;
    const KIND: u8 = 2;

    fn key(&self) -> String {
        self.name.clone()
    }

    fn order(&self, other: &Self) -> Ordering {
        self.name.cmp(&other.name)
    }

    fn order_key(&self, key: &Self::Key) -> Ordering {
        self.name.cmp(key)
    }
}

impl Item for Arc<Route> {
    type Key = (String, String);
    const KIND: u8 = 3;

    fn key(&self) -> (String, String) {
        (self.host.clone(), self.prefix.clone())
    }

    fn order(&self, other: &Self) -> Ordering {
        self.host.cmp(&other.host).then_with(|| self.prefix.cmp(&other.prefix))
    }

    fn order_key(&self, key: &Self::Key) -> Ordering {
        self.host.cmp(&key.0).then_with(|| self.prefix.cmp(&key.1))
    }
}

impl Item for Service {
    type Key = String;
    const KIND: u8 = 4;

    fn key(&self) -> String {
        self.name.clone()
    }

    fn order(&self, other: &Self) -> Ordering {
        self.name.cmp(&other.name)
    }

    fn order_key(&self, key: &Self::Key) -> Ordering {
        self.name.cmp(key)
    }
}

impl Item for Account {
    type Key = String;
    const KIND: u8 = 5;

    fn key(&self) -> String {
        self.organisation.name.clone()
    }

    fn order(&self, other: &Self) -> Ordering {
        self.organisation.name.cmp(&other.organisation.name)
    }

    fn order_key(&self, key: &Self::Key) -> Ordering {
        self.organisation.name.cmp(key)
    }
}

/// Kind of the fields of a configuration outside its lists.
const HEADER: u8 = 0;

fn hash_bytes(kind: u8, item: &impl Serialize) -> u64 {
    // Encoding to memory can't fail for these types; an empty encoding would only change the hash.
    let bytes = postcard::to_stdvec(item).unwrap_or_default();
    rendezvous::hash(&[&[kind], &bytes])
}

/// Hash of one item.
pub(super) fn hash<T: Item>(item: &T) -> u64 {
    hash_bytes(T::KIND, item)
}

/// Hash of the fields of a configuration outside its lists.
pub(super) fn hash_header(version: u64, limits: &Limits) -> u64 {
    hash_bytes(HEADER, &(version, limits))
}

/// Compares two sorted lists and passes the old and new version of each differing item to `visit`.
pub(super) fn diff<T: Item>(old: &[T], new: &[T], mut visit: impl FnMut(Option<&T>, Option<&T>)) {
    let (mut olds, mut news) = (old.iter().peekable(), new.iter().peekable());
    loop {
        let order = match (olds.peek(), news.peek()) {
            (Some(o), Some(n)) => o.order(n),
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (None, None) => return,
        };
        let o = if order.is_le() { olds.next() } else { None };
        let n = if order.is_ge() { news.next() } else { None };
        if o != n {
            visit(o, n);
        }
    }
}

fn sum<T: Item>(initial: u64, old: &[T], new: &[T]) -> u64 {
    let mut sum = initial;
    diff(old, new, |o, n| {
        sum = sum.wrapping_sub(o.map_or(0, hash)).wrapping_add(n.map_or(0, hash));
    });
    sum
}

fn config_sum(config: &Config) -> u64 {
    sum(0, &[], &config.routes())
        .wrapping_add(sum(0, &[], &config.services()))
        .wrapping_add(sum(0, &[], &config.accounts()))
        .wrapping_add(hash_header(config.version, &config.limits))
}

fn sort_unique<T: Item>(items: &mut Vec<T>) {
    items.sort_by(T::order);
    items.dedup_by(|a, b| a.order(b).is_eq());
}

impl Snapshot {
    /// A snapshot of `view`, with the digest computed from the differences to the previous
    /// snapshot.
    pub fn new(mut view: View, previous: Option<&Snapshot>) -> Snapshot {
        sort_unique(&mut view.replicas);
        sort_unique(&mut view.gateways);
        let empty = Snapshot { view: Arc::default(), digest: Digest::default() };
        let previous = previous.unwrap_or(&empty);
        let (old, d) = (&previous.view, previous.digest);
        let config = match (&old.config, &view.config) {
            (Some(old), Some(new)) if Arc::ptr_eq(old, new) => d.config,
            (_, new) => new.as_ref().map_or(0, |config| config_sum(config)),
        };
        let digest = Digest {
            config,
            replicas: sum(d.replicas, &old.replicas, &view.replicas),
            gateways: sum(d.gateways, &old.gateways, &view.gateways),
        };
        Snapshot { view: Arc::new(view), digest }
    }

    /// Number of replicas and gateways.
    pub fn len(&self) -> usize {
        self.view.replicas.len() + self.view.gateways.len()
    }

    /// Whether there are neither replicas nor gateways.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The whole snapshot as the base of a difference.
    pub fn base(&self) -> Base<'_> {
        Base {
            config: self.view.config.as_ref(),
            replicas: &self.view.replicas,
            gateways: &self.view.gateways,
            digest: self.digest,
        }
    }
}

/// Base of a difference: parts of one or several views, or none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Base<'a> {
    /// Configuration.
    pub config: Option<&'a Arc<Config>>,
    /// Replicas, sorted.
    pub replicas: &'a [Listing],
    /// Gateways, sorted.
    pub gateways: &'a [Entry],
    /// Digest of these parts.
    pub digest: Digest,
}

/// The latest snapshots of a gateway, the newest first.
#[derive(Debug, Default)]
pub struct History {
    snapshots: VecDeque<Snapshot>,
}

impl History {
    /// The newest snapshot.
    pub fn newest(&self) -> Option<&Snapshot> {
        self.snapshots.front()
    }

    /// Adds a snapshot, unless it equals the newest one, and keeps at most `capacity` of them.
    pub fn push(&mut self, snapshot: Snapshot, capacity: usize) {
        if self.newest().is_none_or(|newest| newest.digest != snapshot.digest) {
            self.snapshots.push_front(snapshot);
        }
        self.snapshots.truncate(capacity.max(1));
    }

    /// The parts with these digests, as far as snapshots in the history have them.
    pub fn base(&self, digest: Digest) -> Base<'_> {
        let mut base = Base::default();
        for snapshot in &self.snapshots {
            let (d, view) = (snapshot.digest, &snapshot.view);
            if d.config == digest.config {
                (base.config, base.digest.config) = (view.config.as_ref(), d.config);
            }
            if d.replicas == digest.replicas {
                (base.replicas, base.digest.replicas) = (&view.replicas, d.replicas);
            }
            if d.gateways == digest.gateways {
                (base.gateways, base.digest.gateways) = (&view.gateways, d.gateways);
            }
        }
        base
    }
}
