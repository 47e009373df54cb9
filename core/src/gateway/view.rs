//! What a gateway reads of the store, with digests that cost little to keep up.
//!
//! The digest of a part is the sum of the hashes of its items, so it does not depend on their order,
//! and a change costs as much as the items that it touches.

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

/// Everything the store holds for a gateway, read at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Newest configuration; `None` if none was ever written.
    pub config: Option<Arc<Config>>,
    /// Replicas of all services.
    pub replicas: Vec<Listing>,
    /// Gateways.
    pub gateways: Vec<Entry>,
}

/// Digests of a view's parts; that of a part without any item is zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest {
    /// Of the configuration.
    pub config: u64,
    /// Of the replicas.
    pub replicas: u64,
    /// Of the gateways.
    pub gateways: u64,
}

/// A view with its digest.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The view; its lists are in order and hold each item once.
    pub view: Arc<View>,
    /// Its digest.
    pub digest: Digest,
}

/// Something that has a place of its own in a view.
pub(super) trait Item: Clone + PartialEq + Serialize {
    /// Identity among items of its kind.
    type Key: Ord;
    /// Kind of item, so that equal bytes of different kinds count as different.
    const KIND: u8;

    fn key(&self) -> Self::Key;
    fn order(&self, other: &Self) -> Ordering;
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
}

/// Kind of the part of a configuration that is no item of a list.
const HEADER: u8 = 0;

fn hash_bytes(kind: u8, item: &impl Serialize) -> u64 {
    // Encoding to memory can't fail for these types; an empty encoding would only show as a difference.
    let bytes = postcard::to_stdvec(item).unwrap_or_default();
    rendezvous::hash(&[&[kind], &bytes])
}

/// Hash of one item.
pub(super) fn hash<T: Item>(item: &T) -> u64 {
    hash_bytes(T::KIND, item)
}

/// Hash of what a configuration holds besides its lists.
pub(super) fn hash_header(version: u64, limits: &Limits) -> u64 {
    hash_bytes(HEADER, &(version, limits))
}

/// Goes through two ordered lists together, and shows each item that is not the same in both.
pub(super) fn diff<T: Item>(old: &[T], new: &[T], mut see: impl FnMut(Option<&T>, Option<&T>)) {
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
            see(o, n);
        }
    }
}

fn sum<T: Item>(before: u64, old: &[T], new: &[T]) -> u64 {
    let mut sum = before;
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

fn ordered<T: Item>(items: &mut Vec<T>) {
    items.sort_by(T::order);
    items.dedup_by(|a, b| a.order(b).is_eq());
}

impl Snapshot {
    /// `view` with its digest, reckoned from what was known `before`.
    pub fn new(mut view: View, before: Option<&Snapshot>) -> Snapshot {
        ordered(&mut view.replicas);
        ordered(&mut view.gateways);
        let empty = Snapshot { view: Arc::default(), digest: Digest::default() };
        let before = before.unwrap_or(&empty);
        let (old, d) = (&before.view, before.digest);
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

    /// The whole of it, as something to begin from.
    pub fn base(&self) -> Base<'_> {
        Base {
            config: self.view.config.as_ref(),
            replicas: &self.view.replicas,
            gateways: &self.view.gateways,
            digest: self.digest,
        }
    }
}

/// What a difference begins from: parts of one view or of several, or none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Base<'a> {
    /// Configuration.
    pub config: Option<&'a Arc<Config>>,
    /// Replicas in order.
    pub replicas: &'a [Listing],
    /// Gateways in order.
    pub gateways: &'a [Entry],
    /// Digest of these parts.
    pub digest: Digest,
}

/// The last views of a gateway, the newest first.
#[derive(Debug, Default)]
pub struct History {
    views: VecDeque<Snapshot>,
}

impl History {
    /// The newest view.
    pub fn newest(&self) -> Option<&Snapshot> {
        self.views.front()
    }

    /// Takes a view in, unless it is as the newest; keeps `most` of them.
    pub fn push(&mut self, known: Snapshot, most: usize) {
        if self.newest().is_none_or(|newest| newest.digest != known.digest) {
            self.views.push_front(known);
        }
        self.views.truncate(most.max(1));
    }

    /// The parts that a view of this digest had, as far as they are remembered.
    pub fn base(&self, digest: Digest) -> Base<'_> {
        let mut base = Base::default();
        for known in &self.views {
            let (d, view) = (known.digest, &known.view);
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
