//! A rolling restart of all routers, and a stop of an engine, under load with real processes.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::Process;
use support::Site;

/// Callers see nothing of it when every router is replaced one after another and an engine leaves:
/// each stop serves on while callers keep its address, finishes its streams, and hands its keys
/// over. Nothing is cut off, and no bid runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_cuts_nothing_off() {
    // Arrange
    let site = Site::start(3, 2, Duration::from_millis(5)).await;
    let mut routers = site.routers(3).await;
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let anchor = routers[0].callers;
    let callers: Vec<_> = (0..6)
        .map(|n| tokio::spawn(keep_calling(n, anchor, stop.clone(), counts.clone())))
        .collect();

    // Act
    site.engines[0].leave();
    let mut codes = Vec::new();
    for (i, router) in routers.iter_mut().enumerate() {
        let fresh = Process::start(&format!("n{i}"), "a", site.key_value.address);
        support::wait_for(|| async { support::serving_seen_by(&fresh).await == 4 }).await;
        let mut old = std::mem::replace(router, fresh);
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
    let seen = (read(&counts.cut), read(&counts.wrong), read(&counts.refused));
    assert_eq!(seen, (0, 0, 0), "of {} whole", read(&counts.whole));
    assert!(read(&counts.whole) > 100);
    assert!(site.counter.runs().values().all(|n| *n == 1));
    assert_eq!(site.engines[0].running(), 0);
}

#[derive(Default)]
struct Counts {
    whole: AtomicU64,
    /// Streams that broke off, or calls without any answer.
    cut: AtomicU64,
    wrong: AtomicU64,
    refused: AtomicU64,
}

/// A caller as the API asks for: it keeps an entry answer for its time to live.
async fn keep_calling(
    number: u64,
    anchor: std::net::SocketAddr,
    stop: Arc<AtomicBool>,
    counts: Arc<Counts>,
) {
    let mut known = vec![anchor];
    let mut call = 0;
    while !stop.load(Ordering::Relaxed) {
        let entry = ask(&known).await;
        let list = entry["addresses"].as_array().cloned().unwrap_or_default();
        let address = |v: &serde_json::Value| v["address"].as_str().and_then(|a| a.parse().ok());
        known = list.iter().filter_map(address).collect();
        let Some(first) = known.first().copied() else {
            counts.cut.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let prefix = list[0]["key_prefix"].as_str().unwrap_or_default().to_owned();
        let until = tokio::time::Instant::now() + Duration::from_secs(8);
        while tokio::time::Instant::now() < until && !stop.load(Ordering::Relaxed) {
            call += 1;
            let counter = if call % 3 == 0 {
                let body = format!("{{\"bid\":\"{number}-{call}\"}}");
                let answer = support::bid(first, &format!("{prefix}{number}-{call}"), &body).await;
                judge(answer.map(|a| (a.status, a.json()["ran"] == 1)), &counts)
            } else {
                let answer = support::chat(first, 40, true).await;
                let whole =
                    |a: &support::Answer| a.is_done() && a.streamed() == support::expected(40);
                judge(answer.map(|a| (a.status, whole(&a))), &counts)
            };
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn judge(answer: Option<(u16, bool)>, counts: &Counts) -> &AtomicU64 {
    match answer {
        None => &counts.cut,
        Some((200, true)) => &counts.whole,
        Some((200, false)) => &counts.wrong,
        Some(_) => &counts.refused,
    }
}

async fn ask(known: &[std::net::SocketAddr]) -> serde_json::Value {
    for address in known {
        let entry = support::entry(*address).await;
        if entry["addresses"].is_array() {
            return entry;
        }
    }
    serde_json::Value::Null
}
