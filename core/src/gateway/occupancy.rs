//! Counts the calls in progress at the engines that this gateway owns.
//!
//! Load reports of engines are too old in a burst: every gateway would send to the engine that was
//! free at the last report. Each engine therefore has an owner among the live gateways, by
//! rendezvous hashing. All gateways notify the owner of calls that are sent, have their first
//! event, and end, and query it before they send a call. An owner's occupancy is a hint and not a
//! lock: it is lost with its gateway, and without an answer to a query the load reports are used.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::memory::COUNTED_RANKS;
use super::memory::Held;
use super::memory::Holding;
use super::memory::Need;
use super::pace;
use super::submission::Part;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Time after which a call is dropped although its end was not reported: that message was lost.
const CALL_LIFETIME: Span = Span::secs(15);
/// Time of ownership after which a snapshot counts as complete.
const WARM_UP: Span = Span::millis(1_500);
/// The same for calls of plain replicas, which take tens of milliseconds: a lost message would
/// otherwise hide one of a few slots for long.
const PLAIN_CALL_LIFETIME: Span = Span::millis(400);
/// Time of ownership after which a snapshot of a plain replica counts as complete.
const PLAIN_WARM_UP: Span = Span::millis(300);
/// Weight of the newest interval between two ends of calls at an engine.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Interval between two ends of calls before any was observed, in milliseconds.
const PRIOR_INTERVAL_MS: f64 = 60.0;
/// Lower bound on an observed interval, in milliseconds.
const MIN_INTERVAL_MS: f64 = 15.0;
/// Upper bound on an observed interval, in milliseconds.
const MAX_INTERVAL_MS: f64 = 250.0;

/// Time that a call takes at a plain replica before any was observed, in milliseconds.
const PRIOR_RUN_MS: f64 = 30.0;
/// Upper bound on an observed time of a call at a plain replica, in milliseconds.
const MAX_RUN_MS: f64 = 400.0;

/// Weight of the newest end of a call in the share of the calls that broke off at a replica.
const BROKEN_WEIGHT: f64 = 0.2;
/// Share of the calls that broke off from which a replica counts as failing: two in a row. Ends of
/// these calls free its places at once, so that without a limit it would get most calls.
const FAILING_SHARE: f64 = 0.3;
/// Time after a call broke off in which a failing replica gets no call. A shorter one costs more
/// calls, a longer one leaves a replica unused that is back.
const FAILING_PAUSE: Span = Span::millis(250);
/// Share of the usual time, as a divisor, within which a call without an answer counts as broken off.
/// Later ends are also those of callers that leave.
const BROKEN_RUN_DIVISOR: f64 = 2.0;

/// Upper bound on the prefill time of one prompt, in milliseconds.
const MAX_PREFILL_MS: f64 = 10_000.0;
/// Upper bound on the times in a valid snapshot, in milliseconds.
const MAX_SNAPSHOT_MS: f32 = 1e6;

/// Change in the state of a call at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The call was sent; the value is the expected prefill time of its prompt, in milliseconds.
    Sent(f32),
    /// The first event came, so that the prefill of the prompt has ended.
    #[serde(rename = "Read")]
    FirstEvent,
    /// The call ended.
    Ended,
    /// Gaps between events of the call's stream: their number, and their mean in milliseconds at an
    /// engine without other calls.
    Gaps(u16, f32),
    /// Rank of the call's route, sent after [`Change::Sent`]; 0 is the highest. Calls without it count
    /// as those of the lowest rank.
    Rank(u8),
}

/// Change of one call, as it is sent to the engine's owner.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Incarnation of the engine.
    pub engine: Digest,
    /// The call: its gateway's short hash in the upper half, and that gateway's number for it in
    /// the lower half.
    pub call: u64,
    /// Change in the state of the call.
    pub change: Change,
}

/// Occupancy of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Incarnation of the engine.
    pub engine: Digest,
    /// Calls at the engine, running and waiting.
    pub calls: u16,
    /// Prefill time of all prompts at the engine whose calls had no first event yet, in
    /// milliseconds.
    #[serde(rename = "unread_ms")]
    pub pending_prefill_ms: f32,
    /// Moving average of the time between two ends of calls, in milliseconds: the time until a slot
    /// of a full engine is free.
    pub interval_ms: f32,
    /// Pace of the engine, see [`Word`](super::pace::Word); zero if it is unknown.
    pub pace: u8,
    /// Length of the prompt's prefix that the engine has cached, by the owner's directory, in
    /// tokens; `None` if the owner does not follow the engine's cache. Messages have it after the
    /// snapshots, where earlier releases ignore it.
    #[serde(skip)]
    pub cached_tokens: Option<u32>,
    /// Calls of the highest ranks; `None` if they were not counted apart.
    pub ranks: Option<[Share; COUNTED_RANKS]>,
    /// Memory that the engine's calls hold; `None` if it is not limited. Messages have it after the
    /// cached tokens, where earlier releases ignore it.
    #[serde(skip)]
    pub memory: Option<Held>,
}

