//! Tracks which engines hold which prompt prefixes, by their cache events.
//!
//! Events arrive late and some are lost. After a lost event all entries of the engine are dropped
//! until new events confirm them. The index is only one input to the choice of an upstream.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::arena::Key;
use crate::upstream::Upstream;

/// Upper bound on holders of one prefix.
const MAX_HOLDERS: usize = 4;
/// Upper bound on tracked prefixes.
const MAX_PREFIXES: usize = 65_536;

type Holder = Key<Upstream>;

/// Holders by prefix hash. Beyond the upper bound, the prefix that was added first is removed.
#[derive(Debug, Default)]
pub struct Index {
    holders: BTreeMap<u64, Vec<Holder>>,
    insertion_order: VecDeque<u64>,
    /// Number of the last event of each engine.
    last_sequence: BTreeMap<Holder, u64>,
}

impl Index {
    /// Applies a cache event of an engine.
    pub fn apply_event(&mut self, holder: Holder, sequence: u64, added: &[u64], evicted: &[u64]) {
        let last = self.last_sequence.insert(holder, sequence);
        let gap = last.is_some_and(|l| sequence > l + 1);
        if gap {
            // The lost event may have been an eviction, and requests would queue at the engine for
            // a prefix that it no longer holds.
            self.remove_holder(holder);
        }
        for &prefix in evicted {
            if let Some(list) = self.holders.get_mut(&prefix) {
                list.retain(|h| *h != holder);
            }
        }
        for &prefix in added {
            self.add(holder, prefix);
        }
    }

    /// Records that `holder` has `prefix` or is about to compute it.
    pub fn add(&mut self, holder: Holder, prefix: u64) {
        let list = match self.holders.get_mut(&prefix) {
            Some(list) => list,
            None => {
                if self.insertion_order.len() >= MAX_PREFIXES
                    && let Some(oldest) = self.insertion_order.pop_front()
                {
                    self.holders.remove(&oldest);
                }
                self.insertion_order.push_back(prefix);
                self.holders.entry(prefix).or_default()
            }
        };
        if list.contains(&holder) {
            return;
        }
        if list.len() >= MAX_HOLDERS {
            list.remove(0);
        }
        list.push(holder);
    }

    /// Removes all entries of `holder`.
    pub fn remove_holder(&mut self, holder: Holder) {
        for list in self.holders.values_mut() {
            list.retain(|h| *h != holder);
        }
    }

    /// Engines that hold the longest of `prefixes` that any engine holds; `prefixes` are ordered
    /// from short to long.
    pub fn holders(&self, prefixes: &[u64]) -> &[Holder] {
        let known = prefixes.iter().rev().filter_map(|p| self.holders.get(p));
        known.into_iter().find(|l| !l.is_empty()).map_or(&[], Vec::as_slice)
    }
}
