//! Counts started requests by organisation and by window of synchronised time.
//!
//! Each gateway divides its counts into numbered, immutable batches, so a batch that is sent twice,
//! or by two gateways, is counted once. A batch is sent to the leader and to a backup until both
//! have acknowledged it. After a change of leader, every gateway that holds a batch sends it to the
//! new leader. A window's report is fixed by the first conditional write to the store, and only
//! then sent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::wall::WallTime;
use crate::time::Span;

/// Number of windows that are checked for a report, from the current one backwards.
const WINDOWS_CHECKED: u64 = 6;
/// Upper bound on batches held, of this and other gateways together.
const MAX_BATCHES: usize = 65_536;
/// Upper bound on the encoded size of batches sent in one datagram, in bytes.
const DATAGRAM_BYTES: usize = 6_000;
/// Encoded size of a batch without its counts, in bytes.
const BATCH_BYTES: usize = 24;
/// Encoded size of a count without its name, in bytes.
const COUNT_BYTES: usize = 4;
/// Divisor of the time until a report is due; the quotient is the time for the last batches to
/// arrive, after the end of a window and after a change of leader.
const SETTLE_DIVISOR: u64 = 3;
/// Divisor of the time until a report is due; the quotient is the time left for the write of the
/// journal, the call and a repetition of both.
const SEND_DIVISOR: u64 = 4;
/// Upper bound on the difference between the synchronised times of two gateways.
const CLOCK_ERROR: Span = Span::millis(2_500);
/// Upper bound on reports in the store, which the next leader may send again.
pub const MAX_REPORTS: usize = 4;

/// Number of a window since the Unix epoch.
pub type Window = u64;

/// Number of requests by organisation.
pub type Counts = BTreeMap<String, u64>;

/// Schedule of windows and of their reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    /// Length of a window.
    pub window: Span,
    /// Time from a window's end until its report is due.
    pub due: Span,
}

impl Schedule {
    /// The window that contains `wall`.
    pub fn window_at(&self, wall: WallTime) -> Window {
        wall / self.window.0.max(1)
    }

    fn end(&self, window: Window) -> WallTime {
        (window + 1) * self.window.0.max(1)
    }

    /// Time from which a window's counts are considered complete.
    fn complete_at(&self, window: Window) -> WallTime {
        self.end(window) + self.due.0 / SETTLE_DIVISOR
    }

    fn due_at(&self, window: Window) -> WallTime {
        self.end(window) + self.due.0
    }

    /// Time until which the leader may wait for the counts of a window.
    fn wait_until(&self, window: Window) -> WallTime {
        self.due_at(window) - self.due.0 / SEND_DIVISOR
    }
}

/// Identity of a batch among those of all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BatchId {
    /// Short hash of the gateway's name.
    pub gateway: u32,
    /// Incarnation of the gateway.
    pub incarnation: u64,
    /// Number of the batch within the incarnation.
    pub seq: u32,
}

/// Requests that one gateway started within one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Identity of the batch.
    pub id: BatchId,
    /// The window.
    pub window: Window,
    /// Requests by organisation.
    pub counts: Vec<(String, u32)>,
}

impl Batch {
    fn bytes(&self) -> usize {
        let counts = self.counts.iter().map(|(name, _)| name.len() + COUNT_BYTES);
        BATCH_BYTES + counts.sum::<usize>()
    }
}

/// Requests that all gateways started within one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The window.
    pub window: Window,
    /// Requests by organisation.
    pub counts: Counts,
}

/// A batch with the state of its delivery.
#[derive(Debug)]
struct Record {
    batch: Batch,
    /// Whether the batch counts requests of this gateway.
    own: bool,
    /// Short hashes of the gateways that have acknowledged the batch.
    acked: BTreeSet<u32>,
    /// Token of the leader known when the batch was received; leaders of later terms may lack it.
    token: u64,
}

/// Collects the counts of this gateway and holds batches of other gateways.
#[derive(Debug)]
pub struct Collector {
    schedule: Schedule,
    gateway: u32,
    incarnation: u64,
    seq: u32,
    /// Newest window for which a batch was created after the window's end.
    last_closed: Window,
    pending: BTreeMap<Window, BTreeMap<String, u32>>,
    records: BTreeMap<BatchId, Record>,
}

impl Collector {
    /// An empty collector for one incarnation of a gateway.
    pub fn new(schedule: Schedule, gateway: u32, incarnation: u64) -> Collector {
        let (pending, records) = (BTreeMap::new(), BTreeMap::new());
        Collector { schedule, gateway, incarnation, seq: 0, last_closed: 0, pending, records }
    }

    /// Schedule of windows and of their reports.
    pub fn schedule(&self) -> Schedule {
        self.schedule
    }

    /// Counts a request that started at `wall`.
    pub fn record(&mut self, wall: WallTime, organisation: &str) {
        let counts = self.pending.entry(self.schedule.window_at(wall)).or_default();
        match counts.get_mut(organisation) {
            Some(count) => *count += 1,
            None => {
                counts.insert(organisation.to_owned(), 1);
            }
        }
    }

