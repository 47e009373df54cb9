//! Stored form of a configuration: immutable shards under their content hashes, and a small root
//! that references them.
//!
//! 18,000 organisations do not fit into one value of the key-value service, and a change of one
//! organisation must not make every router fetch the whole configuration. Organisations are
//! distributed over shards by a hash of their name, so such a change rewrites one shard.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::Config;
use super::Organisation;
use crate::rendezvous;

/// Number of shards over which organisations are distributed.
pub const ORG_SHARD_COUNT: u32 = 1024;

/// Largest value that the key-value service accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Content hash of a shard: the first 128 bits of its BLAKE3 hash, in hexadecimal.
pub type Hash = String;

/// Root of a configuration version, which is accepted when its compare-and-swap succeeds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Version, 1 for the first; each accepted change adds one.
    pub version: u64,
    /// Identifies the change, so that its author can tell whether it was accepted if the reply is
    /// lost.
    pub operation: String,
    /// Hashes of shards by part: part 0 has classes, groups and upstreams, the others
    /// organisations.
    pub shards: BTreeMap<u32, Hash>,
}

/// Difference between two roots, for a peer that has the older one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version of the older root; 0 if the change contains the whole newer root.
    pub from: u64,
    /// Version of the newer root.
    pub version: u64,
    /// Operation of the newer root.
    pub operation: String,
    /// Parts with a new or changed shard.
    pub set: BTreeMap<u32, Hash>,
    /// Parts whose shard was removed.
    pub unset: Vec<u32>,
}

impl Root {
    /// The change from `old` to this root.
    pub fn change_from(&self, old: &Root) -> Change {
        let set = self.shards.iter().filter(|(part, hash)| old.shards.get(part) != Some(hash));
        let removed = old.shards.keys().filter(|part| !self.shards.contains_key(part));
        Change {
            from: old.version,
            version: self.version,
            operation: self.operation.clone(),
            set: set.map(|(part, hash)| (*part, hash.clone())).collect(),
            unset: removed.copied().collect(),
        }
    }

    /// Applies `change` to this root; `None` if it starts from another version.
    pub fn apply(&self, change: &Change) -> Option<Root> {
        if change.from != 0 && change.from != self.version {
            return None;
        }
        let base = if change.from == 0 { BTreeMap::new() } else { self.shards.clone() };
        let mut shards = base;
        shards.retain(|part, _| !change.unset.contains(part));
        shards.extend(change.set.clone());
        Some(Root { version: change.version, operation: change.operation.clone(), shards })
    }
}

/// A configuration split into values for the key-value service.
#[derive(Clone, Debug)]
pub struct Shards {
    /// Hashes by part, as in [`Root::shards`].
    pub parts: BTreeMap<u32, Hash>,
    /// Contents by hash.
    pub contents: BTreeMap<Hash, Bytes>,
}

/// Errors of splitting a configuration into shards and joining them.
#[derive(Debug, Error)]
pub enum Error {
    /// A shard is larger than [`MAX_VALUE_BYTES`].
    #[error("a shard of {0} bytes is over the limit of {MAX_VALUE_BYTES}")]
    TooLarge(usize),
    /// A shard that the root references is missing.
    #[error("shard {0} is missing")]
    Missing(Hash),
    /// The content of a shard is invalid.
    #[error("shard {0} can't be decoded: {1}")]
    Decode(Hash, serde_json::Error),
    /// A shard can't be encoded.
    #[error("a shard can't be encoded: {0}")]
    Encode(#[from] serde_json::Error),
}

/// The content hash of `content`.
pub fn hash(content: &[u8]) -> Hash {
    blake3::hash(content).to_hex()[..32].to_owned()
}

/// Splits `config` into shards.
///
/// # Errors
///
/// [`Error::TooLarge`] if a shard does not fit into a value; [`Error::Encode`] if it can't be
/// encoded.
pub fn split(config: &Config) -> Result<Shards, Error> {
    let base = Config { organisations: Vec::new(), ..config.clone() };
    let mut parts: BTreeMap<u32, Vec<&Organisation>> = BTreeMap::new();
    for org in &config.organisations {
        let bucket = rendezvous::hash(&[org.name.as_bytes()]) % u64::from(ORG_SHARD_COUNT);
        parts.entry(bucket as u32 + 1).or_default().push(org);
    }
    let mut shards = Shards { parts: BTreeMap::new(), contents: BTreeMap::new() };
    shards.add(0, serde_json::to_vec(&base)?)?;
    for (part, orgs) in parts {
        shards.add(part, serde_json::to_vec(&orgs)?)?;
    }
    Ok(shards)
}

impl Shards {
    fn add(&mut self, part: u32, content: Vec<u8>) -> Result<(), Error> {
        if content.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(content.len()));
        }
        let name = hash(&content);
        self.parts.insert(part, name.clone());
        self.contents.insert(name, Bytes::from(content));
        Ok(())
    }
}

/// Joins the shards that `root` references into a configuration.
///
/// # Errors
///
/// [`Error::Missing`] or [`Error::Decode`] for the first shard that is missing or invalid.
pub fn join(root: &Root, contents: &BTreeMap<Hash, Bytes>) -> Result<Config, Error> {
    let mut config = Config::default();
    for (part, name) in &root.shards {
        let content = contents.get(name).ok_or_else(|| Error::Missing(name.clone()))?;
        let decode = |e| Error::Decode(name.clone(), e);
        if *part == 0 {
            let base: Config = serde_json::from_slice(content).map_err(decode)?;
            config = Config { organisations: config.organisations, ..base };
        } else {
            let part: Vec<Organisation> = serde_json::from_slice(content).map_err(decode)?;
            config.organisations.extend(part);
        }
    }
    Ok(config)
}
