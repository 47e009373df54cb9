//! Which replica gets a call: the one with the best expected effect on it and on those beside it.

use crate::arena::Key;
use crate::gateway::ask::Part;
use crate::gateway::directory;
use crate::gateway::occupancy::Snapshot;
use crate::gateway::prefill;
use crate::gateway::prefill::Estimator;
use crate::incarnation::Digest;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

use super::Fleet;
use super::Replica;

/// Milliseconds that a replica's failure rate beyond its peers' costs it, at a rate of one.
const FAILURE_MS: f64 = 600.0;
/// Milliseconds for each request that waits inside an engine: at full batches of long prompts an
/// engine finishes one in about this time.
const WAITING_MS: f64 = 100.0;
/// Part of the waiting requests that a more urgent one finds ahead of itself.
const AHEAD_OF_URGENT: f64 = 0.15;
/// Reading a prompt delays each running request by as much; this part of that counts against it.
const READING_OTHERS: f64 = 1.0;
/// From so many tokens on, a shared head is only read at its homes. Elsewhere it would take
/// several steps of an engine that others wait for, and push other heads out of its cache; under
/// load that feeds on itself until engines do little but read the same heads again.
const LONG_SHARED: u64 = 1_000;
/// Engines that keep a long shared head.
const HOMES: usize = 2;
/// Part of a prompt's shared head that its second home is taken to have cached.
const AT_SECOND: f64 = 0.3;
/// Owners queried for a call that may go to any engine.
const ASKED: usize = 2;
/// Milliseconds that each running request adds to the first event of one that joins.
const RUNNING_MS: f64 = 0.3;
/// The same for a call that ranks last: most that run have prompts to be read before its own.
const RUNNING_LAST_MS: f64 = 20.0;
/// Milliseconds for each call in progress at a plain service, for one slot.
const PLAIN_MS: f64 = 15.0;
/// Milliseconds that leaving the failure domain costs.
const FOREIGN_MS: f64 = 3.0;

/// What a call needs of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service by name.
    pub service: &'a str,
    /// Parts of the prompt; empty for plain services.
    pub parts: &'a [Part],
    /// How the call uses engines; `None` for plain services.
    pub engine: Option<Criteria>,
    /// Snapshots of owners; if there are any, the call goes to one of these engines.
    pub snapshots: &'a [Snapshot],
}

/// How a call uses engines.
#[derive(Clone, Copy, Debug)]
pub struct Criteria {
    /// Calls that an engine works on at a time.
    pub slots: u32,
    /// The call is a stream that long prompts would disturb.
    pub sensitive: bool,
    /// Engines of the isolated pool.
    pub pool_size: usize,
    /// Epoch of the plan that says so; 0 without one.
    pub epoch: u32,
    /// No call of the service ranks below it, so it waits behind all others in an engine.
    pub lowest_rank: bool,
    /// Tokens at the head of the prompt that every engine has cached.
    pub common_tokens: u64,
    /// Longest pause of its stream that is on time.
    pub pause: Span,
    /// Time to its first event that is on time, in milliseconds.
    pub objective_ms: f64,
    /// What prompts cost at the service's engines.
    pub prefill: Estimator,
}

/// An attempt's claim on a replica.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// The replica.
    pub replica: Key<Replica>,
    /// Its run.
    pub incarnation: Digest,
    /// What there is to read of the prompt; see [`prefill::work`].
    pub work: f64,
    /// Time to read the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Expected time to the first event or answer, in milliseconds.
    pub expected_ms: f64,
    /// Calls that the replica was taken to have, running and waiting.
    pub load: f64,
    /// Calls that were taken to wait inside it.
    pub waiting: f64,
    /// Age of the load report, if there is one.
    pub report_age: Option<Span>,
    /// The replica keeps the shared head of the prompt.
    pub home: bool,
    /// Engines of the isolated pool.
    pub pool_size: usize,
    /// Epoch of the plan that says so; 0 if this gateway knows of none and goes by what it saw.
    pub epoch: u32,
    /// The load is from the owner's snapshot.
    pub from_snapshot: bool,
    /// Short hash of the service's name.
    pub(in crate::gateway) service: u32,
    /// Number of the call at the owner.
    pub(super) call: u64,
    /// When the attempt was sent.
    pub sent: Time,
    pub(in crate::gateway) first_event_seen: bool,
    /// Nothing unread was known at the engine.
    pub(in crate::gateway) prefill_sample: bool,
    pub(in crate::gateway) pause: Span,
    /// When the newest event came.
    pub(in crate::gateway) last_event: Time,
    /// The call is a stream of the isolated pool.
    pub sensitive: bool,
}

