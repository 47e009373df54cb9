//! Accepting a configuration: shards first, then one compare-and-swap of the root.
//!
//! The swap writes the root and its entry in the history together. A reply can be lost after the
//! write took effect; the history entry of the version tells by its operation id whose write it
//! was, even if a later change has replaced the root since.

use bytes::Bytes;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::config::shard;
use laburnumwheel_core::config::shard::Root;
use laburnumwheel_core::sync::ROOT_KEY;
use laburnumwheel_core::sync::SHARD_PREFIX;
use thiserror::Error;
use tonic::Status;

use crate::kv::Client;

/// Prefix of the keys of the history, followed by the version.
pub const HISTORY_PREFIX: &str = "laburnumwheel/config/history/";
const MAX_ATTEMPTS: usize = 5;

/// A change to be accepted.
#[derive(Clone, Debug)]
pub struct Change {
    /// The whole new configuration.
    pub config: Config,
    /// Names the change; unique.
    pub operation: String,
    /// Version that the change was made from, if its author says.
    pub expected: Option<u64>,
}

/// How a change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is this version.
    Accepted(u64),
    /// The version in force already has these contents.
    Unchanged(u64),
}

/// Why a change was not accepted.
#[derive(Debug, Error)]
pub enum Error {
    /// Somebody else's change came first.
    #[error(
        "conflict: expected version {expected}, found version {found} by operation {operation}; \
         it changed: {changed}"
    )]
    Conflict {
        /// Version this change was made from.
        expected: u64,
        /// Version found.
        found: u64,
        /// Operation of that version.
        operation: String,
        /// What differs between the two.
        changed: String,
    },
    /// The service did not answer; whether the change was accepted is not known.
    #[error("outcome unknown: the key-value service does not answer ({0}); operation {1}")]
    OutcomeUnknown(Status, String),
    /// The service did not answer before anything was accepted.
    #[error("the key-value service does not answer: {0}; nothing was accepted")]
    Unavailable(Status),
    /// The configuration can't be stored.
    #[error(transparent)]
    Shard(#[from] shard::Error),
    /// What the service holds is no root.
    #[error("the stored root can't be read: {0}")]
    MalformedRoot(serde_json::Error),
}

/// Key of a version in the history.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:020}")
}

/// Reads the root and its revision; the default root if there is none.
///
/// # Errors
///
/// [`Error::Unavailable`] or [`Error::MalformedRoot`].
pub async fn read_root(kv: &Client) -> Result<(Root, i64), Error> {
    read_root_at(kv, ROOT_KEY).await
}

/// Reads the root of an earlier version; the default root if there is none.
///
/// # Errors
///
/// [`Error::Unavailable`] or [`Error::MalformedRoot`].
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

/// Reads the configuration that `root` names.
///
/// # Errors
///
/// [`Error::Unavailable`], or [`Error::Shard`] if a shard is missing or broken.
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

/// Has a change accepted.
///
/// # Errors
///
/// [`Error::Conflict`] if another change came first; [`Error::OutcomeUnknown`] only when the service
/// stays out of reach after the swap was sent.
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
    let new = Root {
        version: old.version + 1,
        operation: change.operation.clone(),
        shards: shards.parts,
    };
    swap_root(kv, &old, revision, &new).await
}

async fn swap_root(kv: &Client, old: &Root, revision: i64, new: &Root) -> Result<Outcome, Error> {
    let text = serde_json::to_vec(new).map_err(Error::MalformedRoot)?;
    let value = Bytes::from(text);
    let values = vec![(ROOT_KEY.to_owned(), value.clone()), (history_key(new.version), value)];
    let mut lost = None;
    for _ in 0..MAX_ATTEMPTS {
        // Sending the same swap again is safe: it applies only to the revision read above.
        match kv.compare_and_swap_all(ROOT_KEY, revision, values.clone()).await {
            Ok(Some(_)) => return Ok(Outcome::Accepted(new.version)),
            Ok(None) => {
                let Ok(stored) = read_past_root(kv, new.version).await else {
                    continue;
                };
                if stored.operation == new.operation {
                    // An earlier try took effect and its reply was lost.
                    return Ok(Outcome::Accepted(new.version));
                }
                let (found, _) = read_root(kv).await?;
                return Err(conflict_error(kv, old.version, old, &found).await);
            }
            Err(status) => lost = Some(status),
        }
    }
    let status = lost.unwrap_or_else(|| Status::unavailable("no answer"));
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

/// Names of the entries that differ between two configurations.
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
