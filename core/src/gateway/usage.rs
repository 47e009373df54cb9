//! Requests that began to run, by organisation and window of true time.
//!
//! Each gateway cuts its counts into numbered batches that never change, so a batch that is sent twice,
//! or by two gateways, counts once. A batch goes to the leader and to a backup until both have
//! acknowledged it; after a change of leader every holder sends on what the new one may lack. What a
//! window's report says is fixed by the first conditional write in the store, and only then sent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::wall::WallTime;
use crate::time::Span;

/// Windows that are kept, the current one among them: those that may still be reported, and one more.
const WINDOWS_KEPT: u64 = 6;
/// Upper bound on batches held, of all gateways together.
const MAX_BATCHES: usize = 65_536;
/// Upper bound on the encoded size of batches sent in one datagram, in bytes.
const DATAGRAM_BYTES: usize = 6_000;
/// Encoded size of a batch without its counts, and of a count without its name, in bytes.
const BATCH_BYTES: usize = 24;
const COUNT_BYTES: usize = 4;
/// Part of the time until a report is due that is left for the last batches to arrive.
const SETTLE_PART: u64 = 3;
/// Upper bound on the difference between the true times of two gateways.
const CLOCK_ERROR: Span = Span::millis(2_500);
/// Reports remembered in the store, so that a successor can repeat them.
pub const MAX_REPORTS: usize = 4;

/// Number of a window since the start of 1970.
pub type Window = u64;

/// Requests by organisation.
pub type Counts = BTreeMap<String, u64>;

/// When windows begin, and when their reports are due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    /// Length of a window.
    pub window: Span,
    /// Time from a window's end until its report is due.
    pub due: Span,
}

impl Schedule {
    /// The window in which `wall` lies.
    pub fn window_at(&self, wall: WallTime) -> Window {
        wall / self.window.0.max(1)
    }

    fn end(&self, window: Window) -> WallTime {
        (window + 1) * self.window.0.max(1)
    }

    /// From when on a window's counts are taken as complete.
    fn settled_at(&self, window: Window) -> WallTime {
        self.end(window) + self.due.0 / SETTLE_PART
    }

    fn due_at(&self, window: Window) -> WallTime {
        self.end(window) + self.due.0
    }
}

/// Names a batch among those of all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BatchId {
    /// Short hash of the gateway's name.
    pub gateway: u32,
    /// Incarnation of the gateway.
    pub incarnation: u64,
    /// Number of the batch within the incarnation.
    pub seq: u32,
}

/// Requests that began at one gateway within one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Which batch it is.
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

/// What all gateways together ran in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The window.
    pub window: Window,
    /// Requests by organisation.
    pub counts: Counts,
}

#[derive(Debug)]
struct Held {
    batch: Batch,
    own: bool,
    /// Short hashes of the gateways that have acknowledged it.
    acked: BTreeSet<u32>,
    /// Token of the leader that was known when it came; a later one may lack it.
    token: u64,
}

/// Counts of this gateway, and those that it holds for others.
#[derive(Debug)]
pub struct Collector {
    schedule: Schedule,
    gateway: u32,
    incarnation: u64,
    seq: u32,
    /// Newest window of which a batch was cut after its end.
    vouched: Window,
    pending: BTreeMap<Window, BTreeMap<String, u32>>,
    held: BTreeMap<BatchId, Held>,
}

impl Collector {
    /// An empty log of this incarnation of a gateway.
    pub fn new(schedule: Schedule, gateway: u32, incarnation: u64) -> Collector {
        let (pending, held) = (BTreeMap::new(), BTreeMap::new());
        Collector { schedule, gateway, incarnation, seq: 0, vouched: 0, pending, held }
    }

    /// When windows begin and reports are due.
    pub fn schedule(&self) -> Schedule {
        self.schedule
    }

    /// Counts a request that began to run at `wall`.
    pub fn record(&mut self, wall: WallTime, organisation: &str) {
        let counts = self.pending.entry(self.schedule.window_at(wall)).or_default();
        match counts.get_mut(organisation) {
            Some(count) => *count += 1,
            None => {
                counts.insert(organisation.to_owned(), 1);
            }
        }
    }

