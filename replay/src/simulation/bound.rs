//! Upper bound on the goodput of a trace.

use std::collections::BTreeMap;

use crate::site::Site;
use crate::trace::Record;

/// Returns an upper bound on the output tokens that the engines can generate for a trace.
///
/// The bound assumes one queue for all slots of a group, no idle slot while requests wait, and
/// requests that are dropped only when the longest patience of the group's classes ends.
pub fn max_goodput(site: &Site, trace: &[Record]) -> u64 {
    /// Resolution of the computation.
    const SLICE_MS: u64 = 10;
    let mut total = 0.0;
    for group in site.group.iter().filter(|g| g.model.is_some()) {
        let classes = site.class.iter().enumerate().filter(|(_, c)| c.group == group.name);
        let classes: BTreeMap<usize, u64> = classes.map(|(i, c)| (i, c.patience_ms)).collect();
        let patience = classes.values().copied().max().unwrap_or(0) as f64;
        let slots = group.replicas as f64 * f64::from(group.slots);
        let per_ms = slots * 1000.0 / site.step_us as f64;
        let mut offered: BTreeMap<u64, f64> = BTreeMap::new();
        for r in trace.iter().filter(|r| classes.contains_key(&r.class)) {
            *offered.entry(r.at_ms / SLICE_MS).or_default() += f64::from(r.output);
        }
        let last = offered.keys().next_back().copied().unwrap_or(0);
        let mut waiting = 0.0;
        for slice in 0..=last + 100_000 / SLICE_MS {
            waiting += offered.get(&slice).copied().unwrap_or(0.0);
            let served = f64::min(waiting, per_ms * SLICE_MS as f64);
            total += served;
            waiting = f64::min(waiting - served, per_ms * patience);
        }
    }
    total as u64
}
