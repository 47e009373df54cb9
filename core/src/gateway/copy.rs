//! Copies of runs: which streams are copied while they run, what a standby may keep, and when a run
//! that broke off may continue from its copy.
//!
//! A stream that is not idempotent ends with its engine. Some engines copy the memory of a run to
//! another engine, the standby, which can continue it as the same run. Each engine's owner counts the
//! copies of all gateways there, so that these never take more than a share of its cache. A run
//! continues only once its first engine no longer works on it: two runs of one request are worse
//! than a lost stream.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use super::config::Engine;
use crate::incarnation::Digest;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

/// Share of a standby's cache that copies may take. Copies push out cached prompts of other calls.
const MAX_STANDBY_RATIO: f64 = 0.1;
/// Share of a caller's remaining time for which a copy may keep a link busy. The copies of other
/// runs and fetched prompts wait for the same link.
const MAX_LINK_RATIO: f64 = 0.1;
/// Least number of events that a run is expected to send. A shorter run is over before its copy is
/// of use.
const MIN_EVENTS: u64 = 3;
/// Engines that are drawn for a copy, of which one holds it.
const DRAWN_STANDBYS: usize = 2;
/// Most copies that an owner counts at one engine, whatever their size.
const MAX_STANDBY_COPIES: usize = 256;
/// Longest time for which an owner counts a copy.
const MAX_COPY_TTL: Span = Span::secs(120);
/// Time between two sweeps of expired copies.
const SWEEP_INTERVAL: Span = Span::secs(1);
/// Time for which an engine that did not have a copy holds no new ones.
const REFUSAL_TTL: Span = Span::secs(5);

/// Upper bound on the age of what an engine reports of its runs.
const MAX_REPORT_AGE: Span = Span::millis(500);
/// Time between two probes of an engine that still works on a run.
const PROBE_INTERVAL: Span = Span::millis(200);
/// Time after a break within which a run continues or is given up. Callers abandon a stream after
/// a pause of two seconds.
const PROBE_TIMEOUT: Span = Span::millis(1_500);
/// Connections in a row that have to time out until an engine counts as out of reach: a single
/// packet may be lost.
const MIN_CONNECT_TIMEOUTS: u32 = 2;

/// What a run may cost its caller, and its copy the engines.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer in tokens.
    pub output_tokens: u64,
    /// Expected prefill time of the prompt at another engine, in milliseconds.
    pub prefill_ms: f64,
    /// Time until the caller's deadline.
    pub remaining: Span,
    /// Whether no call of the service ranks lower.
    pub lowest_rank: bool,
}

impl Run {
    /// Length of the run's memory at its end, in tokens.
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }

    /// Whether a copy of the run is worth its transfer and its memory.
    ///
    /// Runs of the lowest rank are not copied: they have the long prompts, and the standby's room
    /// belongs to those whose loss costs their callers more.
    pub fn is_worth_copy(&self, engine: &Engine) -> bool {
        let Some(transfer) = engine.transfer.filter(|_| engine.backups) else {
            return false;
        };
        let events = self.output_tokens / u64::from(engine.tokens_per_event.max(1));
        let copy_ms = transfer.copy_ms(self.tokens());
        !self.lowest_rank
            && events >= MIN_EVENTS
            && copy_ms <= self.prefill_ms
            && copy_ms <= self.remaining.as_secs_f64() * 1e3 * MAX_LINK_RATIO
    }
}

/// Whether a run's id can name its copy. It is sent between a slash and the end of a header.
pub fn is_valid_id(id: &[u8]) -> bool {
    (1..=64).contains(&id.len())
        && id.iter().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(b))
}

/// Asks an engine's owner for room for a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Incarnation of the standby.
    pub standby: Digest,
    /// Short hash of the gateway that serves the run.
    pub gateway: u32,
    /// Hash of the run's id, by which the standby names its copy.
    pub run: u64,
    /// Length of the run's memory in tokens.
    pub tokens: u32,
    /// Time until the copy has lapsed, in milliseconds.
    pub ttl_ms: u32,
}

/// Notifies an engine's owner that a copy is freed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Incarnation of the standby.
    pub standby: Digest,
    /// Short hash of the gateway that served the run.
    pub gateway: u32,
    /// Hash of the run's id.
    pub run: u64,
    /// Time until the standby frees the copy, in milliseconds; 0 if the run has ended successfully.
    pub after_ms: u32,
}

/// Message on copies between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A request, whose response is whether there is room.
    Reserve(Reservation),
    /// Needs no response.
    Release(Release),
}

#[derive(Clone, Copy, Debug)]
struct Held {
    gateway: u32,
    tokens: u32,
    until: Time,
}

/// Copies at the engines that this gateway owns, by standby and run.
#[derive(Debug, Default)]
pub struct Ledger {
    engines: BTreeMap<Digest, BTreeMap<u64, Held>>,
    swept_at: Time,
}