impl Fleet {
    /// Chooses a replica of a service other than `tried`, in the caller's `domain` if that is
    /// about as good.
    pub fn choose(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        domain: &str,
        tried: &[Key<Replica>],
    ) -> Option<Claim> {
        let inside = self.best(now, requirements, domain, tried, Side::Own);
        let suits =
            |criteria: Criteria| inside.as_ref().is_some_and(|(_, claim)| suits(&criteria, claim));
        if !may_cross(requirements) || requirements.engine.is_some_and(suits) {
            return inside.map(|(_, claim)| claim);
        }
        let outside = self.best(now, requirements, domain, tried, Side::Other);
        let all = inside.into_iter().chain(outside);
        all.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, claim)| claim)
    }

    fn best(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        domain: &str,
        tried: &[Key<Replica>],
        side: Side,
    ) -> Option<(f64, Claim)> {
        let candidates = self.candidates(now, requirements, tried, side);
        let engine = requirements.engine.map(|criteria| match side {
            Side::Own => criteria,
            Side::Other => Criteria { pool_size: 0, ..criteria },
        });
        let scored =
            self.score(now, &Requirements { engine, ..*requirements }, domain, &candidates);
        scored.into_iter().min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Engines to query about a call: the homes of its long shared prefix, else the best by what this
    /// gateway knows.
    pub fn candidates_to_query(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        domain: &str,
        tried: &[Key<Replica>],
    ) -> Vec<Digest> {
        let candidates = self.candidates(now, requirements, tried, Side::Own);
        let mut scored = self.score(now, requirements, domain, &candidates);
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        scored.truncate(ASKED.max(HOMES));
        if may_cross(requirements) {
            scored.extend(self.best(now, requirements, domain, tried, Side::Other));
        }
        let claims = scored.iter().filter_map(|(_, claim)| self.get(claim.replica));
        claims.map(Replica::digest).collect()
    }

    fn candidates(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        tried: &[Key<Replica>],
        side: Side,
    ) -> Vec<(Key<Replica>, &Replica)> {
        let keys = self.by_service.get(requirements.service).into_iter().flatten();
        let open: Vec<(Key<Replica>, &Replica)> = keys
            .filter_map(|k| self.replicas.get(*k).map(|r| (*k, r)))
            .filter(|(_, r)| !r.closed)
            .collect();
        let mut usable: Vec<(Key<Replica>, &Replica)> =
            open.iter().filter(|(_, r)| r.is_usable(now)).copied().collect();
        if let Some(criteria) = requirements.engine {
            usable = of_lane(&open, usable, &criteria, side);
        }
        usable.retain(|(key, _)| !tried.contains(key));
        // With nothing usable, the one that rested longest may be back.
        if usable.is_empty() {
            let untried = open.into_iter().filter(|(key, _)| !tried.contains(key));
            untried.min_by_key(|(_, r)| r.resting_until).into_iter().collect()
        } else {
            usable
        }
    }

    /// Candidates that the call may go to, with their costs in milliseconds.
    fn score(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        domain: &str,
        candidates: &[(Key<Replica>, &Replica)],
    ) -> Vec<(f64, Claim)> {
        let least_failing =
            candidates.iter().map(|(_, r)| r.failures).fold(f64::INFINITY, f64::min);
        let homes = homes(requirements.parts, candidates);
        let service = directory::short_hash(requirements.service);
        let at_home = requirements
            .engine
            .is_some_and(|criteria| own_shared(requirements.parts, &criteria) >= LONG_SHARED);
        let eligible = candidates.iter().filter(|(key, _)| !at_home || homes.contains(key));
        let snapshot = |r: &Replica| {
            requirements.snapshots.iter().find(|s| s.engine == r.digest() && s.is_valid())
        };
        let any = eligible.clone().any(|(_, r)| snapshot(r).is_some());
        let eligible = eligible.filter(|(_, r)| !any || snapshot(r).is_some());
        let scored = eligible.map(|(key, replica)| {
            let snapshot = snapshot(replica);
            let (work, expected_ms) = match requirements.engine {
                Some(criteria) => engine_ms(
                    now,
                    requirements,
                    &criteria,
                    replica,
                    Home::of(&homes, *key),
                    snapshot,
                ),
                None => (0.0, plain_ms(now, replica)),
            };
            let prefill_ms =
                requirements.engine.map_or(0.0, |criteria| criteria.prefill.prefill_ms(work));
            let load = snapshot.map_or(replica.running(now), |s| f64::from(s.calls));
            let reading_others = match requirements.engine {
                Some(criteria) => READING_OTHERS * prefill_ms * load.min(f64::from(criteria.slots)),
                None => 0.0,
            };
            let foreign = if replica.listing.domain == domain { 0.0 } else { FOREIGN_MS };
            let failing = FAILURE_MS * (replica.failures - least_failing);
            let sensitive = requirements.engine.is_some_and(|criteria| criteria.sensitive);
            let claim = Claim {
                replica: *key,
                incarnation: replica.digest(),
                work,
                prefill_ms,
                expected_ms,
                load,
                waiting: replica.waiting(now),
                report_age: replica.report.map(|r| now.since(r.at)),
                home: homes[0] == *key,
                pool_size: requirements.engine.map_or(0, |criteria| criteria.pool_size),
                epoch: requirements.engine.map_or(0, |criteria| criteria.epoch),
                from_snapshot: snapshot.is_some(),
                service,
                call: 0,
                sent: now,
                first_event_seen: false,
                prefill_sample: snapshot.is_some_and(|s| s.pending_prefill_ms <= 0.0),
                pause: requirements.engine.map_or(Span(0), |criteria| criteria.pause),
                last_event: now,
                sensitive,
            };
            (expected_ms + reading_others + foreign + failing, claim)
        });
        scored.collect()
    }
}

