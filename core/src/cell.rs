//! Cells: which routers serve which group, in a large fleet.
//!
//! If every router used every replica, each would tell its demand to all others, and a replica's
//! slots would be cut into slivers. In a fleet over [`MAX_ROUTERS_WITHOUT_CELLS`], the routers
//! nearest to a group by rendezvous hashing are its cell, in number by the group's part of all
//! slots. Callers are sent
//! to the cell of their model, and demand stays within it. A router outside still serves who comes
//! to it, with one slot.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config::GroupKey;
use crate::rendezvous;

/// Up to this many routers, all serve everything.
pub const MAX_ROUTERS_WITHOUT_CELLS: usize = 16;
/// Least routers of a cell.
const LEAST: usize = 12;
/// Routers of a cell, as a multiple of its group's part of the fleet.
const SPARE: f64 = 1.5;

/// A group as far as its cell depends on it.
#[derive(Clone, Debug)]
pub struct Group {
    /// Key.
    pub key: GroupKey,
    /// Name.
    pub name: String,
    /// Configured slots of all its replicas.
    pub slots: u32,
}

/// Cells by group; a group without one is served by all.
#[derive(Debug, Default)]
pub struct Cells {
    routers: BTreeMap<GroupKey, BTreeSet<String>>,
}

impl Cells {
    /// Computes the cells of `groups` among `routers`.
    pub fn new(groups: &[Group], routers: &[&str]) -> Cells {
        let mut cells = Cells::default();
        if routers.len() <= MAX_ROUTERS_WITHOUT_CELLS {
            return cells;
        }
        let total: f64 = groups.iter().map(|g| f64::from(g.slots)).sum();
        for group in groups {
            let part = f64::from(group.slots) / total.max(1.0);
            let size = (routers.len() as f64 * part * SPARE).ceil() as usize;
            let mut near: Vec<(f64, &str)> =
                routers.iter().map(|r| (rendezvous::distance(&group.name, r, 1.0), *r)).collect();
            near.sort_by(|a, b| a.0.total_cmp(&b.0));
            let nearest = near.into_iter().take(size.max(LEAST));
            cells.routers.insert(group.key, nearest.map(|(_, r)| r.to_owned()).collect());
        }
        cells
    }

    /// Whether a router serves the group.
    pub fn serves(&self, group: GroupKey, router: &str) -> bool {
        self.routers.get(&group).is_none_or(|cell| cell.contains(router))
    }

    /// Groups that a router serves; `None` if it serves all.
    pub fn groups_of(&self, router: &str) -> Option<BTreeSet<GroupKey>> {
        if self.routers.is_empty() {
            return None;
        }
        let mine = self.routers.iter().filter(|(_, cell)| cell.contains(router));
        Some(mine.map(|(key, _)| *key).collect())
    }

    /// All routers of these groups' cells.
    pub fn routers(&self, groups: &BTreeSet<GroupKey>) -> BTreeSet<&str> {
        let cells = groups.iter().filter_map(|g| self.routers.get(g));
        cells.flatten().map(String::as_str).collect()
    }
}
