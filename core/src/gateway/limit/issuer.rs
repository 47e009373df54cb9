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

/// Permits that may be issued at once after a time without requests: one to issue, and one to keep
/// for each of two higher ranks.
const BURST: f64 = 3.0;
/// Further permits that may be issued at once, in seconds of the rate. With high rates, requests
/// come less evenly than permits do.
const BURST_SECS: f64 = 0.05;
/// Longest time between two permits, also for a limit of zero: without an answer of the replica
/// nobody would learn that its limit has ended.
const PROBE_INTERVAL: Span = Span::secs(10);
/// Time after a request of a rank in which one permit is kept for it, and lower ranks reserve none
/// ahead.
const ACTIVE_PERIOD: Span = Span::secs(1);
/// Lower bound on that time, in permits issued: with a low rate, a second may hold none.
const ACTIVE_PERMITS: u64 = 2;
/// A rank that got none of this many permits gets the next one.
const STARVATION_PERMITS: u64 = 8;
/// Period in which requests for permits are counted.
const COUNTING_PERIOD: Span = Span::secs(1);
/// Requests that an issuer expects for each permit. Gateways that were denied one ask again later if
/// there are more, so that hundreds of them do not ask for each permit.
const REQUESTS_PER_PERMIT: f64 = 4.0;
/// Requests a second that an issuer expects for each replica besides.
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
    /// Longest time that the call can wait and be on time, in milliseconds.
    pub on_time_ms: u16,
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
    /// Time of the last request.
    requested_at: Time,
    /// Time when a call last could not wait long enough.
    denied_at: Option<Time>,
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

fn active_period(interval: Span) -> Span {
    ACTIVE_PERIOD.max(Span(interval.0 * ACTIVE_PERMITS))
}

impl Rank {
    /// Longest time that a call of the rank waits. If some calls must be denied a permit anyway,
    /// the others need not be late.
    fn patience(&self, now: Time, interval: Span, request: &Request) -> Span {
        let is_short = self.denied_at.is_some_and(|at| now.since(at) < active_period(interval));
        let on_time = if is_short { request.on_time_ms } else { u16::MAX };
        Span::millis(u64::from(request.patience_ms.min(on_time)))
    }
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
        let first = Rank { requested_at: now, denied_at: None, served_at: now };
        let mut rank = *self.ranks.entry(request.rank).or_insert(first);
        rank.requested_at = now;
        let higher = self.active_ranks_above(now, interval, request.rank);
        let is_starving = now.since(rank.served_at) > Span(interval.0 * STARVATION_PERMITS);
        let wait = match is_starving {
            true => Span(0),
            false => (self.next + Span(interval.0 * higher)).since(now),
        };
        let patience = match higher {
            0 => rank.patience(now, interval, request),
            _ => Span(0),
        };
        let granted = wait <= patience;
        if granted {
            self.next = self.next + interval;
            rank.served_at = now;
        } else if request.patience_ms > 0 {
            rank.denied_at = Some(now);
        }
        self.ranks.insert(request.rank, rank);
        if granted {
            return Verdict::Granted(wait.as_millis() as u16);
        }
        let denial = self.denial(now, interval, Span(wait.0 - patience.0));
        Verdict::Denied(denial.as_millis() as u16)
    }

    /// Number of ranks above `rank` that recently asked, for each of which a permit is kept.
    fn active_ranks_above(&self, now: Time, interval: Span, rank: u8) -> u64 {
        let above = self.ranks.range(..rank).map(|(_, rank)| rank);
        let active = above.filter(|rank| now.since(rank.requested_at) < active_period(interval));
        active.count().min(BURST as usize - 1) as u64
    }

    /// Discards permits that were left over beyond a burst.
    fn discard_surplus(&mut self, now: Time, interval: Span) {
        let burst = BURST - 1.0 + BURST_SECS / interval.as_secs_f64();
        self.next = self.next.max(now - Span((interval.0 as f64 * burst) as u64));
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
