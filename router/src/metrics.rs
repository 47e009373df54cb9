//! Sends counters and gauges to StatsD, through cadence.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use laburnumwheel_core::node::Node;

use crate::driver::Handle;

const EVERY: Duration = Duration::from_secs(5);

/// A reading of the node: totals by name and class.
#[derive(Debug, Default)]
struct Reading {
    totals: BTreeMap<(String, String), u64>,
    levels: BTreeMap<(String, String), u64>,
}

fn read(node: &Node) -> Reading {
    let mut reading = Reading::default();
    let stats = node.stats();
    let mut total = |name: &str, tag: &str, value: u64| {
        reading.totals.insert((name.to_owned(), tag.to_owned()), value);
    };
    for (key, series) in &stats.classes {
        let class = &node.index().class(*key).name;
        total("requests.received", class, series.received);
        total("requests.whole", class, series.whole);
        total("requests.attained", class, series.attained);
        total("tokens.whole", class, series.tokens);
        for ((verdict, reason), n) in &series.refused {
            total(&format!("requests.{verdict}.{reason}"), class, *n);
        }
    }
    for (cause, tokens) in &stats.wasted {
        total(&format!("tokens.wasted.{cause}"), "", *tokens);
    }
    total("dispatches", "", stats.dispatches);
    total("retries", "", stats.retries);
    total("preemptions", "", stats.preemptions);
    total("stalls", "", stats.stalls);
    total("entries", "", stats.entries);
    total("key_value.reads", "", stats.kv_reads);
    total("key_value.writes", "", stats.kv_writes);
    let classes: Vec<_> = stats.classes.iter().collect();
    for (key, series) in classes {
        let class = node.index().class(*key).name.clone();
        let p95 = series.first_token.value_at_quantile(0.95);
        reading.levels.insert(("first_token.p95_us".to_owned(), class.clone()), p95);
        reading.levels.insert(("queued".to_owned(), class), node.queued(*key) as u64);
    }
    let version = node.config_version();
    reading.levels.insert(("config.version".to_owned(), String::new()), version);
    reading
}

fn client(router: &str, to: Option<SocketAddr>) -> StatsdClient {
    let udp = to.and_then(|to| {
        let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
        socket.set_nonblocking(true).ok()?;
        UdpMetricSink::from(to, socket).ok()
    });
    let builder = match udp {
        Some(sink) => StatsdClient::builder("laburnumwheel", sink),
        None => StatsdClient::builder("laburnumwheel", NopMetricSink),
    };
    builder.with_tag("router", router).build()
}

/// Sends readings until the driver exits.
pub async fn run(router: String, to: SocketAddr, handle: Handle) {
    let client = client(&router, Some(to));
    let mut sent: BTreeMap<(String, String), u64> = BTreeMap::new();
    while let Some(reading) = handle.query(|node, _| read(node)).await {
        for (key, value) in reading.totals {
            let before = sent.insert(key.clone(), value).unwrap_or(0);
            let delta = value.saturating_sub(before) as i64;
            client.count_with_tags(&key.0, delta).with_tag("class", &key.1).send();
        }
        for (key, value) in reading.levels {
            client.gauge_with_tags(&key.0, value).with_tag("class", &key.1).send();
        }
        tokio::time::sleep(EVERY).await;
    }
}
