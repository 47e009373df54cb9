//! Queue of the calls that wait for a place at one replica.
//!
//! Calls are granted places in the order of their ranks. Within a rank the order is: a call that was
//! passed over too often, calls that can be on time, late calls that were refused before and have
//! returned, and other late calls; of each kind first those of the organisation with the least work
//! granted lately, and within an organisation those that must start first. One place in
//! [`RETURNING_DIVISOR`] goes to a call that has returned before those that can be on time: if all
//! such calls went first, in a long overload all places would go to calls that are late. A granted place is reserved until the call is counted
//! in the replica's occupancy, or for [`RESERVATION_TTL`].

use std::collections::BTreeMap;

use super::Answer;
use super::Cause;
use super::Decision;
use super::Request;
use super::share::Shares;
use crate::gateway::occupancy::Snapshot;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

/// Time for which a granted place is reserved for a call that was not sent: a round trip between
/// failure domains and the opening of a connection. A lost grant leaves its place unused for as
/// long.
pub const RESERVATION_TTL: Span = Span::millis(250);
/// Time without a request of its gateway after which a waiting call is dropped: the gateway has
/// ended, or was cut off. It covers several requests, since some are lost.
pub const REQUEST_TTL: Span = Span::millis(500);
/// Share of the places and of a full queue, as a divisor, that calls which have returned get before
/// those that can be on time.
pub const RETURNING_DIVISOR: u8 = 4;
/// Upper bound on the calls in a queue, in multiples of the replica's slots.
pub const MAX_CALLS_PER_SLOT: usize = 4;
/// Upper bound on the calls that are known to have been sent or to have left.
const MAX_CLOSED: usize = 512;
/// Time for which a call is known to have been sent or to have left. Without it, a delayed copy of
/// its request would reserve a place for nobody.
const CLOSED_TTL: Span = Span::secs(1);
/// Times that a call is passed over before it goes first: the one that has waited longest of its
/// rank, or one whose prompt had no room while a smaller one had. A
/// large prompt would otherwise wait for as long as smaller ones come.
pub const MAX_PASSED_OVER: u8 = 8;
/// Ratio of prefill times from which a prompt that has no room is passed over for a smaller one. At a
/// ratio of 1, calls of equal size that wait until shortly before they are late would all go first.
const LARGER_RATIO: f32 = 2.0;
/// Upper bound on the pending prefill at a replica ahead of a call of the lowest rank, as a share of
/// the time until its first event is due. Expected times are often too short: of long prompts with
/// an expected wait of more than this share, over a fifth were late.
const MAX_PENDING_RATIO: f64 = 0.6;
/// Share of its time, as a divisor, that a late call waits before it is refused, so that its caller can
/// still return. While enough calls that can be on time come, a late one would wait in vain until
/// its caller leaves.
const LATE_WAIT_DIVISOR: u64 = 2;
/// Least work that a granted place counts for, in milliseconds.
const MIN_WORK_MS: f64 = 10.0;
/// Time after the last request for which a queue without calls remembers what organisations were
/// granted and which times to return were sent to callers.
const IDLE_TTL: Span = Span::secs(6);
/// Range of the times in refusals after which callers may return.
const MIN_RETRY_AFTER: Span = Span::millis(100);
const MAX_RETRY_AFTER: Span = Span::millis(1_500);

/// A call that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    request: Request,
    joined: Time,
    /// Time of the newest request for the call.
    requested: Time,
    /// Time until which the call must be sent to be on time.
    on_time_until: Time,
    /// Time until which the call must be sent to be answered at all.
    limit: Time,
    passed_over: u8,
}

/// Place in the order of grants; the least goes first.
type Order = ((u8, u8), bool, u8, u64, Time, Time, u64);

/// Place in the order of eviction from a full queue; the greatest goes first.
type Eviction = ((u8, u8), bool, bool, usize, Time, u64);

impl Waiting {
    fn new(now: Time, request: &Request, joined: Time) -> Waiting {
        Waiting {
            request: *request,
            joined,
            requested: now,
            on_time_until: offset(now, i64::from(request.on_time_ms)),
            limit: offset(now, i64::from(request.limit_ms)),
            passed_over: 0,
        }
    }

    fn rank(&self) -> (u8, u8) {
        (self.request.rank, self.request.organisation_rank)
    }

    fn is_late(&self, now: Time) -> bool {
        now > self.on_time_until
    }

