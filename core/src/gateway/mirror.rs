//! A copy of the store's items that is kept up to date by their changes.
//!
//! Reading a large store again and again takes many calls and megabytes each time. A copy that was
//! read once needs only the changes since the revision that it reflects. Whether it is complete is
//! proved separately: by the store's current revision, which the copy must have reached.

use std::collections::BTreeMap;

/// Pages of a read up to which reading everything again takes no more calls than the two that
/// changes take.
const MAX_PAGES_REREAD: usize = 2;
/// Consecutive failures to read changes after which everything is read again.
const MAX_FAILURES: u32 = 3;

/// A change of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change<T> {
    /// Key of the item.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// New value; `None` if the item was removed.
    pub value: Option<T>,
}

/// Items by their keys, as of one revision of the store.
#[derive(Clone, Debug)]
pub struct Mirror<T> {
    items: BTreeMap<String, (u64, T)>,
    /// Revision whose changes, and all earlier ones, the items include; `None` before the first
    /// page.
    as_of: Option<u64>,
    era: u64,
    pages: usize,
    failures: u32,
}

impl<T> Mirror<T> {
    /// An empty copy, for a read in this era of the store.
    pub fn new(era: u64) -> Mirror<T> {
        Mirror { items: BTreeMap::new(), as_of: None, era, pages: 0, failures: 0 }
    }

    /// Adds a page of a read of everything, which the store answered at revision `as_of`.
    ///
    /// The pages of a read are not a snapshot, so the copy only includes all changes up to the
    /// revision of the first page.
    pub fn add_page(&mut self, as_of: u64) {
        self.as_of.get_or_insert(as_of);
        self.pages += 1;
    }

    /// Adds an item that was read at this revision of its own.
    pub fn insert(&mut self, key: String, revision: u64, value: T) {
        self.items.insert(key, (revision, value));
    }

    /// Revision from which on changes suffice in this era of the store; `None` if everything must
    /// be read.
    pub fn position(&self, era: u64) -> Option<u64> {
        let usable =
            self.era == era && self.pages > MAX_PAGES_REREAD && self.failures < MAX_FAILURES;
        self.as_of.filter(|_| usable)
    }

    /// Applies changes that the store listed at revision `as_of`, oldest first. Changes that a
    /// later page already included are ignored.
    pub fn apply(&mut self, changes: Vec<Change<T>>, as_of: u64) {
        for Change { key, revision, value } in changes {
            if self.items.get(&key).is_some_and(|(known, _)| *known >= revision) {
                continue;
            }
            match value {
                Some(value) => self.items.insert(key, (revision, value)),
                None => self.items.remove(&key),
            };
        }
        self.as_of = self.as_of.max(Some(as_of));
        self.failures = 0;
    }

    /// Records that changes could not be read.
    pub fn record_failure(&mut self) {
        self.failures += 1;
    }

    /// Records that everything could not be read either. Then changes are tried again first: a store
    /// that loses a third of its answers completes a read of two calls long before one of fifty.
    pub fn record_reread_failure(&mut self) {
        self.failures = self.failures.min(MAX_FAILURES - 1);
    }

    /// All items with their revisions, by key.
    pub fn items(&self) -> impl Iterator<Item = (&str, u64, &T)> {
        self.items.iter().map(|(key, (revision, value))| (key.as_str(), *revision, value))
    }
}
