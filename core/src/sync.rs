//! The configuration version in force, and how a newer one arrives.
//!
//! A root names shards by content hash. A newer root waits until all its shards are here, then
//! takes force as a whole. An older root never does, whatever a stale read, a peer or a restart
//! says, because versions are only compared upwards.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::config::Config;
use crate::config::shard;
use crate::config::shard::Change;
use crate::config::shard::Hash;
use crate::config::shard::Root;

/// Key of the root in the key-value service.
pub const ROOT_KEY: &str = "laburnumwheel/config/root";
/// Prefix of the keys of shards in the key-value service.
pub const SHARD_PREFIX: &str = "laburnumwheel/config/shard/";
/// Key of the list of routers in the key-value service.
pub const ROSTER_KEY: &str = "laburnumwheel/roster";
/// Key of the platform's list of leaving hosts: a JSON array of upstream names.
pub const LEAVING_HOSTS_KEY: &str = "platform/hosts/leaving";

/// The configuration of one router.
#[derive(Debug, Default)]
pub struct Sync {
    root: Root,
    previous: Root,
    pending: Option<Root>,
    shards: BTreeMap<Hash, Bytes>,
}

/// A newer configuration has taken force, or could not be read.
#[derive(Debug)]
pub enum Step {
    /// Shards are missing, or nothing newer is known.
    Wait,
    /// This one is in force now.
    Apply(Config),
    /// The root's shards can't be read; the version in force stays.
    Reject(u64, shard::Error),
}

impl Sync {
    /// The root in force; version 0 before the first.
    pub fn root(&self) -> &Root {
        &self.root
    }

    /// Newest version heard of.
    pub fn newest_version(&self) -> u64 {
        self.pending.as_ref().map_or(self.root.version, |p| p.version)
    }

    /// Takes a root in; `true` if it is newer than all before.
    pub fn offer(&mut self, root: Root) -> bool {
        if root.version <= self.newest_version() {
            return false;
        }
        self.pending = Some(root);
        true
    }

    /// Shards of the waiting root that are not here.
    pub fn missing_shards(&self) -> Vec<Hash> {
        let wanted = self.pending.iter().flat_map(|p| p.shards.values());
        wanted.filter(|h| !self.shards.contains_key(*h)).cloned().collect()
    }

    /// Takes a shard in if the waiting root names it.
    pub fn add_shard(&mut self, content: Bytes) {
        let hash = shard::hash(&content);
        let wanted = self.pending.as_ref().is_some_and(|p| p.shards.values().any(|h| *h == hash));
        if wanted {
            self.shards.insert(hash, content);
        }
    }

    /// Puts the waiting root in force if it is complete.
    pub fn apply_pending(&mut self) -> Step {
        if self.pending.is_none() || !self.missing_shards().is_empty() {
            return Step::Wait;
        }
        let Some(root) = self.pending.take() else {
            return Step::Wait;
        };
        match shard::join(&root, &self.shards) {
            Ok(config) => {
                self.previous = std::mem::replace(&mut self.root, root);
                let named: std::collections::BTreeSet<&Hash> = self.root.shards.values().collect();
                self.shards.retain(|h, _| named.contains(h));
                Step::Apply(config)
            }
            Err(e) => Step::Reject(root.version, e),
        }
    }

    /// The way to the root in force for a router that has version `have`.
    pub fn change_since(&self, have: u64) -> Change {
        let known = have != 0 && have == self.previous.version;
        let old = if known { self.previous.clone() } else { Root::default() };
        self.root.change_from(&old)
    }

    /// The root that a peer's change leads to, if it leads from here.
    pub fn root_after(&self, change: &Change) -> Option<Root> {
        self.root.apply(change)
    }

    /// A shard of the version in force.
    pub fn find_shard(&self, hash: &str) -> Option<&Bytes> {
        self.shards.get(hash)
    }
}
