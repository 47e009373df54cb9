//! Issues permits for requests to replicas with a limit.
//!
//! A limit may be lower than one request a second for each gateway, so no gateway has a share of
//! its own. One live gateway, chosen by rendezvous hashing, issues the permits for a replica, at
//! the stated rate and one at a time. A permit may be valid only some time later; it reserves that
//! time for its call. Urgent calls may reserve before others, and no rank starves.
//!
//! An issuer that has just taken over does not know the permits of the one before, so it begins
//! with none to spare. If two gateways issue for a moment, because they disagree on who is live,
//! the replica gets at most twice its limit for that long.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Record;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Permits that may be issued at once after a time without requests, ...
const BURST: f64 = 2.0;
/// ... and seconds of the rate that may be issued with them.
const BURST_SECS: f64 = 0.05;
/// Longest time between two permits, also for a limit of zero: without an answer of the replica
/// nobody would learn that its limit has ended.
const PROBE_INTERVAL: Span = Span::secs(10);
/// Time after a call of a rank had to wait, or was denied a permit, in which lower ranks get only
/// permits that are valid at once.
const PRESSURE_PERIOD: Span = Span::secs(1);
/// A rank that got none of this many permits gets the next one.
const STARVATION_PERMITS: f64 = 8.0;
/// Period in which requests for permits are counted.
const COUNTING_PERIOD: Span = Span::secs(1);
/// Requests for permits a second that an issuer expects for each permit, ...
const REQUESTS_PER_PERMIT: f64 = 4.0;
/// ... and for each replica. Gateways that are denied a permit ask again later if there are more.
const REQUESTS_PER_REPLICA: f64 = 20.0;
/// Range of the time after which a gateway that was denied a permit asks again.
const MIN_DENIAL: Span = Span::millis(20);
const MAX_DENIAL: Span = Span::secs(2);

/// Request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The replica and its limit, as far as the sender knows.
    pub limit: Record,
    /// Rank of the call's route; 0 is the highest.
    pub rank: u8,
    /// Longest time that the call can wait, in milliseconds.
    pub patience_ms: u16,
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The replica has no limit.
    NotNeeded,
    /// The call may be sent after this many milliseconds.
    Granted(u16),
    /// No call of this rank may be sent; ask again after this many milliseconds.
    Denied(u16),
}

/// Permits of one rank.
#[derive(Clone, Copy, Debug)]
struct Rank {
    /// Time when a call last had to wait, or was denied a permit.
    pressed_at: Option<Time>,
    /// Time of the last permit; before the first one, of the first request.
    served_at: Time,
}

#[derive(Debug)]
struct Bucket {
    /// Time when the next permit is valid. It lies in the past if permits are left over.
    next: Time,
    ranks: BTreeMap<u8, Rank>,
    /// Start of the current counting period, its requests, and those of the period before.
    counted_since: Time,
    requests: u32,
    previous_requests: u32,
}

/// Permits of the replicas that this gateway issues them for.
#[derive(Debug, Default)]
pub struct Issuer {
    buckets: BTreeMap<Digest, Bucket>,
}

impl Issuer {
    /// Decides on a request for a permit, at `rate` permits a second.
    pub fn decide(&mut self, now: Time, rate: f64, request: &Request) -> Verdict {
        let interval = interval(rate);
        let replica = request.limit.replica;
        let bucket = self.buckets.entry(replica).or_insert_with(|| Bucket::new(now + interval));
        bucket.count_request(now);
        bucket.decide(now, interval, request)
    }

    /// Drops the replicas that this gateway issues no permits for.
    pub fn retain(&mut self, mut is_issued: impl FnMut(Digest) -> bool) {
        self.buckets.retain(|replica, _| is_issued(*replica));
    }
}

/// Time between two permits.
fn interval(rate: f64) -> Span {
    if rate * PROBE_INTERVAL.as_secs_f64() <= 1.0 {
        return PROBE_INTERVAL;
    }
    Span::from_secs_f64(1.0 / rate)
}

impl Bucket {
    fn new(next: Time) -> Bucket {
        Bucket {
            next,
            ranks: BTreeMap::new(),
            counted_since: next,
            requests: 0,
            previous_requests: 0,
        }
    }

    fn count_request(&mut self, now: Time) {
        if now.since(self.counted_since) >= COUNTING_PERIOD {
            self.previous_requests = std::mem::take(&mut self.requests);
            self.counted_since = now;
        }
        self.requests += 1;
    }

    fn decide(&mut self, now: Time, interval: Span, request: &Request) -> Verdict {
        self.discard_surplus(now, interval);
        let first = Rank { pressed_at: None, served_at: now };
        let rank = *self.ranks.entry(request.rank).or_insert(first);
        let wait = self.next.since(now);
        let is_starving =
            now.since(rank.served_at).0 as f64 > interval.0 as f64 * STARVATION_PERMITS;
        let patience = match self.is_pressed(now, request.rank) {
            true => Span(0),
            false => Span::millis(u64::from(request.patience_ms)),
        };
        let wait = if is_starving { Span(0) } else { wait };
        if wait.0 > 0 {
            self.ranks.insert(request.rank, Rank { pressed_at: Some(now), ..rank });
        }
        if wait > patience {
            let denial = self.denial(now, interval, Span(wait.0 - patience.0));
            return Verdict::Denied(denial.as_millis() as u16);
        }
        self.next = self.next + interval;
        if let Some(rank) = self.ranks.get_mut(&request.rank) {
            rank.served_at = now;
        }
        Verdict::Granted(wait.as_millis() as u16)
    }

    /// Discards permits that were left over beyond a burst.
    fn discard_surplus(&mut self, now: Time, interval: Span) {
        let burst = BURST - 1.0 + BURST_SECS / interval.as_secs_f64();
        self.next = self.next.max(now - Span((interval.0 as f64 * burst) as u64));
    }

    /// Whether calls above `rank` recently had to wait or were denied a permit.
    fn is_pressed(&self, now: Time, rank: u8) -> bool {
        let above = self.ranks.range(..rank).filter_map(|(_, rank)| rank.pressed_at);
        above.into_iter().any(|at| now.since(at) < PRESSURE_PERIOD)
    }

    /// Time after which to ask again, if a permit is possible after `wait` at the earliest.
    fn denial(&self, now: Time, interval: Span, wait: Span) -> Span {
        let expected = REQUESTS_PER_PERMIT / interval.as_secs_f64() + REQUESTS_PER_REPLICA;
        let is_fresh = now.since(self.counted_since) < COUNTING_PERIOD;
        let previous = if is_fresh { self.previous_requests } else { 0 };
        let requests = f64::from(self.requests.max(previous));
        let crowd = Span::from_secs_f64(requests / expected);
        let crowd = if requests > expected { crowd } else { Span(0) };
        wait.max(crowd).clamp(MIN_DENIAL, MAX_DENIAL)
    }
}