    /// Moves the counts since the last flush into batches and removes batches of overdue windows.
    /// `token` is the token of the known leader.
    pub fn flush(&mut self, wall: WallTime, token: u64) {
        let current = self.schedule.window_at(wall);
        // An empty batch distinguishes a window without requests from one whose counts are lost.
        let previous = current.saturating_sub(1);
        if previous > self.last_closed {
            self.last_closed = previous;
            self.pending.entry(previous).or_default();
        }
        for (window, counts) in std::mem::take(&mut self.pending) {
            let mut batch = self.next_batch(window);
            for (name, count) in counts {
                batch.counts.push((name, count));
                if batch.bytes() >= DATAGRAM_BYTES / 2 {
                    let next = self.next_batch(window);
                    self.insert(std::mem::replace(&mut batch, next), true, token);
                }
            }
            self.insert(batch, true, token);
        }
        // Batches are sent in the order of their windows, so overdue ones would delay the others.
        let schedule = self.schedule;
        self.records.retain(|_, record| wall < schedule.due_at(record.batch.window));
    }

    fn next_batch(&mut self, window: Window) -> Batch {
        let id = BatchId { gateway: self.gateway, incarnation: self.incarnation, seq: self.seq };
        self.seq += 1;
        Batch { id, window, counts: Vec::new() }
    }

    fn insert(&mut self, batch: Batch, own: bool, token: u64) {
        if self.records.len() < MAX_BATCHES {
            let record = Record { batch, own, acked: BTreeSet::new(), token };
            self.records.entry(record.batch.id).or_insert(record);
        }
    }

    /// Stores batches from a gateway and returns those to acknowledge.
    pub fn merge(&mut self, from: u32, token: u64, batches: Vec<Batch>) -> Vec<BatchId> {
        let mut acks = Vec::with_capacity(batches.len());
        for batch in batches {
            let id = batch.id;
            self.insert(batch, false, token);
            if let Some(record) = self.records.get_mut(&id) {
                record.acked.insert(from);
                acks.push(id);
            }
        }
        acks
    }

    /// Records that a gateway has acknowledged these batches.
    pub fn record_acks(&mut self, by: u32, ids: &[BatchId]) {
        for id in ids {
            if let Some(record) = self.records.get_mut(id) {
                record.acked.insert(by);
            }
        }
    }

    /// Batches to send to the leader of the term with `token`.
    pub fn pending_for_leader(&self, leader: u32, token: u64) -> Vec<Batch> {
        self.unacked(leader, |record| record.own || record.token < token)
    }

    /// Batches to send to a backup.
    pub fn pending_for_backup(&self, backup: u32) -> Vec<Batch> {
        self.unacked(backup, |record| record.own)
    }

    /// Batches that match `filter` and that the gateway `by` has not acknowledged, as many as fit
    /// into one datagram.
    fn unacked(&self, by: u32, filter: impl Fn(&Record) -> bool) -> Vec<Batch> {
        let mut bytes = 0;
        // Batches of older windows are sent first, as their reports are due first.
        let mut missing: Vec<&Batch> = self
            .records
            .values()
            .filter(|record| filter(record) && !record.acked.contains(&by))
            .map(|record| &record.batch)
            .collect();
        missing.sort_by_key(|batch| batch.window);
        let fits = |batch: &&Batch| {
            bytes += batch.bytes();
            bytes <= DATAGRAM_BYTES
        };
        missing.into_iter().take_while(fits).cloned().collect()
    }

    /// The newest window for which any leader may have sent a report by `wall`, taking into account
    /// `CLOCK_ERROR`.
    pub fn last_possibly_reported(&self, wall: WallTime) -> Window {
        let current = self.schedule.window_at(wall + CLOCK_ERROR.0);
        let oldest = current.saturating_sub(WINDOWS_CHECKED);
        let is_complete = |w: &Window| self.schedule.complete_at(*w) <= wall + CLOCK_ERROR.0;
        (oldest..current).filter(is_complete).max().unwrap_or(oldest)
    }

    /// Windows that are complete and not overdue at `wall`, the oldest first.
    pub fn reportable(&self, wall: WallTime) -> Vec<Window> {
        let current = self.schedule.window_at(wall);
        let oldest = current.saturating_sub(WINDOWS_CHECKED);
        let is_reportable =
            |w: &Window| self.schedule.complete_at(*w) <= wall && wall < self.schedule.due_at(*w);
        (oldest..current).filter(is_reportable).collect()
    }

    /// Whether the leader should wait no longer for counts of a window at `wall`. Its term began at
    /// `began`, and it knows `live` gateways, including itself.
    ///
    /// Earlier batches went to the previous leader, and gateways send them again once they know the
    /// new one.
    pub fn is_settled(&self, window: Window, wall: WallTime, began: WallTime, live: usize) -> bool {
        let received_at = began + self.schedule.due.0 / SETTLE_DIVISOR;
        let is_received = received_at <= wall && self.reporting_gateways(window) >= live;
        is_received || self.schedule.wait_until(window) <= wall
    }

    /// Requests of a window, as far as this gateway has received batches.
    pub fn report(&self, window: Window) -> Report {
        let mut counts = Counts::new();
        for record in self.records.values().filter(|record| record.batch.window == window) {
            for (name, count) in &record.batch.counts {
                *counts.entry(name.clone()).or_default() += u64::from(*count);
            }
        }
        Report { window, counts }
    }

    /// Number of gateways with at least one received batch of a window.
    pub fn reporting_gateways(&self, window: Window) -> usize {
        let ids = self.records.values().filter(|record| record.batch.window == window);
        ids.map(|record| record.batch.id.gateway).collect::<BTreeSet<u32>>().len()
    }
}
