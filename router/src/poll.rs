//! Polls upstreams for their load reports.

use std::time::Duration;
use std::time::Instant;

use laburnumwheel_core::config::Deployment;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::Load;
use serde::Deserialize;

use crate::driver::Handle;
use crate::upstream::Client;

/// Time from one poll to the next.
const INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one request.
const TIMEOUT: Duration = Duration::from_millis(400);

/// The response of an upstream to `GET /load`.
#[derive(Debug, Deserialize)]
struct Report {
    running: u32,
    waiting: u32,
    slots: u32,
    #[serde(default)]
    age_ms: u64,
    #[serde(default)]
    deployment: Option<Deployment>,
}

/// Polls every upstream until the driver exits.
pub async fn run(client: Client, handle: Handle) {
    loop {
        let upstreams = handle
            .query(|node, _| {
                let known = node.upstreams().filter(|u| !u.removed);
                known.map(|u| (u.name.clone(), u.address.clone())).collect::<Vec<_>>()
            })
            .await;
        let Some(upstreams) = upstreams else {
            return;
        };
        for (name, address) in upstreams {
            tokio::spawn(read(client.clone(), handle.clone(), name, address));
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn read(client: Client, handle: Handle, name: String, address: String) {
    let started = Instant::now();
    let response = tokio::time::timeout(TIMEOUT, client.get(&address, "/load")).await;
    let Ok(Ok(body)) = response else {
        return;
    };
    let Ok(report) = serde_json::from_slice::<Report>(&body) else {
        return;
    };
    // The report was made at an unknown time during the call; half of the call's duration is the
    // best estimate of its age.
    let half_call = started.elapsed() / 2;
    let age = Duration::from_millis(report.age_ms) + half_call;
    let load = Load {
        age: age.as_micros() as u64,
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
    };
    if let Some(deployment) = report.deployment {
        handle.send(Event::Deployed(name.clone(), deployment)).await;
    }
    handle.send(Event::Load(name, load)).await;
}
