//! Sends the node's counters and gauges to StatsD.

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

/// Time from one sending of all metrics to the next.
const INTERVAL: Duration = Duration::from_secs(5);

/// The node's counters and gauges at one time, by name and class.
#[derive(Debug, Default)]
struct Sample {
    counters: BTreeMap<(String, String), u64>,
    gauges: BTreeMap<(String, String), u64>,
}

fn read(node: &Node) -> Sample {
    let mut sample = Sample::default();
    let stats = node.stats();
    let mut count = |name: &str, tag: &str, value: u64| {
        sample.counters.insert((name.to_owned(), tag.to_owned()), value);
    };
    for (key, series) in &stats.classes {
        let class = &node.index().class(*key).name;
        count("requests.received", class, series.received);
        count("requests.whole", class, series.whole);
        count("requests.attained", class, series.attained);
        count("tokens.whole", class, series.tokens);
        for ((verdict, reason), n) in &series.refused {
            count(&format!("requests.{verdict}.{reason}"), class, *n);
        }
    }
    for (cause, tokens) in &stats.wasted {
        count(&format!("tokens.wasted.{cause}"), "", *tokens);
    }
    count("dispatches", "", stats.dispatches);
    count("retries", "", stats.retries);
    count("preemptions", "", stats.preemptions);
    count("stalls", "", stats.stalls);
    count("entries", "", stats.entries);
    count("key_value.reads", "", stats.kv_reads);
    count("key_value.writes", "", stats.kv_writes);
    let classes: Vec<_> = stats.classes.iter().collect();
    for (key, series) in classes {
        let class = node.index().class(*key).name.clone();
        let p95 = series.first_token.value_at_quantile(0.95);
        sample.gauges.insert(("first_token.p95_us".to_owned(), class.clone()), p95);
        sample.gauges.insert(("queued".to_owned(), class), node.queued(*key) as u64);
    }
    let version = node.config_version();
    sample.gauges.insert(("config.version".to_owned(), String::new()), version);
    sample
}

fn client(router: &str, address: Option<SocketAddr>) -> StatsdClient {
    let udp = address.and_then(|address| {
        let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
        socket.set_nonblocking(true).ok()?;
        UdpMetricSink::from(address, socket).ok()
    });
    let builder = match udp {
        Some(sink) => StatsdClient::builder("laburnumwheel", sink),
        None => StatsdClient::builder("laburnumwheel", NopMetricSink),
    };
    builder.with_tag("router", router).build()
}

/// Sends readings until the driver exits.
pub async fn run(router: String, address: SocketAddr, handle: Handle) {
    let client = client(&router, Some(address));
    let mut sent: BTreeMap<(String, String), u64> = BTreeMap::new();
    while let Some(sample) = handle.query(|node, _| read(node)).await {
        for (key, value) in sample.counters {
            let previous = sent.insert(key.clone(), value).unwrap_or(0);
            let delta = value.saturating_sub(previous) as i64;
            client.count_with_tags(&key.0, delta).with_tag("class", &key.1).send();
        }
        for (key, value) in sample.gauges {
            client.gauge_with_tags(&key.0, value).with_tag("class", &key.1).send();
        }
        tokio::time::sleep(INTERVAL).await;
    }
}
