//! Publishes a configuration: writes its shards, then replaces the root by compare-and-swap.
//!
//! The swap writes the root and its history entry together. If the reply is lost, the operation id
//! in the history entry shows whether the write took effect, even if a later change has replaced
//! the root since.

use bytes::Bytes;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::config::shard;
use laburnumwheel_core::config::shard::Root;
use laburnumwheel_core::sync::ROOT_KEY;
use laburnumwheel_core::sync::SHARD_PREFIX;
use serde::de::Error as _;
use thiserror::Error;
use tonic::Status;

use crate::kv::Client;

/// Prefix of the history keys; the version follows.
pub const HISTORY_PREFIX: &str = "laburnumwheel/config/history/";
/// Attempts to replace the root before the outcome is reported as unknown.
const MAX_ATTEMPTS: usize = 5;

/// A change of the configuration.
#[derive(Clone, Debug)]
pub struct Change {
    /// The complete new configuration.
    pub config: Config,
    /// Unique id of the change.
    pub operation: String,
    /// Version that the change is based on, if its author states one.
    pub expected: Option<u64>,
}

/// Result of a change that did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change was accepted as this version.
    Accepted(u64),
    /// This version is in force and already has the same contents.
    Unchanged(u64),
}

/// Why a change was not accepted.
#[derive(Debug, Error)]
pub enum Error {
    /// Another change was accepted first.
    #[error(
        "conflict: expected version {expected}, found version {found} by operation {operation}; \
         it changed: {changed}"
    )]
    Conflict {
        /// Version that this change is based on.
        expected: u64,
        /// Version in force.
        found: u64,
        /// Id of the operation that created the version in force.
        operation: String,
        /// Names of the entries that differ between the two versions.
        changed: String,
    },
    /// The service did not respond; the change may have been accepted.
    #[error("outcome unknown: the key-value service does not answer ({0}); operation {1}")]
    OutcomeUnknown(Status, String),
    /// The service did not respond; the change was not accepted.
    #[error("the key-value service does not answer: {0}; nothing was accepted")]
    Unavailable(Status),
    /// The configuration can't be stored.
    #[error(transparent)]
    Shard(#[from] shard::Error),
    /// The stored root could not be decoded.
    #[error("the stored root can't be read: {0}")]
    MalformedRoot(serde_json::Error),
}

/// Returns the history key of a version.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:020}")
}

/// Reads the root and its revision; without a stored root, the default root and revision 0.
///
/// # Errors
///
/// Returns [`Error::Unavailable`] or [`Error::MalformedRoot`].
pub async fn read_root(kv: &Client) -> Result<(Root, i64), Error> {
    read_root_at(kv, ROOT_KEY).await
}

/// Reads the root of a version from the history; the default root if there is none.
///
/// # Errors
///
/// Returns [`Error::Unavailable`] or [`Error::MalformedRoot`].
pub async fn read_past_root(kv: &Client, version: u64) -> Result<Root, Error> {
    Ok(read_root_at(kv, &history_key(version)).await?.0)
}

async fn read_root_at(kv: &Client, key: &str) -> Result<(Root, i64), Error> {
    match kv.get(key).await.map_err(Error::Unavailable)? {
        None => Ok((Root::default(), 0)),
        Some((value, revision)) => {
            let root = serde_json::from_slice(&value).map_err(Error::MalformedRoot)?;
            Ok((root, revision))
        }
    }
}

/// Reads the configuration whose shards `root` lists.
///
/// # Errors
///
/// Returns [`Error::Unavailable`], or [`Error::Shard`] if a shard is missing or malformed.
pub async fn read_config(kv: &Client, root: &Root) -> Result<Config, Error> {
    let mut contents = std::collections::BTreeMap::new();
    for hash in root.shards.values() {
        let key = format!("{SHARD_PREFIX}{hash}");
        if let Some((value, _)) = kv.get(&key).await.map_err(Error::Unavailable)? {
            contents.insert(hash.clone(), value);
        }
    }
    Ok(shard::join(root, &contents)?)
}

