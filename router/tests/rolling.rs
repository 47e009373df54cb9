//! Test of a rolling restart of all router processes under load, while an engine leaves.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::Process;
use support::Site;

/// No call may fail or run twice while all routers are replaced one after another and an engine
/// leaves: a stopping router serves calls as long as callers may hold its address, finishes its
/// streams and hands over its idempotency keys.
#[tokio::test(flavor = "multi_thread")]
async fn no_call_fails_during_a_rolling_restart() {
    // Arrange
    let site = Site::start(3, 2, Duration::from_millis(5)).await;
    let mut routers = site.routers(3).await;
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let first = routers[0].callers;
    let callers: Vec<_> = (0..6)
        .map(|n| tokio::spawn(keep_calling(n, first, stop.clone(), counts.clone())))
        .collect();

    // Act
    site.engines[0].leave();
    let mut codes = Vec::new();
    for (i, router) in routers.iter_mut().enumerate() {
        let new = Process::start(&format!("n{i}"), "a", site.key_value.address);
        support::wait_for(|| async { support::serving_seen_by(&new).await == 4 }).await;
        let mut old = std::mem::replace(router, new);
        old.terminate();
        let code = loop {
            if let Some(status) = old.child.try_wait().expect("a child") {
                break status.code();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        codes.push(code);
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("no panic");
    }

    // Assert
    assert_eq!(codes, vec![Some(0); 3]);
    let read = |c: &AtomicU64| c.load(Ordering::Relaxed);
    let seen = (read(&counts.interrupted), read(&counts.wrong), read(&counts.refused));
    assert_eq!(seen, (0, 0, 0), "besides {} complete responses", read(&counts.complete));
    assert!(read(&counts.complete) > 100);
    assert!(site.counter.runs().values().all(|n| *n == 1));
    assert_eq!(site.engines[0].running(), 0);
}

#[derive(Default)]
struct Counts {
    complete: AtomicU64,
    /// Calls without a response.
    interrupted: AtomicU64,
    /// Streams that broke off, and responses with other contents than expected.
    wrong: AtomicU64,
    refused: AtomicU64,
}

/// Makes calls as the API prescribes: uses the response of the entry point for its time to live.
async fn keep_calling(
    number: u64,
    first: std::net::SocketAddr,
    stop: Arc<AtomicBool>,
    counts: Arc<Counts>,
) {
    let mut addresses = vec![first];
    let mut call = 0;
    while !stop.load(Ordering::Relaxed) {
        let entry = fetch_entry(&addresses).await;
        let list = entry["addresses"].as_array().cloned().unwrap_or_default();
        let address = |v: &serde_json::Value| v["address"].as_str().and_then(|a| a.parse().ok());
        addresses = list.iter().filter_map(address).collect();
        let Some(first) = addresses.first().copied() else {
            counts.interrupted.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let prefix = list[0]["key_prefix"].as_str().unwrap_or_default().to_owned();
        let until = tokio::time::Instant::now() + Duration::from_secs(8);
        while tokio::time::Instant::now() < until && !stop.load(Ordering::Relaxed) {
            call += 1;
            let counter = if call % 3 == 0 {
                let body = format!("{{\"bid\":\"{number}-{call}\"}}");
                let response =
                    support::bid(first, &format!("{prefix}{number}-{call}"), &body).await;
                counter_for(response.map(|a| (a.status, a.json()["ran"] == 1)), &counts)
            } else {
                let response = support::chat(first, 40, true).await;
                let complete =
                    |a: &support::Response| a.is_done() && a.streamed() == support::expected(40);
                counter_for(response.map(|a| (a.status, complete(&a))), &counts)
            };
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn counter_for(response: Option<(u16, bool)>, counts: &Counts) -> &AtomicU64 {
    match response {
        None => &counts.interrupted,
        Some((200, true)) => &counts.complete,
        Some((200, false)) => &counts.wrong,
        Some(_) => &counts.refused,
    }
}

async fn fetch_entry(addresses: &[std::net::SocketAddr]) -> serde_json::Value {
    for address in addresses {
        let entry = support::entry(*address).await;
        if entry["addresses"].is_array() {
            return entry;
        }
    }
    serde_json::Value::Null
}