    /// Cuts what was counted since the last time into batches, and forgets old windows.
    pub fn flush(&mut self, wall: WallTime, token: u64) {
        let current = self.schedule.window_at(wall);
        // An empty batch distinguishes a window without requests from one whose counts are lost.
        let previous = current.saturating_sub(1);
        if previous > self.vouched {
            self.vouched = previous;
            self.pending.entry(previous).or_default();
        }
        for (window, counts) in std::mem::take(&mut self.pending) {
            let mut batch = self.next_batch(window);
            for (name, count) in counts {
                batch.counts.push((name, count));
                if batch.bytes() >= DATAGRAM_BYTES / 2 {
                    let next = self.next_batch(window);
                    self.hold(std::mem::replace(&mut batch, next), true, token);
                }
            }
            self.hold(batch, true, token);
        }
        let oldest = (current + 1).saturating_sub(WINDOWS_KEPT);
        self.held.retain(|_, held| held.batch.window >= oldest);
    }

    fn next_batch(&mut self, window: Window) -> Batch {
        let id = BatchId { gateway: self.gateway, incarnation: self.incarnation, seq: self.seq };
        self.seq += 1;
        Batch { id, window, counts: Vec::new() }
    }

    fn hold(&mut self, batch: Batch, own: bool, token: u64) {
        if self.held.len() < MAX_BATCHES {
            let held = Held { batch, own, acked: BTreeSet::new(), token };
            self.held.entry(held.batch.id).or_insert(held);
        }
    }

    /// Takes in batches from a gateway; returns which of them need not be sent here again.
    pub fn merge(&mut self, from: u32, token: u64, batches: Vec<Batch>) -> Vec<BatchId> {
        let mut acks = Vec::with_capacity(batches.len());
        for batch in batches {
            let id = batch.id;
            self.hold(batch, false, token);
            if let Some(held) = self.held.get_mut(&id) {
                held.acked.insert(from);
                acks.push(id);
            }
        }
        acks
    }

    /// Records that a gateway has these batches.
    pub fn record_acks(&mut self, by: u32, ids: &[BatchId]) {
        for id in ids {
            if let Some(held) = self.held.get_mut(id) {
                held.acked.insert(by);
            }
        }
    }

    /// Batches to send to the leader, which began its term with `token`.
    pub fn pending_for_leader(&self, leader: u32, token: u64) -> Vec<Batch> {
        self.unacked(leader, |held| held.own || held.token < token)
    }

    /// Batches to send to a backup.
    pub fn pending_for_backup(&self, backup: u32) -> Vec<Batch> {
        self.unacked(backup, |held| held.own)
    }

    fn unacked(&self, by: u32, wanted: impl Fn(&Held) -> bool) -> Vec<Batch> {
        let mut bytes = 0;
        // The newest windows come last: what is due first goes first.
        let mut missing: Vec<&Batch> = self
            .held
            .values()
            .filter(|held| wanted(held) && !held.acked.contains(&by))
            .map(|held| &held.batch)
            .collect();
        missing.sort_by_key(|batch| batch.window);
        let fits = |batch: &&Batch| {
            bytes += batch.bytes();
            bytes <= DATAGRAM_BYTES
        };
        missing.into_iter().take_while(fits).cloned().collect()
    }

    /// The newest window of which a leader may have sent a report by `wall`, with clocks that differ.
    pub fn last_possibly_reported(&self, wall: WallTime) -> Window {
        let current = self.schedule.window_at(wall + CLOCK_ERROR.0);
        let oldest = current.saturating_sub(WINDOWS_KEPT);
        let settled = |w: &Window| self.schedule.settled_at(*w) <= wall + CLOCK_ERROR.0;
        (oldest..current).filter(settled).max().unwrap_or(oldest)
    }

    /// Windows that are complete and not overdue at `wall`, the oldest first.
    pub fn reportable(&self, wall: WallTime) -> Vec<Window> {
        let current = self.schedule.window_at(wall);
        let oldest = current.saturating_sub(WINDOWS_KEPT);
        let is_due =
            |w: &Window| self.schedule.settled_at(*w) <= wall && wall < self.schedule.due_at(*w);
        (oldest..current).filter(is_due).collect()
    }

    /// Requests of a window as far as they are known here.
    pub fn report(&self, window: Window) -> Report {
        let mut counts = Counts::new();
        for held in self.held.values().filter(|held| held.batch.window == window) {
            for (name, count) in &held.batch.counts {
                *counts.entry(name.clone()).or_default() += u64::from(*count);
            }
        }
        Report { window, counts }
    }

    /// Gateways of which a batch of a window is here.
    pub fn reporting_gateways(&self, window: Window) -> usize {
        let ids = self.held.values().filter(|held| held.batch.window == window);
        ids.map(|held| held.batch.id.gateway).collect::<BTreeSet<u32>>().len()
    }
}
