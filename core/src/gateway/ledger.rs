//! Which calls are at an engine, as its keeper knows.
//!
//! Load reports of engines are half a second old before all gateways have them, and in a burst of
//! long prompts every gateway then sends to the engine that was free half a second ago. So each
//! engine has one gateway as its keeper, the first by rendezvous of those that live: whoever sends
//! a call there tells the keeper, and tells it again when the prompt has been read and when the
//! call has ended. Before a long prompt is sent, the keepers of its possible engines are asked.
//!
//! A ledger is a hint and no lock: a keeper that dies takes it along, the next one begins with an
//! empty one, and whoever gets no answer in time goes by the reports.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// An entry whose end was never told counts no longer than this: as long as the longest streams.
const LONGEST: Span = Span::secs(15);
/// A keeper that has kept an engine for less than this does not know of all calls there: most
/// streams of long prompts last about a second.
const SETTLED: Span = Span::millis(1_500);
/// Weight of the newest interval between two ends at an engine.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Interval between two ends at an engine before any was seen, and the bounds of what is believed,
/// in milliseconds: sixteen places of about a second each.
const INTERVAL_MS: f64 = 60.0;
const INTERVAL_FROM_MS: f64 = 15.0;
const INTERVAL_TO_MS: f64 = 250.0;

/// Longest time to read one prompt that is believed, in milliseconds: many times that of the longest
/// prompts, which take under a second.
const MOST_UNREAD_MS: f64 = 10_000.0;
/// Largest number of a standing that is believed, in milliseconds: longer than any call lasts.
const MOST_MS: f32 = 1e6;

/// What happened to a call at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// It was sent; its prompt takes so many milliseconds to read.
    Sent(f32),
    /// Its first event came.
    Read,
    /// It ended.
    Ended,
}

/// One change, as it is told to the engine's keeper.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Run of the engine.
    pub engine: Digest,
    /// The call: its gateway's short hash in the upper half, and a number of that gateway's.
    pub call: u64,
    /// What happened.
    pub change: Change,
}

/// What a keeper knows of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Run of the engine.
    pub engine: Digest,
    /// Calls there, running and waiting.
    pub calls: u16,
    /// Time to read all prompts there that are not read yet, in milliseconds.
    pub unread_ms: f32,
    /// Usual time between two ends while the engine is full, in milliseconds.
    pub interval_ms: f32,
}

impl Standing {
    /// Whether its numbers can be those of an engine. A single one that is no number would make
    /// every comparison of costs false.
    pub fn is_sound(&self) -> bool {
        let possible = 0.0..=MOST_MS;
        possible.contains(&self.unread_ms) && possible.contains(&self.interval_ms)
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Time,
    /// Time to read the prompt, in milliseconds; zero when it has been read.
    unread_ms: f64,
}

#[derive(Debug)]
struct Engine {
    since: Time,
    entries: BTreeMap<u64, Entry>,
    ended: Option<Time>,
    interval_ms: f64,
}

/// All engines that this gateway keeps, or has kept lately.
#[derive(Debug, Default)]
pub struct Ledger {
    engines: BTreeMap<Digest, Engine>,
}

impl Ledger {
    fn engine(&mut self, now: Time, engine: Digest) -> &mut Engine {
        self.engines.entry(engine).or_insert_with(|| Engine {
            since: now,
            entries: BTreeMap::new(),
            ended: None,
            interval_ms: INTERVAL_MS,
        })
    }

    /// Takes a change in.
    pub fn note(&mut self, now: Time, notice: &Notice) {
        let engine = self.engine(now, notice.engine);
        match notice.change {
            Change::Sent(ms) => {
                let ms = if ms.is_nan() { 0.0 } else { f64::from(ms) };
                let entry = Entry { at: now, unread_ms: ms.clamp(0.0, MOST_UNREAD_MS) };
                engine.entries.insert(notice.call, entry);
            }
            Change::Read => {
                if let Some(entry) = engine.entries.get_mut(&notice.call) {
                    entry.unread_ms = 0.0;
                }
            }
            Change::Ended => engine.end(now, notice.call),
        }
    }

    /// What is known of an engine; `None` while too little is.
    pub fn standing(&mut self, now: Time, engine: Digest) -> Option<Standing> {
        let kept = self.engine(now, engine);
        kept.entries.retain(|_, entry| now.since(entry.at) < LONGEST);
        let settled = now.since(kept.since) >= SETTLED;
        settled.then(|| Standing {
            engine,
            calls: kept.entries.len().min(usize::from(u16::MAX)) as u16,
            unread_ms: kept.entries.values().map(|e| e.unread_ms).sum::<f64>() as f32,
            interval_ms: kept.interval_ms as f32,
        })
    }

    /// Forgets the calls of gateways that are gone.
    pub fn retain(&mut self, mut lives: impl FnMut(u32) -> bool) {
        for engine in self.engines.values_mut() {
            engine.entries.retain(|call, _| lives((call >> 32) as u32));
        }
    }

    /// Forgets engines that are not `kept` by this gateway any more.
    pub fn release(&mut self, mut kept: impl FnMut(Digest) -> bool) {
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
