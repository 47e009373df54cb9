//! Logs and counts changes of engines' paces and of the pools that grow for inversions.

use crate::clock;
use crate::log::Line;
use crate::shared::Shared;

/// Logs and counts the changes since the last call.
pub fn log_changes(shared: &Shared) {
    let published = shared.gateway.borrow_mut().take_published();
    for change in published {
        shared.metrics.count("pace_changes_total", String::new());
        let line = Line::new("pace_changed").with("replica", change.replica);
        shared.log(line.with("class", change.class).with("gap_ms", change.class.gap_ms() as u64));
    }
    let inversions = shared.gateway.borrow_mut().take_inversions();
    for (service, change) in inversions {
        shared.metrics.count("pool_steps_total", format!("service=\"{service}\""));
        let line = Line::new("pool_steps_changed").with("service", service);
        let shares = change.shares.iter().map(|(rank, share)| format!("{rank}:{share:.2}"));
        let shares: Vec<String> = shares.collect();
        shared.log(line.with("steps", change.steps).with("on_time", shares.join(",")));
    }
    count_results(shared);
}

/// Counts the streams that ended since the last call.
fn count_results(shared: &Shared) {
    let ended = shared.gateway.borrow_mut().take_results();
    for ((service, rank), results) in ended {
        let add = |result: &str, streams: f64| {
            let labels = format!("service=\"{service}\",rank=\"{rank}\",result=\"{result}\"");
            shared.metrics.add("streams_ended_total", labels, streams as u64);
        };
        add("on_time", results.on_time);
        add("late", results.ended - results.on_time);
    }
}

/// Gauges of the steps by which pools grow and of the shares on time by rank in percent, as the
/// decider states them.
pub fn gauges(shared: &Shared) -> Vec<(String, u64)> {
    let gateway = shared.gateway.borrow();
    let mut gauges = Vec::new();
    for record in gateway.inversions(clock::now()) {
        let Some(service) = gateway.service_name(record.service) else {
            continue;
        };
        gauges.push((format!("pool_steps{{service=\"{service}\"}}"), u64::from(record.steps)));
        for (rank, percent) in record.on_time_percent {
            let labels = format!("service=\"{service}\",rank=\"{rank}\"");
            gauges.push((format!("on_time_percent{{{labels}}}"), u64::from(percent)));
        }
    }
    gauges
}