    /// Whether calls that can be on time go first.
    fn yields(&self, now: Time) -> bool {
        self.is_late(now) && !self.request.is_returning
    }

    /// Whether a late call has waited long enough to be refused.
    fn is_stale(&self, now: Time) -> bool {
        let longest = Span(self.limit.since(self.joined).0 / LATE_WAIT_DIVISOR);
        self.yields(now) && !self.is_overdue() && now.since(self.joined) > longest
    }

    /// Whether the prompt is so much larger than another one that it was passed over for its size.
    fn is_larger(&self, other: &Waiting) -> bool {
        self.request.prefill_ms >= LARGER_RATIO * other.request.prefill_ms
    }

    fn is_overdue(&self) -> bool {
        self.passed_over >= MAX_PASSED_OVER
    }
}

/// The time `ms` milliseconds from `now`.
fn offset(now: Time, ms: i64) -> Time {
    Time(now.0.saturating_add_signed(ms.saturating_mul(1_000)))
}

/// A granted place whose call is not counted in the occupancy yet.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    until: Time,
    prefill_ms: f64,
}

/// Calls that wait or hold a reserved place.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Calls that wait.
    pub waiting: usize,
    /// Reserved places.
    pub reserved: usize,
    /// Expected prefill time of the prompts of all these calls, in milliseconds.
    pub prefill_ms: f64,
}

/// Queue of one replica.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<u64, Waiting>,
    reserved: BTreeMap<u64, Reservation>,
    /// Calls that were sent or have left, with the times until which that is remembered.
    closed: BTreeMap<u64, Time>,
    shares: Shares,
    /// Time to return that was sent with the latest refusal.
    promised: Time,
    /// Time of the newest request.
    used: Time,
    /// Places granted since the last one that went to a call that has returned.
    since_returning: u8,
    /// Calls that were evicted.
    evicted: Vec<Decision>,
}

impl Queue {
    /// Adds a call, or refreshes it if it waits already. [`Queue::decide`] then grants places.
    pub fn join(&mut self, now: Time, request: &Request, occupancy: &Snapshot) -> Answer {
        if !request.is_valid() || self.closed.get(&request.call).is_some_and(|end| now < *end) {
            return Answer::Unknown;
        }
        self.used = now;
        if let Some(reservation) = self.reserved.get_mut(&request.call) {
            // The grant was lost.
            reservation.until = now + RESERVATION_TTL;
            return Answer::Granted;
        }
        let known = self.waiting.get(&request.call);
        let passed_over = known.map_or(0, |waiting| waiting.passed_over);
        let joined = known.map_or(now, |waiting| waiting.joined);
        let waiting = Waiting { passed_over, ..Waiting::new(now, request, joined) };
        if known.is_none() && self.waiting.len() >= max_calls(request) {
            let last = self.waiting.values().map(|w| self.eviction(now, w)).max();
            let own = self.eviction(now, &waiting);
            match last {
                Some(last) if own < last => self.evict(now, last.5, occupancy),
                _ => return self.refuse(now, request.call, Cause::Full, occupancy),
            }
        }
        self.waiting.insert(request.call, waiting);
        Answer::Queued
    }

    /// Records that a call was sent or has left.
    pub fn close(&mut self, now: Time, call: u64) {
        let was_known =
            self.waiting.remove(&call).is_some() | self.reserved.remove(&call).is_some();
        if was_known && self.closed.len() < MAX_CLOSED {
            self.closed.insert(call, now + CLOSED_TTL);
        }
    }

    /// Grants free places and refuses the calls that can't start in time, by the replica's occupancy
    /// without the reserved places.
    pub fn decide(&mut self, now: Time, occupancy: &Snapshot) -> Vec<Decision> {
        self.closed.retain(|_, end| now < *end);
        self.reserved.retain(|_, reservation| now < reservation.until);
        self.waiting.retain(|_, waiting| now.since(waiting.requested) < REQUEST_TTL);
        let mut decisions = std::mem::take(&mut self.evicted);
        while let Some((call, skipped)) = self.next(now, occupancy) {
            self.grant(now, call, &skipped);
            decisions.push((call, Answer::Granted));
        }
        for call in self.hopeless(now, occupancy) {
            self.waiting.remove(&call);
            decisions.push((call, self.refuse(now, call, Cause::Hopeless, occupancy)));
        }
        decisions
    }

