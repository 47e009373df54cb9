//! Logs and stores the quarantine of requests that crash replicas.
//!
//! Gossiped records are lost when all gateways stop at once, so the records are also stored. Stored
//! records hold absolute times, as ages would restart with each read.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::quarantine;
use laburnumwheel_core::gateway::quarantine::Transition;
use laburnumwheel_core::incarnation::Digest;
use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::log::Line;
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

/// A quarantined fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The fingerprint.
    #[serde(rename = "content")]
    pub fingerprint: Fingerprint,
    /// Replicas that crashed while running a request with this fingerprint.
    #[serde(rename = "ends")]
    pub crashes: Vec<Crash>,
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
    records.iter().map(record).collect()
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
    };
    records.iter().map(record).collect()
}

/// Merges the stored records into the quarantine.
pub fn restore(shared: &Shared, stored: &Entry) {
    let records = to_ages(&stored.records, unix_ms());
    shared.gateway.borrow_mut().restore_quarantine(clock::now(), &records);
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
    let Some(records) = shared.gateway.borrow().quarantine_to_store(clock::now(), &known) else {
        return;
    };
    let result = store::with_timeout(write(to_times(&records, now_ms), stored.revision)).await;
    shared.metrics.count_store_call("keep", result.is_ok());
    let line = Line::new("quarantine_stored").with("fingerprints", records.len());
    shared.log(match result {
        Ok(()) => line.with("outcome", "written"),
        Err(e) => line.with("outcome", e),
    });
}

/// Logs the start and end of quarantines.
pub fn log_transitions(shared: &Shared, transitions: &[Transition]) {
    for transition in transitions {
        let event =
            if transition.quarantined { "fingerprint_quarantined" } else { "fingerprint_released" };
        let line = Line::new(event).with("fingerprint", transition.fingerprint);
        shared.log(line.with("crashes", transition.crashes));
    }
}
