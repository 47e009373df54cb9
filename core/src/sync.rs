//! Tracks the configuration version in force and the shards of a newer one.
//!
//! A root names its shards by content hash. A newer root is pending until all of its shards have
//! arrived and is then applied as a whole. A root that is not newer is ignored, so no stale read,
//! peer or restarted router brings an older version back.

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
/// Key of the list of the routers in the key-value service.
pub const ROSTER_KEY: &str = "laburnumwheel/roster";
/// Key of the platform's list of leaving hosts: a JSON array of upstream names.
pub const LEAVING_HOSTS_KEY: &str = "platform/hosts/leaving";

/// The configuration version in force, the pending one, and their shards.
#[derive(Debug, Default)]
pub struct Versions {
    root: Root,
    previous: Root,
    pending: Option<Root>,
    shards: BTreeMap<Hash, Bytes>,
}

/// Result of an attempt to apply the pending configuration.
#[derive(Debug)]
pub enum Step {
    /// No configuration is pending, or shards of it are missing.
    Wait,
    /// This configuration is now in force.
    Apply(Config),
    /// The shards of this version can't be decoded; the version in force is unchanged.
    Reject(u64, shard::Error),
}

impl Versions {
    /// The root in force; version 0 before the first one.
    pub fn root(&self) -> &Root {
        &self.root
    }

    /// The newest version received, whether pending or in force.
    pub fn newest_version(&self) -> u64 {
        self.pending.as_ref().map_or(self.root.version, |p| p.version)
    }

    /// Makes `root` the pending one; `false` if it is not newer than all earlier ones.
    pub fn offer(&mut self, root: Root) -> bool {
        if root.version <= self.newest_version() {
            return false;
        }
        self.pending = Some(root);
        true
    }

    /// Makes `root`, which was just read from the key-value service, the pending one; `false` if it is
    /// not newer than the one in force, or is pending already.
    ///
    /// Unlike the root of a peer, the stored one replaces a pending root of a later version: another
    /// writer may have left that one, and its shards may not exist.
    pub fn offer_stored(&mut self, root: Root) -> bool {
        if root.version <= self.root.version || self.pending.as_ref() == Some(&root) {
            return false;
        }
        self.pending = Some(root);
        true
    }

    /// Hashes of the shards that the pending root still lacks.
    pub fn missing_shards(&self) -> Vec<Hash> {
        let required = self.pending.iter().flat_map(|p| p.shards.values());
        required.filter(|h| !self.shards.contains_key(*h)).cloned().collect()
    }

    /// Stores a shard if the pending root names it.
    pub fn add_shard(&mut self, content: Bytes) {
        let hash = shard::hash(&content);
        let is_required =
            self.pending.as_ref().is_some_and(|p| p.shards.values().any(|h| *h == hash));
        if is_required {
            self.shards.insert(hash, content);
        }
    }

    /// Puts the pending root in force if all of its shards are stored.
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
                let used: std::collections::BTreeSet<&Hash> = self.root.shards.values().collect();
                self.shards.retain(|h, _| used.contains(h));
                Step::Apply(config)
            }
            Err(e) => Step::Reject(root.version, e),
        }
    }

    /// The change from version `have` to the root in force; the whole root if `have` is not the
    /// previous version.
    pub fn change_since(&self, have: u64) -> Change {
        let is_previous = have != 0 && have == self.previous.version;
        let old = if is_previous { self.previous.clone() } else { Root::default() };
        self.root.change_from(&old)
    }

    /// The root that results from a peer's change, if the change applies to the root in force.
    pub fn root_after(&self, change: &Change) -> Option<Root> {
        self.root.apply(change)
    }

    /// The content of a stored shard.
    pub fn find_shard(&self, hash: &str) -> Option<&Bytes> {
        self.shards.get(hash)
    }
}