    /// Whether a place is reserved for a call.
    pub fn is_reserved(&self, now: Time, call: u64) -> bool {
        self.reserved.get(&call).is_some_and(|reservation| now < reservation.until)
    }

    /// Sets the calls up to which all waiting calls get a place.
    pub fn set_max_calls(&mut self, max_calls: u16) {
        self.waiting.values_mut().for_each(|waiting| waiting.request.max_calls = max_calls);
    }

    /// Ends all waiting, because this gateway can't decide on it.
    pub fn dissolve(&mut self) -> Vec<Decision> {
        self.reserved.clear();
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_keys().map(|call| (call, Answer::Unknown)).collect()
    }

    /// Calls that wait or hold a reserved place.
    pub fn load(&self) -> Load {
        let waiting = self.waiting.values().map(|w| f64::from(w.request.prefill_ms));
        let reserved = self.reserved.values().map(|r| r.prefill_ms);
        Load {
            waiting: self.waiting.len(),
            reserved: self.reserved.len(),
            prefill_ms: waiting.chain(reserved).sum(),
        }
    }

    /// Whether nothing of the queue matters any longer at `now`.
    pub fn is_idle(&self, now: Time) -> bool {
        let is_empty = self.waiting.is_empty() && self.reserved.is_empty();
        is_empty && now.since(self.used) > IDLE_TTL
    }

    fn order(&self, now: Time, waiting: &Waiting) -> Order {
        let request = &waiting.request;
        (
            waiting.rank(),
            !waiting.is_overdue(),
            self.class(now, waiting),
            self.shares.granted_us(now, request.organisation),
            waiting.on_time_until,
            waiting.joined,
            request.call,
        )
    }

    /// Class of a call within its rank; the lowest goes first.
    fn class(&self, now: Time, waiting: &Waiting) -> u8 {
        let is_turn = self.since_returning >= RETURNING_DIVISOR - 1;
        match (waiting.is_late(now), waiting.request.is_returning) {
            (true, true) if is_turn => 0,
            (false, _) => 1,
            (true, true) => 2,
            (true, false) => 3,
        }
    }

    /// Whether a call stays in a full queue because it has returned.
    fn is_kept(&self, waiting: &Waiting) -> bool {
        let is_crowded = || {
            let returning = self.waiting.values().filter(|w| w.request.is_returning).count();
            returning > max_calls(&waiting.request) / usize::from(RETURNING_DIVISOR)
        };
        waiting.request.is_returning && !is_crowded()
    }

    /// Of one rank, calls that have returned stay the longest, up to their share of the queue, and
    /// then those of organisations with few calls in it.
    fn eviction(&self, now: Time, waiting: &Waiting) -> Eviction {
        let organisation = waiting.request.organisation;
        let of_same = |w: &&Waiting| w.request.organisation == organisation;
        (
            waiting.rank(),
            !self.is_kept(waiting),
            waiting.is_late(now),
            self.waiting.values().filter(of_same).count(),
            waiting.joined,
            waiting.request.call,
        )
    }

    fn evict(&mut self, now: Time, call: u64, occupancy: &Snapshot) {
        self.waiting.remove(&call);
        let answer = self.refuse(now, call, Cause::Full, occupancy);
        self.evicted.push((call, answer));
    }

    /// Waiting calls in the order of grants.
    fn ordered(&self, now: Time) -> Vec<&Waiting> {
        let mut ordered: Vec<(Order, &Waiting)> =
            self.waiting.values().map(|w| (self.order(now, w), w)).collect();
        ordered.sort_unstable_by_key(|(order, _)| *order);
        ordered.into_iter().map(|(_, waiting)| waiting).collect()
    }

    /// The call that gets the next place, and those that go before it but whose prompts have no room;
    /// `None` if there is no place for the calls that go first.
    fn next(&self, now: Time, occupancy: &Snapshot) -> Option<(u64, Vec<u64>)> {
        let calls = usize::from(occupancy.calls) + self.reserved.len();
        let reserved_ms: f64 = self.reserved.values().map(|r| r.prefill_ms).sum();
        let pending_ms = f64::from(occupancy.pending_prefill_ms) + reserved_ms;
        let mut blocked = None;
        let mut skipped = Vec::new();
        for waiting in self.ordered(now) {
            if blocked.is_some_and(|rank| rank < waiting.rank()) {
                return None;
            }
            if calls >= usize::from(waiting.request.max_calls) {
                return None;
            }
            if has_prefill_room(now, waiting, pending_ms) {
                return Some((waiting.request.call, skipped));
            }
            // The replica is left to read its pending prompts until there is room for this one.
            if waiting.is_overdue() {
                return None;
            }
            blocked = Some(waiting.rank());
            skipped.push(waiting.request.call);
        }
        None
    }