/// Replicas in the lane of sensitive streams, or those outside of it for other calls; `open` are all
/// that are listed. The lane is the first of these in the order of their hashes.
fn of_lane<'a>(
    open: &[(Key<Replica>, &'a Replica)],
    usable: Vec<(Key<Replica>, &'a Replica)>,
    criteria: &Criteria,
    side: Side,
) -> Vec<(Key<Replica>, &'a Replica)> {
    if criteria.pool_size == 0 || criteria.pool_size >= usable.len() {
        return usable;
    }
    // Which engines are listed all gateways know alike; which of them one could not reach a moment
    // ago is its own affair, and must not move the bounds of the lane.
    let mut hashes: Vec<u64> = open.iter().map(|(_, r)| r.hash).collect();
    let (_, last, _) = hashes.select_nth_unstable(criteria.pool_size - 1);
    let in_lane = |r: &Replica| r.hash <= *last;
    let wanted = criteria.sensitive == (side == Side::Own);
    let there: Vec<_> = usable.iter().filter(|(_, r)| in_lane(r) == wanted).copied().collect();
    if there.is_empty() { usable } else { there }
}

/// Which engines are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    /// The call's own: the isolated pool for its streams, the others for all other calls.
    Own,
    /// The others.
    Other,
}

/// Whether a call may be sent to the other side of the lane's end where its own has no room. Calls that
/// rank last are the long prompts that the lane is kept from.
fn may_cross(requirements: &Requirements<'_>) -> bool {
    requirements.engine.is_some_and(|criteria| !criteria.lowest_rank && criteria.pool_size > 0)
}

/// Whether a call is well off on its own side.
///
/// A stream that waits for a place in the lane for longer than its objective is late for sure, and may
/// be on time elsewhere: with the lane alone, one in four questions waited for up to 1.5 s in the first
/// two seconds of a burst. A call that ranks between has no place where it would stop one that ranks
/// below it, whose prompt would be read again; the lane may have one. Free to choose, such calls took
/// the lane for its short queues, and the streams there paused: on a day of high load 41 in 100
/// questions were late, against 31.
fn suits(criteria: &Criteria, claim: &Claim) -> bool {
    let stops_another =
        !criteria.sensitive && claim.from_snapshot && claim.load >= f64::from(criteria.slots);
    claim.expected_ms <= criteria.objective_ms && !stops_another
}

/// Tokens of a prompt's shared head that not every engine has cached.
fn own_shared(parts: &[Part], criteria: &Criteria) -> u64 {
    let head = &parts[..parts.len().saturating_sub(1)];
    let shared: u64 = head.iter().map(|p| u64::from(p.tokens)).sum();
    shared.saturating_sub(criteria.common_tokens)
}

/// How near a replica is to a prompt's shared head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Home {
    First,
    Second,
    None,
}

