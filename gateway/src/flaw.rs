//! Logs malformed entries of the store once, not at each read.
//!
//! Other programs write to the store too. A malformed entry must not affect the others: a read that
//! finds malformed entries is valid, and each of them is logged and counted when it appears or when
//! its flaw changes.

use std::cell::RefCell;
use std::collections::BTreeMap;

use derive_more::Display;

use crate::log::Line;
use crate::shared::Shared;

/// Upper bound on tracked malformed entries; only the number of further ones is logged.
const MAX_TRACKED: usize = 64;

/// Kind of entry that is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum Subject {
    /// The configuration.
    Configuration,
    /// A replica.
    Replica,
    /// A gateway.
    Gateway,
    /// Records of the quarantine.
    Quarantine,
}

/// Kind of flaw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum Kind {
    /// The bytes can't be decoded.
    Bytes,
    /// A field is missing or has the wrong type.
    Field,
    /// The address is malformed.
    Address,
    /// The state is unknown.
    State,
    /// The configuration does not name the service.
    Service,
    /// The key is not a valid identity, or belongs to another entry.
    Key,
}

/// A malformed entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flaw {
    /// Kind of entry.
    pub subject: Subject,
    /// Key of the entry.
    pub key: String,
    /// Kind of flaw.
    pub kind: Kind,
}

/// Malformed entries that have been logged.
#[derive(Debug, Default)]
pub struct Tracker {
    flaws: BTreeMap<(Subject, String), Kind>,
    /// Whether the last read found more malformed entries than are tracked.
    has_untracked: bool,
}

/// Differences between the flaws of one read and those of the read before.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Flaws that are new, or of another kind than before.
    pub appeared: Vec<Flaw>,
    /// Flaws of entries that are readable again, or deleted.
    pub resolved: Vec<Flaw>,
    /// Number of entries beyond the tracked ones; given only when the limit is first exceeded.
    pub untracked: Option<usize>,
}

impl Tracker {
    /// Replaces the tracked flaws with those of a successful read; returns the changes to log.
    pub fn update(&mut self, found: &[Flaw]) -> Changes {
        let mut current: BTreeMap<(Subject, String), Kind> =
            found.iter().map(|f| ((f.subject, f.key.clone()), f.kind)).collect();
        let count = current.len();
        // The tracked entries are always the first in key order. If the choice varied between
        // reads, unchanged entries would be logged again and again.
        if let Some((cut, _)) = current.iter().nth(MAX_TRACKED) {
            let cut = cut.clone();
            current.split_off(&cut);
        }
        let untracked = (count > MAX_TRACKED && !self.has_untracked).then(|| count - MAX_TRACKED);
        self.has_untracked = count > MAX_TRACKED;
        let appeared = differing(&current, &self.flaws, |before, kind| before != Some(kind));
        let resolved = differing(&self.flaws, &current, |after, _| after.is_none());
        self.flaws = current;
        Changes { appeared, resolved, untracked }
    }
}

fn differing(
    of: &BTreeMap<(Subject, String), Kind>,
    others: &BTreeMap<(Subject, String), Kind>,
    differs: impl Fn(Option<Kind>, Kind) -> bool,
) -> Vec<Flaw> {
    of.iter()
        .filter(|(name, kind)| differs(others.get(*name).copied(), **kind))
        .map(|((subject, key), kind)| Flaw { subject: *subject, key: key.clone(), kind: *kind })
        .collect()
}

/// Logs and counts the changes among the flaws of a successful read.
pub fn log_changes(shared: &Shared, tracker: &RefCell<Tracker>, found: &[Flaw]) {
    let changes = tracker.borrow_mut().update(found);
    for flaw in &changes.appeared {
        let label = format!("of=\"{}\",kind=\"{}\"", flaw.subject, flaw.kind);
        shared.metrics.count("entry_flaws_total", label);
        shared.log(line("entry_flawed", flaw).with("kind", flaw.kind));
    }
    for flaw in &changes.resolved {
        shared.log(line("entry_flaw_ended", flaw));
    }
    if let Some(count) = changes.untracked {
        shared.log(Line::new("entries_flawed_beyond").with("count", count));
    }
}

fn line(event: &str, flaw: &Flaw) -> Line {
    Line::new(event).with("of", flaw.subject).with("key", &flaw.key)
}
