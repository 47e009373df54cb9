//! Logs and stores the quarantine of requests that crash replicas.
//!
//! Gossiped records are lost when all gateways stop at once, so the records are also stored. Stored
//! records hold absolute times, as ages would restart with each read.

use std::net::SocketAddr;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::quarantine;
use laburnumwheel_core::gateway::quarantine::Transition;
use laburnumwheel_core::gateway::quarantine::feature::Feature;
use laburnumwheel_core::gateway::quarantine::part;
use laburnumwheel_core::incarnation::Digest;
use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::log::Line;
use crate::peers;
use crate::peers::Message;
use crate::shared::Shared;
use crate::store;
use crate::store::Reply;

/// A replica that crashed while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Time of the crash, in Unix milliseconds.
    pub at: u64,
}

/// A quarantined fingerprint or part of prompts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The fingerprint, or the feature of the part.
    #[serde(rename = "content")]
    pub fingerprint: Fingerprint,
    /// Replicas that crashed while running a request with this fingerprint or part.
    #[serde(rename = "ends")]
    pub crashes: Vec<Crash>,
    /// Other features that all requests with these crashes had in common; `None` for a fingerprint.
    /// Earlier releases take a part for a fingerprint that no request has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub common: Option<Vec<Feature>>,
    /// Time at which an operator ended the quarantine of a part, in Unix milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released: Option<u64>,
}

/// The stored records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// Revision of the last write; 0 if nothing was written yet.
    pub revision: u64,
    /// The records.
    pub records: Vec<Record>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Converts times to ages; times in the future become an age of zero.
fn to_ages(records: &[Record], now_ms: u64) -> Vec<quarantine::Record> {
    let crash = |crash: &Crash| quarantine::Crash {
        replica: crash.replica,
        age_ms: now_ms.saturating_sub(crash.at),
    };
    let record = |record: &Record| quarantine::Record {
        fingerprint: record.fingerprint,
        crashes: record.crashes.iter().map(crash).collect(),
        answered_ms: None,
    };
    records.iter().filter(|record| record.common.is_none()).map(record).collect()
}

/// The same for the records of parts.
fn to_part_ages(records: &[Record], now_ms: u64) -> Vec<part::Record> {
    let crash = |crash: &Crash| part::Crash {
        replica: crash.replica,
        age_ms: now_ms.saturating_sub(crash.at),
    };
    let record = |record: &Record| {
        Some(part::Record {
            part: Feature(record.fingerprint.0),
            common: record.common.clone()?,
            crashes: record.crashes.iter().map(crash).collect(),
            answered_ms: record.released.map(|at| now_ms.saturating_sub(at)),
        })
    };
    records.iter().filter_map(record).collect()
}

/// Converts ages to times.
fn to_times(records: &[quarantine::Record], now_ms: u64) -> Vec<Record> {
    let crash = |crash: &quarantine::Crash| Crash {
        replica: crash.replica,
        at: now_ms.saturating_sub(crash.age_ms),
    };
    let record = |record: &quarantine::Record| Record {
        fingerprint: record.fingerprint,
        crashes: record.crashes.iter().map(crash).collect(),
        common: None,
        released: None,
    };
    records.iter().map(record).collect()
}

/// The same for the records of parts.
fn to_part_times(records: &[part::Record], now_ms: u64) -> Vec<Record> {
    let crash = |crash: &part::Crash| Crash {
        replica: crash.replica,
        at: now_ms.saturating_sub(crash.age_ms),
    };
    let record = |record: &part::Record| Record {
        fingerprint: Fingerprint(record.part.0),
        crashes: record.crashes.iter().map(crash).collect(),
        common: Some(record.common.clone()),
        released: None,
    };
    records.iter().map(record).collect()
}

/// Merges the stored records into the quarantine.
pub fn restore(shared: &Shared, stored: &Entry) {
    let (now, now_ms) = (clock::now(), unix_ms());
    let mut gateway = shared.gateway.borrow_mut();
    gateway.restore_quarantine(now, &to_ages(&stored.records, now_ms));
    gateway.restore_parts(now, &to_part_ages(&stored.records, now_ms));
}

/// Stores the records if the stored ones are out of date. If the write fails because another
/// gateway has written, the next read of the store shows that gateway's records.
pub async fn persist(
    shared: &Shared,
    stored: &Entry,
    write: &mut Box<dyn FnMut(Vec<Record>, u64) -> Reply<()>>,
) {
    let now_ms = unix_ms();
    let known = to_ages(&stored.records, now_ms);
    let known_parts = to_part_ages(&stored.records, now_ms);
    let (requests, parts) = {
        let (gateway, now) = (shared.gateway.borrow(), clock::now());
        (gateway.quarantine_to_store(now, &known), gateway.parts_to_store(now, &known_parts))
    };
    if requests.is_none() && parts.is_none() {
        return;
    }
    let requests = requests.unwrap_or(known);
    let parts = parts.unwrap_or(known_parts);
    let mut records = to_times(&requests, now_ms);
    records.extend(to_part_times(&parts, now_ms));
    let result = store::with_timeout(write(records, stored.revision)).await;
    shared.metrics.count_store_call("keep", result.is_ok());
    let line = Line::new("quarantine_stored")
        .with("fingerprints", requests.len())
        .with("parts", parts.len());
    shared.log(match result {
        Ok(()) => line.with("outcome", "written"),
        Err(e) => line.with("outcome", e),
    });
}

/// Logs the start and end of quarantines.
pub fn log_transitions(shared: &Shared, transitions: &[Transition]) {
    for transition in transitions {
        let line = match transition.release {
            None => Line::new("fingerprint_quarantined"),
            Some(release) => {
                let label = format!("reason=\"{release}\"");
                shared.metrics.count("quarantine_releases_total", label);
                Line::new("fingerprint_released").with("reason", release)
            }
        };
        let line = line.with("fingerprint", transition.fingerprint);
        shared.log(line.with("crashes", transition.crashes));
    }
}

/// Logs the start and end of quarantines of parts.
pub fn log_part_transitions(shared: &Shared, transitions: &[part::Transition]) {
    let join = |texts: Vec<String>| if texts.is_empty() { "-".to_owned() } else { texts.join(",") };
    for transition in transitions {
        let event = if transition.quarantined { "part_quarantined" } else { "part_released" };
        let line = Line::new(event)
            .with("feature", transition.part)
            .with("crashes", transition.replicas.len())
            .with("replicas", join(transition.replicas.iter().map(ToString::to_string).collect()))
            .with("common", join(transition.common.iter().map(ToString::to_string).collect()));
        shared.log(line);
    }
}

/// Sends what this gateway knows of crashes, if there is anything new, to the gateways at `addresses`.
pub async fn send_crashes(shared: &Shared, addresses: &[SocketAddr]) {
    let crashes = shared.gateway.borrow_mut().gossip_crashes(clock::now());
    if crashes.is_empty() {
        return;
    }
    let message = Message::Crashes(crashes);
    for address in addresses {
        // Crashes that can't be sent are sent again with the next heartbeat.
        peers::send(&shared.socket, *address, &message).await;
    }
}
