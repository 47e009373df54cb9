//! Formats the results of replays as tables and compares them with the required outcomes of a site.

use crate::caller::End;
use crate::simulation::Results;
use crate::site::Site;

/// Returns the rows of a table with a header and one row for each class.
pub fn rows(site: &Site, results: &Results) -> Vec<Vec<String>> {
    let head = [
        "class",
        "sent",
        "whole",
        "attained",
        "first p95 ms",
        "longest ms",
        "not_run",
        "unknown",
        "incomplete",
        "gave up",
        "broken",
        "least/window",
    ];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    for (class, tally) in site.class.iter().zip(&results.tallies) {
        let count = |end| tally.count(end).to_string();
        rows.push(vec![
            class.name.clone(),
            tally.sent.to_string(),
            count(End::Whole),
            format!("{:.2}%", tally.attainment()),
            format!("{:.0}", quantile(&tally.first_token, 0.95) as f64 / 1000.0),
            format!("{:.0}", tally.max_first_token as f64 / 1000.0),
            count(End::NotRun),
            count(End::Unknown),
            count(End::Incomplete),
            count(End::GaveUp),
            count(End::Broken),
            tally.windows.iter().min().copied().unwrap_or(0).to_string(),
        ]);
    }
    rows
}

/// Returns a quantile of `values`: the value that a `fraction` of them lies below.
pub fn quantile(values: &[u64], fraction: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() as f64 * fraction) as usize;
    sorted.get(rank.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}

/// Returns the line below the table.
pub fn summary(results: &Results) -> String {
    let sum =
        |f: fn(&laburnumwheel_core::stats::Stats) -> u64| results.stats.iter().map(f).sum::<u64>();
    format!(
        "goodput {} of {} best ({:.1}%), wasted {:.2}%, retries {}, preemptions {}, stalls {}, \
         broken promises {:?}",
        results.goodput,
        results.max_goodput,
        results.goodput_percent(),
        results.wasted_percent(),
        sum(|s| s.retries),
        sum(|s| s.preemptions),
        sum(|s| s.stalls),
        results.broken,
    )
}

/// Returns the required outcomes that were not reached.
///
/// With `faulty`, the limit of wasted tokens is the one for faults, and goodput is not checked.
pub fn missed(site: &Site, results: &Results, faulty: bool) -> Vec<String> {
    let aims = &site.outcomes;
    let mut missed = Vec::new();
    if results.broken.total() > 0 {
        missed.push(format!("broken promises: {:?}", results.broken));
    }
    for (class, tally) in site.class.iter().zip(&results.tallies) {
        let attainment = tally.attainment();
        if class.protected && attainment < aims.protected_attainment {
            let aim = aims.protected_attainment;
            missed.push(format!("{}: attainment {attainment:.2}%, aim {aim}%", class.name));
        }
        if tally.windows.contains(&0) {
            let windows = &tally.windows;
            missed.push(format!("{}: starved in a window of the burst {windows:?}", class.name));
        }
    }
    if !faulty && results.goodput_percent() < aims.goodput {
        missed.push(format!("goodput {:.1}%, aim {}%", results.goodput_percent(), aims.goodput));
    }
    let wasted = if faulty { aims.wasted_faulty } else { aims.wasted };
    if results.wasted_percent() > wasted {
        missed.push(format!("wasted {:.2}%, aim {wasted}%", results.wasted_percent()));
    }
    missed
}
