//! Assigns each group of a large fleet to a cell, a subset of the routers.
//!
//! If every router used every replica, each router would report its demand to all others, and their
//! shares of a replica would be smaller than a slot. In a fleet of more than
//! [`MAX_ROUTERS_WITHOUT_CELLS`] routers, the cell of a group consists of the routers nearest to it
//! by rendezvous hashing; its size follows the group's share of all slots. Callers are sent to the
//! cell of their model, and routers report demand only within cells. A router outside the cell
//! still serves callers that reach it, with one slot.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config::GroupKey;
use crate::rendezvous;

/// Largest number of routers of a fleet in which every router serves every group.
pub const MAX_ROUTERS_WITHOUT_CELLS: usize = 16;
/// Least number of routers in a cell.
const MIN_CELL_SIZE: usize = 12;
/// Size of a cell as a multiple of the group's share of the fleet.
const OVERPROVISIONING: f64 = 1.5;

/// Properties of a group that determine its cell.
#[derive(Clone, Debug)]
pub struct Group {
    /// Key of the group.
    pub key: GroupKey,
    /// Name of the group.
    pub name: String,
    /// Configured slots of all its replicas.
    pub slots: u32,
}

/// Cells by group; a group without a cell is served by all routers.
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
            let share = f64::from(group.slots) / total.max(1.0);
            let size = (routers.len() as f64 * share * OVERPROVISIONING).ceil() as usize;
            let mut by_distance: Vec<(f64, &str)> =
                routers.iter().map(|r| (rendezvous::distance(&group.name, r, 1.0), *r)).collect();
            by_distance.sort_by(|a, b| a.0.total_cmp(&b.0));
            let nearest = by_distance.into_iter().take(size.max(MIN_CELL_SIZE));
            cells.routers.insert(group.key, nearest.map(|(_, r)| r.to_owned()).collect());
        }
        cells
    }

    /// Whether `router` serves `group`.
    pub fn serves(&self, group: GroupKey, router: &str) -> bool {
        self.routers.get(&group).is_none_or(|cell| cell.contains(router))
    }

    /// Groups that `router` serves; `None` if it serves all.
    pub fn groups_of(&self, router: &str) -> Option<BTreeSet<GroupKey>> {
        if self.routers.is_empty() {
            return None;
        }
        let served = self.routers.iter().filter(|(_, cell)| cell.contains(router));
        Some(served.map(|(key, _)| *key).collect())
    }

    /// All routers in the cells of `groups`.
    pub fn routers(&self, groups: &BTreeSet<GroupKey>) -> BTreeSet<&str> {
        let cells = groups.iter().filter_map(|g| self.routers.get(g));
        cells.flatten().map(String::as_str).collect()
    }
}
