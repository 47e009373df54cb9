//! Contents under which replicas end: told in the log, and kept in the store for gateways that start.
//!
//! Gateways tell one another; what all of them know is lost when all of them end, and the same content
//! would end the replicas of the next ones. So what is held back stands in the store as well. Times
//! stand there as times of day: an age would begin anew with each reader, and a content would be held
//! for as long as gateways start now and then. A clock that is off by seconds is little beside the hold.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use laburnumwheel_core::gateway::content::Content;
use laburnumwheel_core::gateway::quarantine;
use laburnumwheel_core::gateway::quarantine::Verdict;
use laburnumwheel_core::incarnation::Digest;
use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::log::Line;
use crate::shared::Shared;
use crate::store;
use crate::store::Reply;

/// A replica that ended while it ran a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Run of the replica.
    pub replica: Digest,
    /// When, in Unix milliseconds.
    pub at: u64,
}

/// A content that is held back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The content.
    pub content: Content,
    /// Replicas that ended under it.
    pub ends: Vec<End>,
}

/// What the store holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// Its last change; 0 before the first.
    pub revision: u64,
    /// The contents.
    pub records: Vec<Record>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Records with ages in the place of times of day; what lies in the future has just been.
fn aged(records: &[Record], now_ms: u64) -> Vec<quarantine::Record> {
    let end =
        |end: &End| quarantine::End { replica: end.replica, age_ms: now_ms.saturating_sub(end.at) };
    let record = |record: &Record| quarantine::Record {
        content: record.content,
        ends: record.ends.iter().map(end).collect(),
        answered_ms: None,
    };
    records.iter().map(record).collect()
}

/// Records with times of day in the place of ages.
fn dated(records: &[quarantine::Record], now_ms: u64) -> Vec<Record> {
    let end =
        |end: &quarantine::End| End { replica: end.replica, at: now_ms.saturating_sub(end.age_ms) };
    let record = |record: &quarantine::Record| Record {
        content: record.content,
        ends: record.ends.iter().map(end).collect(),
    };
    records.iter().map(record).collect()
}

/// Takes in what the store holds.
pub fn recall(shared: &Shared, stored: &Stored) {
    let records = aged(&stored.records, unix_ms());
    shared.gateway.borrow_mut().recall(clock::now(), &records);
}

/// Has the store hold what it has to, if that is not what it holds.
///
/// Another gateway may have written meanwhile; the next read shows what is still missing.
pub async fn keep(
    shared: &Shared,
    stored: &Stored,
    write: &mut Box<dyn FnMut(Vec<Record>, u64) -> Reply<()>>,
) {
    let now_ms = unix_ms();
    let known = aged(&stored.records, now_ms);
    let Some(records) = shared.gateway.borrow().to_keep(clock::now(), &known) else {
        return;
    };
    let result = store::bounded(write(dated(&records, now_ms), stored.revision)).await;
    shared.metrics.store_call("keep", result.is_ok());
    let line = Line::new("contents_kept").with("contents", records.len());
    shared.log(match result {
        Ok(()) => line.with("outcome", "written"),
        Err(e) => line.with("outcome", e),
    });
}

/// Logs verdicts that have changed.
pub fn tell(shared: &Shared, verdicts: &[Verdict]) {
    for verdict in verdicts {
        let event = if verdict.held { "content_held" } else { "content_released" };
        let line = Line::new(event).with("content", verdict.content);
        shared.log(line.with("ends", verdict.ends));
    }
}