impl Snapshot {
    /// Whether the times are in bounds. A NaN would make the comparison of costs meaningless.
    pub fn is_valid(&self) -> bool {
        let bounds = 0.0..=MAX_SNAPSHOT_MS;
        let shares = self.ranks.iter().flatten();
        bounds.contains(&self.pending_prefill_ms)
            && bounds.contains(&self.interval_ms)
            && shares.into_iter().all(|share| bounds.contains(&share.pending_prefill_ms))
    }

    /// Calls that the engine serves before a new one of this rank, or of the lowest one. `None` if
    /// calls were not counted by rank.
    pub fn ahead_of(&self, rank: u8, is_lowest: bool) -> Option<Share> {
        let ranks = self.ranks.as_ref()?;
        if is_lowest || usize::from(rank) >= COUNTED_RANKS {
            let (calls, pending_prefill_ms) = (self.calls, self.pending_prefill_ms);
            return Some(Share { calls, pending_prefill_ms });
        }
        let sum = |sum: Share, share: &Share| Share {
            calls: sum.calls.saturating_add(share.calls),
            pending_prefill_ms: sum.pending_prefill_ms + share.pending_prefill_ms,
        };
        Some(ranks[..=usize::from(rank)].iter().fold(Share::default(), sum))
    }
}

/// Calls of one rank at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Calls, running and waiting.
    pub calls: u16,
    /// Prefill time of the prompts whose calls had no first event yet, in milliseconds.
    pub pending_prefill_ms: f32,
}

/// Call in progress at an engine.
#[derive(Clone, Debug)]
struct Entry {
    sent: Time,
    /// Rank of the call's route; 0 is the highest.
    rank: u8,
    /// Expected prefill time of the prompt, in milliseconds; zero after the first event.
    pending_prefill_ms: f64,
    /// Whether the first event, or the answer, has come.
    is_answered: bool,
    /// Memory that the call holds, as far as its gateway stated it.
    holding: Option<Holding>,
}

#[derive(Debug)]
struct Engine {
    /// Time from which this gateway has counted the engine's calls.
    since: Time,
    entries: BTreeMap<u64, Entry>,
    /// Time of the last end of a call.
    last_end: Option<Time>,
    /// Moving average of the time between two ends of calls, in milliseconds.
    interval_ms: f64,
    /// Moving average of the time from the sending of a call to its end, in milliseconds.
    run_ms: f64,
    /// Moving average of the share of calls that broke off.
    broken_share: f64,
    /// Time at which a call broke off last.
    broken_at: Option<Time>,
    pace: pace::Estimate,
    prefill: pace::Prefill,
}

/// Occupancy of the engines that this gateway owns or has owned recently.
#[derive(Debug, Default)]
pub struct Occupancy {
    engines: BTreeMap<Digest, Engine>,
}

impl Occupancy {
    fn engine(&mut self, now: Time, engine: Digest) -> &mut Engine {
        self.engines.entry(engine).or_insert_with(|| Engine {
            since: now,
            entries: BTreeMap::new(),
            last_end: None,
            interval_ms: PRIOR_INTERVAL_MS,
            run_ms: PRIOR_RUN_MS,
            broken_share: 0.0,
            broken_at: None,
            pace: pace::Estimate::default(),
            prefill: pace::Prefill::default(),
        })
    }

    /// Records a change of a call at an engine.
    pub fn record(&mut self, now: Time, update: &Update) {
        let engine = self.engine(now, update.engine);
        match update.change {
            Change::Sent(ms) => {
                let ms = if ms.is_nan() { 0.0 } else { f64::from(ms) };
                let pending_prefill_ms = ms.clamp(0.0, MAX_PREFILL_MS);
                let entry = Entry {
                    sent: now,
                    rank: u8::MAX,
                    pending_prefill_ms,
                    is_answered: false,
                    holding: None,
                };
                engine.prefill.record(now, entry.pending_prefill_ms);
                engine.entries.insert(update.call, entry);
            }
            Change::FirstEvent => {
                if let Some(entry) = engine.entries.get_mut(&update.call) {
                    entry.pending_prefill_ms = 0.0;
                    entry.is_answered = true;
                }
            }
            Change::Ended => engine.end(now, update.call),
            Change::Rank(rank) => {
                if let Some(entry) = engine.entries.get_mut(&update.call) {
                    entry.rank = rank;
                }
            }
            Change::Gaps(gaps, ms) => {
                let decoding = 1.0 - engine.prefill.share(now);
                engine.pace.record(now, gaps, f64::from(ms) * decoding);
            }
        }
    }

    /// Records the memory that a call holds; does nothing if the call is unknown, as after its end.
    pub fn record_need(&mut self, need: &Need) {
        let engine = self.engines.get_mut(&need.engine);
        if let Some(entry) = engine.and_then(|engine| engine.entries.get_mut(&need.call)) {
            entry.holding.get_or_insert_default().record(need);
        }
    }

