//! Counters and latency histograms, served as text.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use laburnumwheel_core::time::Span;

/// Upper bound on the latency series of routes, and on those of organisations; further names are
/// recorded as `other`.
const MAX_SERIES: usize = 64;
/// Upper bound of the latency histograms, in milliseconds.
const MAX_LATENCY_MS: u64 = 120_000;

type Latencies = BTreeMap<String, Histogram<u32>>;

#[derive(Debug, Default)]
struct Series {
    counters: BTreeMap<(&'static str, String), u64>,
    routes: Latencies,
    organisations: Latencies,
}

/// All metrics of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    series: RefCell<Series>,
}

impl Metrics {
    /// Adds one to the counter `name`; `labels` are in text form.
    pub fn count(&self, name: &'static str, labels: String) {
        self.add(name, labels, 1);
    }

    /// Adds `value` to the counter `name`; `labels` are in text form.
    pub fn add(&self, name: &'static str, labels: String, value: u64) {
        *self.series.borrow_mut().counters.entry((name, labels)).or_default() += value;
    }

    /// Counts a call of the store; `sound` says whether it succeeded.
    pub fn count_store_call(&self, call: &'static str, sound: bool) {
        self.count("store_calls_total", format!("call=\"{call}\",sound=\"{sound}\""));
    }

    /// Records the time from a call's arrival to its first event or complete response.
    pub fn record_latency(&self, route: &str, organisation: Option<&str>, took: Span) {
        let mut series = self.series.borrow_mut();
        record(&mut series.routes, route, took);
        if let Some(organisation) = organisation {
            record(&mut series.organisations, organisation, took);
        }
    }

    /// Renders all metrics and `gauges` in the text format of Prometheus.
    pub fn render(&self, gauges: &[(&str, u64)]) -> String {
        let series = self.series.borrow();
        let mut text = String::new();
        for ((name, labels), value) in &series.counters {
            let _ = writeln!(text, "laburnumwheel_{name}{{{labels}}} {value}");
        }
        for (name, value) in gauges {
            let _ = writeln!(text, "laburnumwheel_{name} {value}");
        }
        render(&mut text, "route", &series.routes);
        render(&mut text, "organisation", &series.organisations);
        text
    }
}

fn record(all: &mut Latencies, name: &str, took: Span) {
    let known = all.contains_key(name) || all.len() < MAX_SERIES;
    let name = if known { name } else { "other" };
    let create = || Histogram::new_with_bounds(1, MAX_LATENCY_MS, 2).ok();
    if !all.contains_key(name)
        && let Some(histogram) = create()
    {
        all.insert(name.to_owned(), histogram);
    }
    if let Some(histogram) = all.get_mut(name) {
        histogram.saturating_record(took.as_millis().max(1));
    }
}

fn render(text: &mut String, label: &str, all: &Latencies) {
    for (name, histogram) in all {
        for quantile in [0.5, 0.95, 0.99] {
            let value = histogram.value_at_quantile(quantile);
            let _ = writeln!(
                text,
                "laburnumwheel_latency_ms{{{label}=\"{name}\",quantile=\"{quantile}\"}} {value}"
            );
        }
        let count = histogram.len();
        let _ = writeln!(text, "laburnumwheel_latency_ms_count{{{label}=\"{name}\"}} {count}");
    }
}
