//! Calls in flight at an engine, as its owner counts them.
//!
//! Load reports of engines are too old in a burst: every gateway would send to the engine that was free
//! when the last report was made. So each engine has an owner among the live gateways, by rendezvous
//! hash, which all gateways notify of calls sent, read and ended, and query before a long prompt is sent.
//! An owner's occupancy is a hint, not a lock: it is lost with its gateway, and a query without an answer
//! falls back to the reports.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Drops in-flight entries whose completion message was lost.
const LONGEST: Span = Span::secs(15);
/// Minimum ownership time before an occupancy snapshot is considered complete.
const SETTLED: Span = Span::millis(1_500);
/// Weight of the newest interval between two ends at an engine.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Interval between two ends at an engine before any was seen, and its bounds, in milliseconds.
const INTERVAL_MS: f64 = 60.0;
const INTERVAL_FROM_MS: f64 = 15.0;
const INTERVAL_TO_MS: f64 = 250.0;

/// Upper bound on the prefill time of one prompt, in milliseconds.
const MOST_UNREAD_MS: f64 = 10_000.0;
/// Upper bound on the times in a snapshot, in milliseconds.
const MOST_MS: f32 = 1e6;

/// What happened to a call at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// It was sent; its prompt takes so many milliseconds to read.
    Sent(f32),
    /// Its first event came.
    #[serde(rename = "Read")]
    FirstEvent,
    /// It ended.
    Ended,
}

/// One change, as it is sent to the engine's owner.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Incarnation of the engine.
    pub engine: Digest,
    /// The call: its gateway's short hash in the upper half, and a number of that gateway's.
    pub call: u64,
    /// What happened.
    pub change: Change,
}

/// Occupancy of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Incarnation of the engine.
    pub engine: Digest,
    /// Calls there, running and waiting.
    pub calls: u16,
    /// Time to read all prompts there that are not read yet, in milliseconds.
    #[serde(rename = "unread_ms")]
    pub pending_prefill_ms: f32,
    /// Usual time between two ends while the engine is full, in milliseconds.
    pub interval_ms: f32,
}

impl Snapshot {
    /// Whether its numbers are plausible. A single NaN would make every comparison of costs false.
    pub fn is_valid(&self) -> bool {
        let possible = 0.0..=MOST_MS;
        possible.contains(&self.pending_prefill_ms) && possible.contains(&self.interval_ms)
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Time,
    /// Time to read the prompt, in milliseconds; zero when it has been read.
    pending_prefill_ms: f64,
}

#[derive(Debug)]
struct Engine {
    since: Time,
    entries: BTreeMap<u64, Entry>,
    ended: Option<Time>,
    interval_ms: f64,
}

/// Engines that this gateway owns, or owned lately.
#[derive(Debug, Default)]
pub struct Occupancy {
    engines: BTreeMap<Digest, Engine>,
}

impl Occupancy {
    fn engine(&mut self, now: Time, engine: Digest) -> &mut Engine {
        self.engines.entry(engine).or_insert_with(|| Engine {
            since: now,
            entries: BTreeMap::new(),
            ended: None,
            interval_ms: INTERVAL_MS,
        })
    }

    /// Records a change.
    pub fn record(&mut self, now: Time, update: &Update) {
        let engine = self.engine(now, update.engine);
        match update.change {
            Change::Sent(ms) => {
                let ms = if ms.is_nan() { 0.0 } else { f64::from(ms) };
                let entry = Entry { at: now, pending_prefill_ms: ms.clamp(0.0, MOST_UNREAD_MS) };
                engine.entries.insert(update.call, entry);
            }
            Change::FirstEvent => {
                if let Some(entry) = engine.entries.get_mut(&update.call) {
                    entry.pending_prefill_ms = 0.0;
                }
            }
            Change::Ended => engine.end(now, update.call),
        }
    }

    /// Snapshot of an engine; `None` before it is complete.
    pub fn snapshot(&mut self, now: Time, engine: Digest) -> Option<Snapshot> {
        let kept = self.engine(now, engine);
        kept.entries.retain(|_, entry| now.since(entry.at) < LONGEST);
        let settled = now.since(kept.since) >= SETTLED;
        settled.then(|| Snapshot {
            engine,
            calls: kept.entries.len().min(usize::from(u16::MAX)) as u16,
            pending_prefill_ms: kept.entries.values().map(|e| e.pending_prefill_ms).sum::<f64>()
                as f32,
            interval_ms: kept.interval_ms as f32,
        })
    }

    /// Drops the calls of removed gateways.
    pub fn retain_gateways(&mut self, mut lives: impl FnMut(u32) -> bool) {
        for engine in self.engines.values_mut() {
            engine.entries.retain(|call, _| lives((call >> 32) as u32));
        }
    }

    /// Drops engines that this gateway no longer owns.
    pub fn retain_engines(&mut self, mut kept: impl FnMut(Digest) -> bool) {
        self.engines.retain(|engine, _| kept(*engine));
    }
}

impl Engine {
    fn end(&mut self, now: Time, call: u64) {
        if self.entries.remove(&call).is_none() {
            return;
        }
        if let Some(before) = self.ended.replace(now) {
            let ms = now.since(before).as_secs_f64() * 1e3;
            let ms = ms.clamp(INTERVAL_FROM_MS, INTERVAL_TO_MS);
            self.interval_ms += INTERVAL_WEIGHT * (ms - self.interval_ms);
        }
    }
}
