//! Malformed entries of the store, logged once and not at each read.
//!
//! Other writers share the store. What they leave there, or spoil, must cost nothing but the entry
//! itself: a read that finds such entries is sound, and each of them is logged and counted when it
//! appears or its flaw changes.

use std::cell::RefCell;
use std::collections::BTreeMap;

use derive_more::Display;

use crate::log::Line;
use crate::shared::Shared;

/// Upper bound on tracked entries.
const MOST: usize = 64;

/// What an entry would have named.
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

/// What is wrong with an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum Kind {
    /// Its bytes can't be read.
    Bytes,
    /// A field is missing, or of another type.
    Field,
    /// Its address is none.
    Address,
    /// Its state is none that is known.
    State,
    /// Its service is none that the configuration names.
    Service,
    /// Its key can't be an identity, or is another's.
    Key,
}

/// A flawed entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flaw {
    /// What it would have named.
    pub subject: Subject,
    /// Its key.
    pub key: String,
    /// What is wrong with it.
    pub kind: Kind,
}

/// Malformed entries that have been logged.
#[derive(Debug, Default)]
pub struct Tracker {
    flaws: BTreeMap<(Subject, String), Kind>,
    /// There are more than are tracked, and that has been logged.
    has_untracked: bool,
}

/// How the flaws of one read differ from those of the read before.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Appeared, or of another kind than before.
    pub appeared: Vec<Flaw>,
    /// Readable again, or gone.
    pub resolved: Vec<Flaw>,
    /// Number of entries beyond the tracked ones, when there begin to be any.
    pub untracked: Option<usize>,
}

impl Tracker {
    /// Merges the malformed entries of a sound read; returns what to log.
    pub fn update(&mut self, found: &[Flaw]) -> Changes {
        let mut now: BTreeMap<(Subject, String), Kind> =
            found.iter().map(|f| ((f.subject, f.key.clone()), f.kind)).collect();
        let count = now.len();
        // Always the first in order, so that entries which stay are not logged in turn.
        if let Some((cut, _)) = now.iter().nth(MOST) {
            let cut = cut.clone();
            now.split_off(&cut);
        }
        let untracked = (count > MOST && !self.has_untracked).then(|| count - MOST);
        self.has_untracked = count > MOST;
        let appeared = differing(&now, &self.flaws, |before, kind| before != Some(kind));
        let resolved = differing(&self.flaws, &now, |after, _| after.is_none());
        self.flaws = now;
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

/// Logs and counts what is new among the flaws of a sound read.
pub fn log_changes(shared: &Shared, told: &RefCell<Tracker>, found: &[Flaw]) {
    let changes = told.borrow_mut().update(found);
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