impl Ledger {
    /// Reserves room for a copy at a standby with a cache of `kv_tokens`; `false` if there is none.
    ///
    /// Two runs with the same id get no room at the same standby, so that neither can continue from
    /// the copy of the other one.
    pub fn reserve(&mut self, now: Time, kv_tokens: u64, reservation: &Reservation) -> bool {
        self.sweep(now);
        let copies = self.engines.entry(reservation.standby).or_default();
        copies.retain(|_, held| now < held.until);
        let taken: u64 = copies.values().map(|held| u64::from(held.tokens)).sum();
        let room = (kv_tokens as f64 * MAX_STANDBY_RATIO) as u64;
        let fits = taken + u64::from(reservation.tokens) <= room
            && copies.len() < MAX_STANDBY_COPIES
            && !copies.contains_key(&reservation.run);
        if fits {
            let ttl = Span::millis(u64::from(reservation.ttl_ms)).min(MAX_COPY_TTL);
            let (gateway, tokens) = (reservation.gateway, reservation.tokens);
            copies.insert(reservation.run, Held { gateway, tokens, until: now + ttl });
        }
        fits
    }

    /// Records that a copy is freed; a gateway can only free its own ones.
    pub fn release(&mut self, now: Time, release: &Release) {
        let copies = self.engines.get_mut(&release.standby);
        let held = copies.and_then(|copies| copies.get_mut(&release.run));
        if let Some(held) = held.filter(|held| held.gateway == release.gateway) {
            held.until = held.until.min(now + Span::millis(u64::from(release.after_ms)));
        }
    }

    /// Tokens of all copies at a standby.
    pub fn tokens(&self, now: Time, standby: Digest) -> u64 {
        let copies = self.engines.get(&standby).into_iter().flat_map(BTreeMap::values);
        copies.filter(|held| now < held.until).map(|held| u64::from(held.tokens)).sum()
    }

    fn sweep(&mut self, now: Time) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.engines.retain(|_, copies| {
            copies.retain(|_, held| now < held.until);
            !copies.is_empty()
        });
    }

    /// Number of engines with copies, some of which may have lapsed.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether there are no copies.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}

/// Engines that had no copy although a run had asked for it: they have no room.
#[derive(Debug, Default)]
pub struct Refusals {
    until: BTreeMap<Digest, Time>,
}

impl Refusals {
    /// Records that `standby` had no copy of a run.
    pub fn record(&mut self, now: Time, standby: Digest) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(standby, now + REFUSAL_TTL);
    }

    /// Whether an engine may hold further copies.
    pub fn allows(&self, now: Time, standby: Digest) -> bool {
        self.until.get(&standby).is_none_or(|until| now >= *until)
    }
}

/// An engine as a possible standby.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// On the host of the run's engine, so that a loss of the host loses both.
    pub same_host: bool,
    /// In another failure domain than the run's engine; links between domains are narrow.
    pub other_domain: bool,
    /// Calls at the engine, running and waiting.
    pub calls: f64,
    /// Hash of the engine's incarnation.
    pub hash: u64,
}

/// Index of the engine that holds the copy of a run; `None` if there is no candidate.
///
/// Engines of another host and the same failure domain come first. Of two that are drawn by the
/// run's hash, the one with fewer calls holds the copy: if all gateways took the engine with the
/// fewest, they would all take the same one.
pub fn choose_standby(candidates: &[Candidate], run: u64) -> Option<usize> {
    let rank = |c: &Candidate| (c.same_host, c.other_domain);
    let best = candidates.iter().map(rank).min()?;
    let eligible = candidates.iter().enumerate().filter(|(_, c)| rank(c) == best);
    let mut drawn: Vec<(usize, &Candidate)> = eligible.collect();
    drawn.sort_by_key(|(_, c)| std::cmp::Reverse(rendezvous::score(run, c.hash)));
    drawn.truncate(DRAWN_STANDBYS);
    let standby = drawn.into_iter().min_by(|(_, a), (_, b)| a.calls.total_cmp(&b.calls));
    standby.map(|(index, _)| index)
}

/// What a probe of the engine on which a run broke off shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Observation {
    /// No process listens at its address.
    Refused,
    /// Another incarnation has its address.
    Replaced,
    /// It accepted a connection.
    Accepted,
    /// It reports that it neither runs nor queues the run.
    Idle,
    /// It reports the run, or calls that wait, which may include the run.
    Working,
    /// No connection was made in time.
    TimedOut,
    /// Anything else; also a reset, as an engine resets connections beyond its limit.
    Unclear,
}

/// Why a run is known to have ended at its first engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Evidence {
    /// The process has ended.
    Ended,
    /// The engine dropped the run when its connection closed.
    Dropped,
    /// The engine is out of this gateway's reach.
    OutOfReach,
}