    /// Memory that the calls at an engine hold besides `copied` tokens of runs elsewhere, and that
    /// they share with `prompt`.
    pub fn held(&self, engine: Digest, copied: u32, prompt: &[Part]) -> Held {
        let entries = self.engines.get(&engine).into_iter().flat_map(|e| e.entries.values());
        let holdings = entries.filter_map(|entry| Some((entry.rank, entry.holding.as_ref()?)));
        Held::of(holdings, copied, prompt)
    }

    /// Snapshot of an engine; `None` during the warm-up, when its calls are not yet all known.
    pub fn snapshot(&mut self, now: Time, engine: Digest) -> Option<Snapshot> {
        self.snapshot_within(now, engine, WARM_UP, CALL_LIFETIME)
    }

    /// The same for a plain replica.
    pub fn plain_snapshot(&mut self, now: Time, replica: Digest) -> Option<Snapshot> {
        self.snapshot_within(now, replica, PLAIN_WARM_UP, PLAIN_CALL_LIFETIME)
    }

    fn snapshot_within(
        &mut self,
        now: Time,
        engine: Digest,
        warm_up: Span,
        lifetime: Span,
    ) -> Option<Snapshot> {
        let owned = self.engine(now, engine);
        owned.drop_expired(now, lifetime);
        let complete = now.since(owned.since) >= warm_up;
        complete.then(|| Snapshot {
            engine,
            calls: owned.entries.len().min(usize::from(u16::MAX)) as u16,
            pending_prefill_ms: owned.entries.values().map(|e| e.pending_prefill_ms).sum::<f64>()
                as f32,
            interval_ms: owned.interval_ms as f32,
            pace: 0,
            cached_tokens: None,
            ranks: Some(std::array::from_fn(|rank| owned.share(rank))),
            memory: None,
        })
    }

    /// Moving average of the time that a call takes at a replica, in milliseconds.
    pub fn run_ms(&self, replica: Digest) -> f64 {
        self.engines.get(&replica).map_or(PRIOR_RUN_MS, |replica| replica.run_ms)
    }

    /// Calls up to which a plain replica gets more if calls break off there: none for
    /// a short pause after the last one, then one at a time; `None` if it is not failing.
    pub fn failing_limit(&self, now: Time, replica: Digest) -> Option<u16> {
        let failing = self.engines.get(&replica).filter(|r| r.broken_share > FAILING_SHARE)?;
        let is_paused = failing.broken_at.is_some_and(|at| now.since(at) < FAILING_PAUSE);
        Some(u16::from(!is_paused))
    }

    /// Estimate of an engine's pace; `None` for an engine without calls so far.
    pub fn pace(&self, engine: Digest) -> Option<&pace::Estimate> {
        self.engines.get(&engine).map(|engine| &engine.pace)
    }

    /// Drops the calls of gateways that are not alive.
    pub fn retain_gateways(&mut self, mut is_alive: impl FnMut(u32) -> bool) {
        for engine in self.engines.values_mut() {
            engine.entries.retain(|call, _| is_alive((call >> 32) as u32));
        }
    }

    /// Drops the engines that this gateway does not own.
    pub fn retain_engines(&mut self, mut is_owned: impl FnMut(Digest) -> bool) {
        self.engines.retain(|engine, _| is_owned(*engine));
    }
}

impl Engine {
    /// Calls of a rank.
    fn share(&self, rank: usize) -> Share {
        let of_rank = self.entries.values().filter(|entry| usize::from(entry.rank) == rank);
        let sum = |(calls, ms): (u16, f64), entry: &Entry| {
            (calls.saturating_add(1), ms + entry.pending_prefill_ms)
        };
        let (calls, ms) = of_rank.fold((0, 0.0), sum);
        Share { calls, pending_prefill_ms: ms as f32 }
    }

    /// Drops the calls that were sent `lifetime` ago. A frozen replica has such calls, and counts as
    /// slow.
    fn drop_expired(&mut self, now: Time, lifetime: Span) {
        let known = self.entries.len();
        self.entries.retain(|_, entry| now.since(entry.sent) < lifetime);
        (self.entries.len()..known).for_each(|_| self.record_run(lifetime));
    }

    fn record_run(&mut self, run: Span) {
        let ms = (run.as_secs_f64() * 1e3).min(MAX_RUN_MS);
        self.run_ms += INTERVAL_WEIGHT * (ms - self.run_ms);
    }

    /// Records the end of a call; does nothing if the call is unknown.
    fn end(&mut self, now: Time, call: u64) {
        let Some(entry) = self.entries.remove(&call) else {
            return;
        };
        let run = now.since(entry.sent);
        let is_broken =
            !entry.is_answered && run.as_secs_f64() * 1e3 < self.run_ms / BROKEN_RUN_DIVISOR;
        self.broken_share += BROKEN_WEIGHT * (f64::from(u8::from(is_broken)) - self.broken_share);
        match is_broken {
            true => self.broken_at = Some(now),
            false => self.record_run(run),
        }
        if let Some(previous) = self.last_end.replace(now) {
            let ms = now.since(previous).as_secs_f64() * 1e3;
            let ms = ms.clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS);
            self.interval_ms += INTERVAL_WEIGHT * (ms - self.interval_ms);
        }
    }
}