/// Publishes a change.
///
/// # Errors
///
/// Returns [`Error::Conflict`] if another change was accepted first, and [`Error::OutcomeUnknown`]
/// only if the service stays unreachable after the swap was sent.
pub async fn apply(kv: &Client, change: &Change) -> Result<Outcome, Error> {
    let (old, revision) = read_root(kv).await?;
    if let Some(expected) = change.expected
        && expected != old.version
    {
        let before = read_past_root(kv, expected).await?;
        return Err(conflict_error(kv, expected, &before, &old).await);
    }
    let shards = shard::split(&change.config)?;
    if old.version > 0 && shards.parts == old.shards {
        return Ok(Outcome::Unchanged(old.version));
    }
    let known: std::collections::BTreeSet<_> = old.shards.values().collect();
    for (hash, content) in shards.contents.iter().filter(|(h, _)| !known.contains(h)) {
        let key = format!("{SHARD_PREFIX}{hash}");
        kv.put(&key, content.clone()).await.map_err(Error::Unavailable)?;
    }
    let too_large = || Error::MalformedRoot(serde_json::Error::custom("version is too large"));
    let new = Root {
        version: old.version.checked_add(1).ok_or_else(too_large)?,
        operation: change.operation.clone(),
        shards: shards.parts,
    };
    swap_root(kv, &old, revision, &new).await
}

async fn swap_root(kv: &Client, old: &Root, revision: i64, new: &Root) -> Result<Outcome, Error> {
    let text = serde_json::to_vec(new).map_err(Error::MalformedRoot)?;
    let value = Bytes::from(text);
    let values = vec![(ROOT_KEY.to_owned(), value.clone()), (history_key(new.version), value)];
    let mut last_error = None;
    for _ in 0..MAX_ATTEMPTS {
        // Resending the swap is safe, since it applies only to the revision that was read.
        match kv.compare_and_swap_all(ROOT_KEY, revision, values.clone()).await {
            Ok(Some(_)) => return Ok(Outcome::Accepted(new.version)),
            Ok(None) => {
                let Ok(stored) = read_past_root(kv, new.version).await else {
                    continue;
                };
                if stored.operation == new.operation {
                    // An earlier attempt took effect, but its reply was lost.
                    return Ok(Outcome::Accepted(new.version));
                }
                let (found, _) = read_root(kv).await?;
                return Err(conflict_error(kv, old.version, old, &found).await);
            }
            Err(status) => last_error = Some(status),
        }
    }
    let status = last_error.unwrap_or_else(|| Status::unavailable("no answer"));
    Err(Error::OutcomeUnknown(status, new.operation.clone()))
}

async fn conflict_error(kv: &Client, expected: u64, before: &Root, found: &Root) -> Error {
    let changed = match (read_config(kv, before).await, read_config(kv, found).await) {
        (Ok(a), Ok(b)) => describe_difference(&a, &b),
        _ => "unknown".to_owned(),
    };
    let operation = found.operation.clone();
    Error::Conflict { expected, found: found.version, operation, changed }
}

/// Lists the kinds and names of the entries that differ between two configurations.
pub fn describe_difference(a: &Config, b: &Config) -> String {
    let mut names = Vec::new();
    names.extend(find_differing("class", &a.classes, &b.classes, |c| &c.name));
    names.extend(find_differing("group", &a.groups, &b.groups, |g| &g.name));
    names.extend(find_differing("upstream", &a.upstreams, &b.upstreams, |u| &u.name));
    names.extend(find_differing("organisation", &a.organisations, &b.organisations, |o| &o.name));
    if names.is_empty() { "nothing".to_owned() } else { names.join(", ") }
}

fn find_differing<T: PartialEq>(
    kind: &str,
    a: &[T],
    b: &[T],
    name: impl Fn(&T) -> &String,
) -> Vec<String> {
    let by_name = |list| -> std::collections::BTreeMap<String, &T> {
        let list: &[T] = list;
        list.iter().map(|t| (name(t).clone(), t)).collect()
    };
    let (a, b) = (by_name(a), by_name(b));
    let keys: std::collections::BTreeSet<_> = a.keys().chain(b.keys()).collect();
    let differing = keys.into_iter().filter(|k| a.get(*k) != b.get(*k));
    differing.map(|k| format!("{kind} {k}")).collect()
}
