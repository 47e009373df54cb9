//! Which engines hold which prompt prefixes, as far as cache events tell.
//!
//! Events come late and with gaps. A gap makes an engine's entries doubtful until new events
//! confirm them; the view is advice for the choice of upstream and never decides alone.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::arena::Key;
use crate::upstream::Upstream;

const MAX_HOLDERS: usize = 4;
const MAX_PREFIXES: usize = 65_536;

type Holder = Key<Upstream>;

/// Holders by prefix hash, in bounded memory.
#[derive(Debug, Default)]
pub struct Index {
    holders: BTreeMap<u64, Vec<Holder>>,
    insertion_order: VecDeque<u64>,
    last_sequence: BTreeMap<Holder, u64>,
}

impl Index {
    /// Takes a cache event in.
    pub fn apply_event(&mut self, holder: Holder, sequence: u64, added: &[u64], evicted: &[u64]) {
        let last = self.last_sequence.insert(holder, sequence);
        let gap = last.is_some_and(|l| sequence > l + 1);
        if gap {
            // A lost event may have been an eviction: what was known of this engine is dropped,
            // or requests would queue there for a prefix that is gone.
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

    /// Notes that `holder` is about to compute `prefix`.
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

    /// Drops everything known of `holder`.
    pub fn remove_holder(&mut self, holder: Holder) {
        for list in self.holders.values_mut() {
            list.retain(|h| *h != holder);
        }
    }

    /// Engines that hold the longest known prefix of `prefixes` (shortest first).
    pub fn holders(&self, prefixes: &[u64]) -> &[Holder] {
        let known = prefixes.iter().rev().filter_map(|p| self.holders.get(p));
        known.into_iter().find(|l| !l.is_empty()).map_or(&[], Vec::as_slice)
    }
}
