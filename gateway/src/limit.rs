//! Limits of replicas: logs their changes.

use laburnumwheel_core::gateway::limit::Change;

use crate::log::Line;
use crate::shared::Shared;

/// Logs a change of a replica's limit; `source` says how this gateway learned of it.
pub fn log_change(shared: &Shared, replica: &str, source: &str, change: Change) {
    let rate = |rate: Option<f64>| rate.map_or("none".to_owned(), |rate| rate.to_string());
    let line = Line::new("replica_limit")
        .with("replica", replica)
        .with("from", source)
        .with("before", rate(change.before))
        .with("after", rate(change.after));
    shared.log(line);
    shared.metrics.count("limit_changes_total", format!("from=\"{source}\""));
}