    fn grant(&mut self, now: Time, call: u64, skipped: &[u64]) {
        let Some(granted) = self.waiting.remove(&call) else {
            return;
        };
        self.since_returning = match granted.request.is_returning {
            true => 0,
            false => self.since_returning.saturating_add(1),
        };
        let prefill_ms = f64::from(granted.request.prefill_ms);
        self.reserved.insert(call, Reservation { until: now + RESERVATION_TTL, prefill_ms });
        self.shares.record(now, granted.request.organisation, prefill_ms.max(MIN_WORK_MS));
        for skipped in skipped {
            if let Some(skipped) = self.waiting.get_mut(skipped).filter(|w| w.is_larger(&granted)) {
                skipped.passed_over = skipped.passed_over.saturating_add(1);
            }
        }
        let of_rank = self.waiting.values_mut().filter(|w| w.rank() == granted.rank());
        let in_time = of_rank.filter(|w| !w.is_late(now));
        let first = in_time.min_by_key(|w| (w.joined, w.request.call));
        if let Some(first) = first.filter(|first| first.joined < granted.joined) {
            first.passed_over = first.passed_over.saturating_add(1);
        }
    }

    /// Calls that are not likely to get a place before their limit, and late ones that have waited
    /// too long. Also new ones that would be late behind others that are in time: their callers
    /// return when there is room.
    fn hopeless(&self, now: Time, occupancy: &Snapshot) -> Vec<u64> {
        let interval_ms = f64::from(occupancy.interval_ms);
        let mut ahead = 0;
        let mut is_contested = false;
        let mut hopeless = Vec::new();
        for waiting in self.ordered(now) {
            let start = now + Span::from_secs_f64(f64::from(ahead) * interval_ms / 1e3);
            let is_in_time = start <= waiting.on_time_until;
            let must_yield = is_contested && !is_in_time && !waiting.request.is_returning;
            if start > waiting.limit || must_yield || waiting.is_stale(now) {
                hopeless.push(waiting.request.call);
            } else {
                ahead += 1;
                is_contested |= is_in_time;
            }
        }
        hopeless
    }

    /// The refusal of a call, with a time to return: the queue's calls go first, and then the
    /// callers that were refused before, in their order.
    fn refuse(&mut self, now: Time, call: u64, cause: Cause, occupancy: &Snapshot) -> Answer {
        let interval_us = (f64::from(occupancy.interval_ms.max(1.0)) * 1e3) as u64;
        let queue_us = interval_us.saturating_mul(self.waiting.len() as u64 + 1);
        let earliest = now + Span(queue_us).max(MIN_RETRY_AFTER);
        let latest = now + MAX_RETRY_AFTER;
        self.promised = earliest.max(self.promised + Span(interval_us)).min(latest);
        // Less than an interval, so that the order of the callers stays.
        let jitter = rendezvous::score(call, now.0) % interval_us;
        let wait = (self.promised + Span(jitter)).since(now);
        Answer::Refused(cause, wait.as_millis() as u32)
    }
}

/// Upper bound on the calls in the queue of a request's replica.
fn max_calls(request: &Request) -> usize {
    MAX_CALLS_PER_SLOT * usize::from(request.slots)
}

/// Whether the prompts that are read first leave a call enough time. Engines read the prompts of
/// higher ranks first, so only calls of the lowest rank wait for all others. A late call is let in
/// behind no more than one prompt of its size: with as much pending prefill as its caller would wait
/// for, calls that come in time would be late too.
fn has_prefill_room(now: Time, waiting: &Waiting, pending_ms: f64) -> bool {
    let max_pending_ms = match waiting.is_late(now) {
        true => f64::from(waiting.request.prefill_ms),
        false => MAX_PENDING_RATIO * waiting.on_time_until.since(now).as_secs_f64() * 1e3,
    };
    !waiting.request.is_lowest_rank || pending_ms <= 0.0 || pending_ms <= max_pending_ms
}