/// What follows from a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The engine no longer works on the run.
    Stopped(Evidence),
    /// The next probe is made at this time.
    Probe(Time),
    /// The engine may still work on the run, which must not continue elsewhere.
    Unknown,
}

/// Decides by probes whether the engine on which a run broke off still works on it.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    closed: Time,
    end: Time,
    /// Whether the call may be sent to another engine while the first one lives.
    attempts_left: bool,
    timeouts: u32,
}

impl Watch {
    /// A watch of a run whose connection was closed at `closed`. `attempts_left` says whether the
    /// call may be sent to a further engine while the first one lives.
    pub fn new(closed: Time, deadline: Time, attempts_left: bool) -> Watch {
        let end = (closed + PROBE_TIMEOUT).min(deadline);
        Watch { closed, end, attempts_left, timeouts: 0 }
    }

    /// Whether the engine can be asked for its report at `now`: an earlier one may be of a time
    /// before the break.
    pub fn may_ask(&self, now: Time) -> bool {
        now >= self.closed + MAX_REPORT_AGE
    }

    /// Records an observation made at `now` by a probe that began at `sent`.
    pub fn record(&mut self, now: Time, sent: Time, observation: Observation) -> Verdict {
        self.timeouts = if observation == Observation::TimedOut { self.timeouts + 1 } else { 0 };
        let next = match observation {
            Observation::Refused | Observation::Replaced => {
                return Verdict::Stopped(Evidence::Ended);
            }
            Observation::TimedOut if self.timeouts >= MIN_CONNECT_TIMEOUTS => {
                return Verdict::Stopped(Evidence::OutOfReach);
            }
            Observation::Idle if self.may_ask(sent) => {
                return match self.attempts_left {
                    true => Verdict::Stopped(Evidence::Dropped),
                    false => Verdict::Unknown,
                };
            }
            Observation::TimedOut => now,
            Observation::Accepted | Observation::Idle => self.closed + MAX_REPORT_AGE,
            Observation::Working | Observation::Unclear => now + PROBE_INTERVAL,
        };
        let next = next.max(now);
        if next >= self.end { Verdict::Unknown } else { Verdict::Probe(next) }
    }
}

/// A continuation sent an event that does not follow the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event of a continued stream does not follow the one before")]
pub struct Gap;

/// Which ids may follow one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    /// The next number. The run is the same, and an engine numbers all its events.
    Consecutive,
    /// Any greater number. Services may skip some, and send further events without one.
    Increasing,
}

/// Checks that the events of a continuation follow the last one that the caller has.
#[derive(Clone, Copy, Debug)]
pub struct Sequence {
    last: u64,
    order: Order,
}

impl Sequence {
    /// The events of a run after the one with id `last`; `None` if it is not a number, so that the
    /// next one is unknown.
    pub fn after(last: &[u8]) -> Option<Sequence> {
        parse_id(last).map(|last| Sequence { last, order: Order::Consecutive })
    }

    /// The events of a new run that goes on after the event with id `last`; `None` if it is not a
    /// number, so that nothing is known of the order.
    pub fn resumed_after(last: &[u8]) -> Option<Sequence> {
        parse_id(last).map(|last| Sequence { last, order: Order::Increasing })
    }

    /// Id of the last event.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Checks whole events in their order.
    ///
    /// # Errors
    ///
    /// [`Gap`] if an event has no id that may follow.
    pub fn check(&mut self, events: &[u8]) -> Result<(), Gap> {
        let mut id = None;
        let mut is_open = false;
        let lines = events.strip_suffix(b"\n").unwrap_or(events);
        for line in lines.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                if std::mem::take(&mut is_open) {
                    self.advance(id.take())?;
                }
                continue;
            }
            if line.starts_with(b":") {
                continue;
            }
            is_open = true;
            if let Some(value) = line.strip_prefix(b"id:") {
                let number = parse_id(value.trim_ascii()).ok_or(Gap)?;
                if id.replace(number).is_some() {
                    return Err(Gap);
                }
            }
        }
        if is_open { Err(Gap) } else { Ok(()) }
    }

    fn advance(&mut self, id: Option<u64>) -> Result<(), Gap> {
        match (self.order, id) {
            (Order::Consecutive, Some(id)) if Some(id) == self.last.checked_add(1) => {
                self.last = id
            }
            (Order::Increasing, Some(id)) if id > self.last => self.last = id,
            (Order::Increasing, None) => {}
            _ => return Err(Gap),
        }
        Ok(())
    }
}

/// Parses the id of an event; `None` if it is no number.
fn parse_id(id: &[u8]) -> Option<u64> {
    // `parse` accepts a sign.
    let is_number = id.iter().all(u8::is_ascii_digit);
    is_number.then(|| std::str::from_utf8(id).ok()?.parse().ok()).flatten()
}