impl Home {
    fn of(homes: &[Key<Replica>; HOMES], key: Key<Replica>) -> Home {
        match homes.iter().position(|home| *home == key) {
            Some(0) => Home::First,
            Some(_) => Home::Second,
            None => Home::None,
        }
    }
}

/// The replicas that keep the shared head of a prompt, alike for all gateways.
///
/// The last part belongs to the call or its session; the one before it is the longest that calls
/// share. Gateways agree by rendezvous without a message, so each part is read once, and what the
/// first home has no room for finds the part at the second.
fn homes(parts: &[Part], candidates: &[(Key<Replica>, &Replica)]) -> [Key<Replica>; HOMES] {
    let shared = &parts[..parts.len().saturating_sub(1)];
    let id = shared.last().or(parts.first()).map_or(0, |p| p.id);
    let mut best = [(0, Key::default()); HOMES];
    for (key, replica) in candidates {
        let score = rendezvous::score(id, replica.hash);
        if let Some(at) = best.iter().position(|(other, _)| score > *other) {
            best[at..].rotate_right(1);
            best[at] = (score, *key);
        }
    }
    best.map(|(_, key)| key)
}

/// What there is to read of the prompt, and expected time to the first event in milliseconds.
fn engine_ms(
    now: Time,
    requirements: &Requirements<'_>,
    criteria: &Criteria,
    replica: &Replica,
    home: Home,
    snapshot: Option<&Snapshot>,
) -> (f64, f64) {
    let total: u64 = requirements.parts.iter().map(|p| u64::from(p.tokens)).sum();
    let shared = total - requirements.parts.last().map_or(0, |p| u64::from(p.tokens));
    let known = replica.cache.cached_tokens(now, requirements.parts).max(criteria.common_tokens);
    let cached = match home {
        Home::First => known.max(shared),
        Home::Second => known.max(
            criteria.common_tokens
                + ((shared - criteria.common_tokens.min(shared)) as f64 * AT_SECOND) as u64,
        ),
        Home::None => known,
    };
    let work = prefill::work(cached, total.saturating_sub(cached));
    let reading = criteria.prefill.prefill_ms(work);
    if let Some(snapshot) = snapshot {
        return (work, kept_ms(criteria, reading, snapshot));
    }
    let running = replica.running(now);
    let over = (running - f64::from(criteria.slots)).max(0.0);
    let waiting = replica.waiting(now).max(over);
    let ahead = if criteria.lowest_rank { waiting } else { waiting * AHEAD_OF_URGENT };
    let queue = replica.prefill_ms + WAITING_MS * ahead;
    let beside = if criteria.lowest_rank { RUNNING_LAST_MS } else { RUNNING_MS };
    (work, reading + queue + beside * running)
}

/// Expected time to the first event by an owner's snapshot, in milliseconds: until all prompts there
/// are read, or enough calls have ended, whichever is later.
fn kept_ms(criteria: &Criteria, prefill_ms: f64, snapshot: &Snapshot) -> f64 {
    let ahead = if criteria.lowest_rank { 1.0 } else { AHEAD_OF_URGENT };
    // Most calls in the lane are as urgent as this one, which passes none of them.
    let among_equals = criteria.sensitive && criteria.pool_size > 0;
    let behind = if among_equals { 1.0 } else { ahead };
    let over = (f64::from(snapshot.calls) + 1.0 - f64::from(criteria.slots)).max(0.0);
    let place = over * f64::from(snapshot.interval_ms);
    (behind * place).max(ahead * f64::from(snapshot.pending_prefill_ms)) + prefill_ms
}

fn plain_ms(now: Time, replica: &Replica) -> f64 {
    let busy = replica.running(now);
    let slots = f64::from(replica.listing.slots.max(1));
    PLAIN_MS * (1.0 + busy / slots) * replica.slowness.max(1.0)
}
