//! Reads the load reports of upstreams.

use std::time::Duration;
use std::time::Instant;

use laburnumwheel_core::config::Deployment;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::Load;
use serde::Deserialize;

use crate::driver::Handle;
use crate::upstream::Client;

const INTERVAL: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(400);

/// A load report as upstreams write it at `GET /load`.
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

/// Reads every upstream's load again and again.
pub async fn run(client: Client, handle: Handle) {
    loop {
        let list = handle
            .query(|node, _| {
                let known = node.upstreams().filter(|u| !u.removed);
                known.map(|u| (u.name.clone(), u.address.clone())).collect::<Vec<_>>()
            })
            .await;
        let Some(list) = list else {
            return;
        };
        for (name, address) in list {
            tokio::spawn(read(client.clone(), handle.clone(), name, address));
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn read(client: Client, handle: Handle, name: String, address: String) {
    let began = Instant::now();
    let answer = tokio::time::timeout(TIMEOUT, client.get(&address, "/load")).await;
    let Ok(Ok(body)) = answer else {
        return;
    };
    let Ok(report) = serde_json::from_slice::<Report>(&body) else {
        return;
    };
    // The report was taken at some moment of the call; half of it is the best guess.
    let travel = began.elapsed() / 2;
    let age = Duration::from_millis(report.age_ms) + travel;
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
