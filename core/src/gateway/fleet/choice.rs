//! Chooses the replica of a call.
//!
//! Each candidate has a cost in milliseconds: the call's expected time to first event, the delay
//! that it causes to other calls, and surcharges for failures and for leaving the failure domain.
//! The candidate with the lowest cost gets the call. A long shared prefix is only sent to its home
//! replicas, which all gateways derive by rendezvous hashing, so that it is cached in few places.

use crate::arena::Key;
use crate::gateway::config::Transfer;
use crate::gateway::directory;
use crate::gateway::limit::Kind;
use crate::gateway::memory;
use crate::gateway::occupancy::Snapshot;
use crate::gateway::origin::Origin;
use crate::gateway::pace;
use crate::gateway::pace::Scale;
use crate::gateway::prefill;
use crate::gateway::prefill::Estimator;
use crate::gateway::submission::Part;
use crate::incarnation::Digest;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

use super::Fleet;
use super::Replica;
use super::copies::Prefix;
use super::copies::needs_home;
use super::departures::is_in_grace;
use super::memory::preemption_ms;
use super::memory::with_memory;
use super::paces::Ratios;
use super::paces::is_good_enough;

/// Cost in milliseconds of a failure rate of one, if the lowest rate of the candidates is zero.
const FAILURE_MS: f64 = 600.0;
/// Queueing time in milliseconds for each request that waits inside an engine: with full batches of
/// long prompts an engine finishes one request in about this time.
const WAITING_MS: f64 = 100.0;
/// Share of the waiting requests that an engine serves before a request of a higher priority.
const SHARE_AHEAD_OF_URGENT: f64 = 0.15;
/// Weight of the delay that the prefill of a prompt causes to each running request.
const DELAYED_OTHERS_WEIGHT: f64 = 1.0;
/// Shared prefixes of at least this many tokens are only prefilled at their home replicas.
/// Elsewhere the prefill would take several steps of a busy engine and evict other prefixes from
/// its cache. Under load these evictions cause more prefill, until engines mostly recompute the
/// same prefixes.
pub(super) const MIN_HOME_PREFIX_TOKENS: u64 = 1_000;
/// Home replicas of each long shared prefix.
const HOMES: usize = 2;
/// Share of a shared prefix that is assumed to be cached at its second home.
const SECOND_HOME_CACHED_SHARE: f64 = 0.3;
/// Upper bound on the owners queried for a call that may go to any engine.
const MAX_QUERIED: usize = 2;
/// Milliseconds that each running request adds to the time to first event of a new one.
const RUNNING_MS: f64 = 0.3;
/// The same for a call of the lowest rank, whose prompt waits for those of most running requests.
const RUNNING_LOWEST_RANK_MS: f64 = 20.0;
/// Expected milliseconds of a call at a plain service, for each call in progress per slot.
const PLAIN_MS: f64 = 15.0;
/// Cost in milliseconds of a replica in another failure domain.
const OTHER_DOMAIN_MS: f64 = 3.0;
/// The same in addition, as a share of the expected time: the error of loads that are up to a second
/// old. Without it, one call more at replicas of four slots sends calls to another domain.
const OTHER_DOMAIN_RATIO: f64 = 0.25;

/// A call's requirements on its replica.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Rank of the call's route; 0 is the highest.
    pub rank: u8,
    /// Whether the call was denied a permit, so that it takes a replica without a limit if there is
    /// one.
    pub denied: bool,
    /// Kind of permit that the call asks for if its replica has a limit.
    pub permit: Kind,
    /// Whether the call may be sent to another replica if its replica refuses it.
    pub may_retry: bool,
    /// Parts of the prompt; empty for plain services.
    pub parts: &'a [Part],
    /// Criteria for engines; `None` for plain services.
    pub engine: Option<Criteria>,
    /// What began the call's stream, if it goes on with one.
    pub origin: Option<Origin>,
    /// Occupancy snapshots from the owners; if any is valid, the call goes to one of these engines.
    pub snapshots: &'a [Snapshot],
}

/// Criteria by which the engines of a service are compared.
#[derive(Clone, Copy, Debug)]
pub struct Criteria {
    /// Calls that an engine runs at a time.
    pub slots: u32,
    /// Whether the call is a stream that the prefill of long prompts would delay.
    pub sensitive: bool,
    /// Number of engines in the isolated pool.
    pub pool_size: usize,
    /// Epoch of the plan that sets the pool size; 0 without a plan.
    pub epoch: u32,
    /// Whether the call waits behind all others in an engine: no call of the service ranks lower.
    pub lowest_rank: bool,
    /// Length of the prompt prefix that every engine has cached, in tokens.
    pub common_tokens: u64,
    /// Upper bound on the pauses between events of the call's stream.
    pub pause: Span,
    /// Objective for the time to first event, in milliseconds.
    pub objective_ms: f64,
    /// Estimator of prefill times at the service's engines.
    pub prefill: Estimator,
    /// Estimate of how calls at an engine slow one another.
    pub batch: pace::Batch,
    /// Milliseconds by which calls wait longer than expected outside the isolated pool and in it.
    pub bias_ms: [f64; 2],
    /// Allowed pause of the most urgent streams at the engines that are compared, if these are in
    /// the isolated pool; else zero.
    pub isolated_pause: Span,
    /// How engines copy cached tokens from one another, if owners know what engines have cached.
    pub transfer: Option<Transfer>,
    /// Bound on the memory of the engine, if it is limited.
    pub memory: Option<memory::Bound>,
}

/// The replica chosen for an attempt, with the estimates behind the choice.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Key of the replica in the fleet.
    pub replica: Key<Replica>,
    /// Incarnation of the replica.
    pub incarnation: Digest,
    /// Size of the prompt that is not cached; see [`prefill::work`].
    pub work: f64,
    /// Expected prefill time of the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Expected time to the first event or answer, in milliseconds.
    pub expected_ms: f64,
    /// Estimated calls at the replica, running and waiting.
    pub load: f64,
    /// Estimated calls that wait inside the replica.
    pub waiting: f64,
    /// Age of the load report, if there is one.
    pub report_age: Option<Span>,
    /// Whether the replica is the first home of the prompt's shared prefix.
    pub home: bool,
    /// Engine from which the replica is to fetch a part of the prompt's prefix.
    pub source: Option<Key<Replica>>,
    /// Tokens that the replica is to fetch.
    pub fetched_tokens: u64,
    /// Tokens of the prompt's prefix that need no prefill, fetched ones included.
    pub cached_tokens: u64,
    /// Number of engines in the isolated pool.
    pub pool_size: usize,
    /// Epoch of the plan that sets the pool size; 0 if the size is this gateway's own estimate.
    pub epoch: u32,
    /// Whether the load is from the owner's snapshot.
    pub from_snapshot: bool,
    /// Short hash of the service's name.
    pub(in crate::gateway) service: u32,
    /// Number of the call, by which the engine's owner identifies it.
    pub(in crate::gateway) call: u64,
    /// Whether the call was sent after a cooldown of the replica, before it had recovered.
    pub(super) recovering: bool,
    /// Time at which the attempt was sent.
    pub sent: Time,
    /// Time at which the connection that it was sent on was opened, if that is known.
    pub connected: Option<Time>,
    /// End of the last time in which the answer was not read, because its caller did not.
    pub paused: Option<Time>,
    pub(in crate::gateway) first_event_seen: bool,
    /// Time of the first event, once it was seen.
    pub(in crate::gateway) first_event: Time,
    /// Whether the time to first event is a sample of the prefill time: the owner knew of no other
    /// prompt awaiting prefill at the engine.
    pub(in crate::gateway) prefill_sample: bool,
    pub(in crate::gateway) pause: Span,
    /// Time of the newest event.
    pub(in crate::gateway) last_event: Time,
    /// Whether the call is a stream that belongs in the isolated pool.
    pub sensitive: bool,
    /// Rank of the call's route; 0 is the highest.
    pub rank: u8,
    /// Rank of the call's route if it is served before others at an engine; 0 is the highest.
    pub urgent_rank: Option<u8>,
    /// Whether the replica is in the isolated pool.
    pub in_pool: bool,
    /// Ratio of the replica's prefill times to typical ones of its service.
    pub prefill_ratio: f64,
    /// Whether the replica is slower than the typical one of its service by more than a class.
    pub is_slow: bool,
    /// Expected share of such streams that are late by their pauses at the replica.
    pub late_share: f64,
    pub(in crate::gateway) gaps: pace::Sample,
    /// Length of the call's answer.
    pub answer: memory::Answer,
    /// Objective for the time to first event, in milliseconds.
    pub(in crate::gateway) objective_ms: f64,
    /// Whether the first event or a later one was late.
    pub(in crate::gateway) late: bool,
}

impl Claim {
    /// Whether the first event, or the whole answer, has arrived.
    pub fn has_event(&self) -> bool {
        self.first_event_seen
    }

    /// The same claim, of which the replica's owner is notified.
    pub fn counted(self) -> Claim {
        Claim { from_snapshot: true, ..self }
    }

    /// The same claim on another replica of a plain service.
    pub fn at(self, replica: Key<Replica>, incarnation: Digest) -> Claim {
        Claim { replica, incarnation, ..self }
    }

    /// Number of the call, by which the replica's owner knows it; 0 before it is sent or queued.
    pub fn number(&self) -> u64 {
        self.call
    }
}

impl Fleet {
    /// Chooses a replica that is not in `tried`; one in the caller's failure `domain` wins if the
    /// costs are about equal. `None` if the service has no other open replica.
    pub fn choose(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        domain: &str,
        tried: &[Key<Replica>],
    ) -> Option<Claim> {
        let inside = self.best(now, requirements, domain, tried, Side::Own);
        let suffices = |criteria: Criteria| {
            inside.as_ref().is_some_and(|(_, claim)| is_sufficient(&criteria, claim))
        };
        if !may_cross(requirements) || requirements.engine.is_some_and(suffices) {
            return inside.map(|(_, claim)| claim);
        }
        let outside = self.best(now, requirements, domain, tried, Side::Other);
        let all = inside.into_iter().chain(outside);
        all.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, claim)| claim)
    }

    /// The claim of the lowest cost on one side, with its cost in milliseconds.
    fn best(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        domain: &str,
        tried: &[Key<Replica>],
        side: Side,
    ) -> Option<(f64, Claim)> {
        let candidates = self.candidates(now, requirements, tried, side);
        let engine = requirements.engine.map(|criteria| side.criteria(criteria));
        let in_pool = requirements.engine.is_some_and(|criteria| {
            criteria.pool_size > 0 && criteria.sensitive == (side == Side::Own)
        });
        let bias_ms =
            requirements.engine.map_or(0.0, |criteria| criteria.bias_ms[usize::from(in_pool)]);
        let scored =
            self.score(now, &Requirements { engine, ..*requirements }, domain, &candidates);
        let (cost_ms, claim) = Fleet::cheapest(requirements, bias_ms, scored)?;
        Some((cost_ms + bias_ms, Claim { in_pool, ..claim }))
    }

    /// Engines whose owners are to be queried for a call: the homes of its long shared prefix, or
    /// else those of the lowest cost by this gateway's own data.
    pub fn candidates_to_query(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        domain: &str,
        tried: &[Key<Replica>],
    ) -> Vec<Digest> {
        let candidates = self.candidates(now, requirements, tried, Side::Own);
        let engine = requirements.engine.map(|criteria| Side::Own.criteria(criteria));
        let own = Requirements { engine, ..*requirements };
        let mut scored = self.score(now, &own, domain, &candidates);
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        scored.truncate(MAX_QUERIED.max(HOMES));
        scored.extend(self.cheapest_targets(now, requirements, domain, &candidates));
        if may_cross(requirements) {
            scored.extend(self.best(now, requirements, domain, tried, Side::Other));
        }
        let claims = scored.iter().filter_map(|(_, claim)| self.get(claim.replica));
        let mut engines: Vec<Digest> = claims.map(Replica::digest).collect();
        let sources = self.likely_sources(now, requirements, &candidates);
        let others: Vec<Digest> = sources.into_iter().filter(|s| !engines.contains(s)).collect();
        engines.extend(others);
        engines
    }

    /// Replicas that are considered for a call.
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
            .filter(|(_, r)| r.is_open())
            .collect();
        let mut usable: Vec<(Key<Replica>, &Replica)> =
            open.iter().filter(|(_, r)| r.is_usable(now)).copied().collect();
        self.retain_build(now, &mut usable, requirements.origin);
        if !requirements.may_retry && usable.iter().any(|(_, r)| !r.is_untested()) {
            usable.retain(|(_, r)| !r.is_untested());
        }
        if let Some(criteria) = requirements.engine {
            let scale = self.scale(requirements.service);
            usable = of_side(&open, usable, &criteria, side, &scale, |r| !self.is_limited(r));
        }
        let is_brittle = self.is_brittle(now, requirements.service);
        let is_reserved = self.is_reserved(now, requirements.service, requirements.rank);
        let is_eligible = |key: &Key<Replica>, replica: &Replica| {
            !tried.contains(key)
                && !is_reserved
                && replica.continues(requirements.origin)
                && (!is_brittle || self.has_share_left(now, replica))
                && replica.admits(now, requirements.rank)
                && !self.is_denied(now, replica, requirements.permit, requirements.rank)
        };
        usable.retain(|(key, replica)| is_eligible(key, replica));
        if requirements.denied && usable.iter().any(|(_, r)| !self.is_limited(r)) {
            usable.retain(|(_, r)| !self.is_limited(r));
        }
        // If no replica is usable, the one whose backoff ends first is the likeliest to answer.
        if usable.is_empty() {
            let untried = open.into_iter().filter(|(key, replica)| is_eligible(key, replica));
            let first = untried.min_by_key(|(_, r)| r.backoff_until);
            let last_resort = || self.last_resort(now, requirements.service, is_eligible);
            first.or_else(last_resort).into_iter().collect()
        } else {
            with_memory(now, requirements, usable)
        }
    }

    /// The replica of a service that was the last to say that it leaves, if it still gets the calls
    /// that no other can take.
    fn last_resort(
        &self,
        now: Time,
        service: &str,
        is_eligible: impl Fn(&Key<Replica>, &Replica) -> bool,
    ) -> Option<(Key<Replica>, &Replica)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        let replicas = keys.filter_map(|key| Some((*key, self.replicas.get(*key)?)));
        let leaving = replicas.filter(|(key, r)| is_in_grace(now, r) && is_eligible(key, r));
        leaving.max_by_key(|(_, r)| r.departed_at)
    }

    /// Claims on the eligible candidates, with their costs in milliseconds. If any of these has a
    /// valid snapshot, those without one are left out.
    pub(super) fn score(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        domain: &str,
        candidates: &[(Key<Replica>, &Replica)],
    ) -> Vec<(f64, Claim)> {
        let lowest_failure_rate =
            candidates.iter().map(|(_, r)| r.failure_rate).fold(f64::INFINITY, f64::min);
        let homes = self.homes(requirements.parts, candidates);
        let service = directory::short_hash(requirements.service);
        let scale = self.scale(requirements.service);
        let only_homes = needs_home(requirements);
        let prefixes = self.prefixes(now, requirements, &homes, candidates);
        let is_eligible = |key: &Key<Replica>| match &prefixes {
            Some(prefixes) => !only_homes || prefixes.contains_key(key) || homes.contains(key),
            None => !only_homes || homes.contains(key),
        };
        let eligible = candidates.iter().filter(|(key, _)| is_eligible(key));
        let snapshot = |r: &Replica| {
            requirements.snapshots.iter().find(|s| s.engine == r.digest() && s.is_valid())
        };
        let any_snapshot = eligible.clone().any(|(_, r)| snapshot(r).is_some());
        let eligible = eligible.filter(|(_, r)| !any_snapshot || snapshot(r).is_some());
        let scored = eligible.filter_map(|(key, replica)| {
            let snapshot = snapshot(replica);
            let preemption_ms = preemption_ms(requirements, snapshot)?;
            let ratios = Ratios::of(now, &scale, requirements.engine.as_ref(), replica, snapshot);
            let home = Home::of(&homes, *key);
            let prefix = requirements.engine.map(|criteria| {
                let known = prefixes.as_ref().and_then(|prefixes| prefixes.get(key)).copied();
                known.unwrap_or_else(|| assumed(now, requirements, &criteria, replica, home))
            });
            let prefix = prefix.unwrap_or_default();
            let (work, expected_ms) = match requirements.engine {
                Some(criteria) => {
                    engine_ms(now, requirements, &criteria, replica, prefix, snapshot, &ratios)
                }
                None => (0.0, plain_ms(now, replica, snapshot)),
            };
            let prefill_ms = requirements
                .engine
                .map_or(0.0, |criteria| criteria.prefill.prefill_ms(work) * ratios.prefill());
            let load = snapshot.map_or(replica.running(now), |s| f64::from(s.calls));
            let delayed_others_ms = match requirements.engine {
                Some(criteria) => {
                    let calls = load.min(f64::from(criteria.slots));
                    DELAYED_OTHERS_WEIGHT * prefill_ms * calls
                        + ratios.disturbance_ms(&criteria, prefill_ms, calls)
                }
                None => 0.0,
            };
            let permit_ms = self.permit_wait_ms(now, replica, requirements.rank);
            let domain_ms = match replica.listing.domain == domain {
                true => 0.0,
                // A long shared prefix is a reason to cross.
                false if only_homes => OTHER_DOMAIN_MS,
                false => OTHER_DOMAIN_MS + OTHER_DOMAIN_RATIO * expected_ms,
            };
            let failure_ms = FAILURE_MS * (replica.failure_rate - lowest_failure_rate);
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
                source: prefix.source,
                fetched_tokens: prefix.fetched_tokens,
                cached_tokens: prefix.tokens,
                pool_size: requirements.engine.map_or(0, |criteria| criteria.pool_size),
                epoch: requirements.engine.map_or(0, |criteria| criteria.epoch),
                from_snapshot: snapshot.is_some(),
                service,
                call: 0,
                recovering: false,
                sent: now,
                connected: None,
                first_event: now,
                paused: None,
                first_event_seen: false,
                prefill_sample: prefix.source.is_none()
                    && snapshot.is_some_and(|s| s.pending_prefill_ms <= 0.0),
                pause: requirements.engine.map_or(Span(0), |criteria| criteria.pause),
                last_event: now,
                sensitive,
                rank: requirements.rank,
                urgent_rank: requirements
                    .engine
                    .filter(|criteria| !criteria.lowest_rank)
                    .map(|_| requirements.rank),
                in_pool: false,
                prefill_ratio: ratios.prefill(),
                is_slow: ratios.pace > 1.0,
                late_share: ratios.late_share,
                gaps: pace::Sample::default(),
                answer: requirements.engine.and_then(|c| c.memory).unwrap_or_default().answer,
                objective_ms: requirements.engine.map_or(0.0, |criteria| criteria.objective_ms),
                late: false,
            };
            let late_ms = requirements.engine.map_or(0.0, |c| c.objective_ms * ratios.late_share);
            let cost_ms = expected_ms + delayed_others_ms + permit_ms + domain_ms + failure_ms;
            Some((cost_ms + late_ms + preemption_ms + prefix.displaced_ms, claim))
        });
        scored.collect()
    }

    /// The home replicas of a prompt's shared prefix: without a limit, as far as there are such.
    /// Prompts that are refused by a limited home would be prefilled at many others.
    pub(super) fn homes(
        &self,
        parts: &[Part],
        candidates: &[(Key<Replica>, &Replica)],
    ) -> [Key<Replica>; HOMES] {
        let unlimited: Vec<(Key<Replica>, &Replica)> =
            candidates.iter().filter(|(_, r)| !self.is_limited(r)).copied().collect();
        homes(parts, if unlimited.is_empty() { candidates } else { &unlimited })
    }
}

/// The `usable` replicas on one side of the isolated pool's boundary, or all of them if that side
/// has none. The pool is the first `pool_size` of the `open` replicas that may be in it, in the
/// order of [`Replica::order`]: those without a limit, which can take all streams of the pool. If
/// fewer replicas may, there is no pool: the permits of a few replicas would not do for its streams.
fn of_side<'a>(
    open: &[(Key<Replica>, &'a Replica)],
    usable: Vec<(Key<Replica>, &'a Replica)>,
    criteria: &Criteria,
    side: Side,
    scale: &Scale,
    may_be_in_pool: impl Fn(&Replica) -> bool,
) -> Vec<(Key<Replica>, &'a Replica)> {
    if criteria.pool_size == 0 || criteria.pool_size >= usable.len() {
        return usable;
    }
    // The boundary depends on the listed replicas, which all gateways agree on. A replica that only
    // this gateway failed to reach must not move it.
    let members = open.iter().filter(|(_, r)| may_be_in_pool(r));
    let mut positions: Vec<(i16, u64)> = members.map(|(_, r)| r.order(scale)).collect();
    if criteria.pool_size >= positions.len() {
        return usable;
    }
    let (_, last, _) = positions.select_nth_unstable(criteria.pool_size - 1);
    let in_pool = |r: &Replica| r.order(scale) <= *last && may_be_in_pool(r);
    let wanted = criteria.sensitive == (side == Side::Own);
    let matching: Vec<_> = usable.iter().filter(|(_, r)| in_pool(r) == wanted).copied().collect();
    if matching.is_empty() { usable } else { matching }
}

/// Side of the isolated pool's boundary, from the point of view of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    /// The isolated pool for sensitive streams, the remaining engines for all other calls.
    Own,
    /// The opposite side.
    Other,
}

impl Side {
    /// Criteria for the engines on this side.
    fn criteria(self, criteria: Criteria) -> Criteria {
        let in_pool = criteria.sensitive == (self == Side::Own);
        Criteria {
            pool_size: if self == Side::Own { criteria.pool_size } else { 0 },
            isolated_pause: if in_pool { criteria.isolated_pause } else { Span(0) },
            ..criteria
        }
    }
}

/// Whether a call may go to the other side of the isolated pool's boundary if its own side has no
/// capacity. Calls of the lowest rank may not: they have the long prompts that the pool keeps out.
fn may_cross(requirements: &Requirements<'_>) -> bool {
    requirements.engine.is_some_and(|criteria| !criteria.lowest_rank && criteria.pool_size > 0)
}

/// Whether the best replica of a call's own side is good enough not to consider the other side.
///
/// A stream that waits for a slot in the pool for longer than its objective is certainly late there
/// and may be on time elsewhere: when streams could not leave the pool, a quarter of the short ones
/// waited for up to 1.5 s in the first two seconds of a burst. A call of a middle rank that goes to
/// a full engine preempts one of a lower rank, whose prompt is then prefilled again; the pool may
/// have a free slot. If such calls always went to the side with the lower cost, many would go to
/// the pool, which has the shorter queues, and delay its streams: under high load 41 % of the short
/// streams were then late, and 31 % with this rule.
fn is_sufficient(criteria: &Criteria, claim: &Claim) -> bool {
    let preempts =
        !criteria.sensitive && claim.from_snapshot && claim.load >= f64::from(criteria.slots);
    let expected_ms = claim.expected_ms + criteria.bias_ms[usize::from(claim.in_pool)];
    expected_ms <= criteria.objective_ms && !preempts && is_good_enough(claim)
}

/// Tokens of a prompt's shared prefix that not every engine has cached.
pub(super) fn uncached_prefix_tokens(parts: &[Part], criteria: &Criteria) -> u64 {
    shared_tokens(parts).saturating_sub(criteria.common_tokens)
}

/// Tokens of a prompt's shared prefix: all parts but the last.
pub(super) fn shared_tokens(parts: &[Part]) -> u64 {
    let prefix = &parts[..parts.len().saturating_sub(1)];
    prefix.iter().map(|p| u64::from(p.tokens)).sum()
}

/// Position of a replica among the homes of a prompt's shared prefix.
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

/// The home replicas of a prompt's shared prefix, the same at all gateways.
///
/// The last part of a prompt belongs to the call or its session, and the shared prefix ends with
/// the part before it. Gateways agree on the homes by rendezvous hashing, without a message, so
/// that one engine prefills each prefix. Calls that the first home has no capacity for find the
/// prefix cached at the second.
fn homes(parts: &[Part], candidates: &[(Key<Replica>, &Replica)]) -> [Key<Replica>; HOMES] {
    rendezvous_order(parts, candidates)
}

/// The first candidates in the order of rendezvous hashing for a prompt's shared prefix.
pub(super) fn rendezvous_order<const N: usize>(
    parts: &[Part],
    candidates: &[(Key<Replica>, &Replica)],
) -> [Key<Replica>; N] {
    let shared = &parts[..parts.len().saturating_sub(1)];
    let id = shared.last().or(parts.first()).map_or(0, |p| p.id);
    let mut best = [(0, Key::default()); N];
    for (key, replica) in candidates {
        let score = rendezvous::score(id, replica.hash);
        if let Some(at) = best.iter().position(|(other, _)| score > *other) {
            best[at..].rotate_right(1);
            best[at] = (score, *key);
        }
    }
    best.map(|(_, key)| key)
}

/// Prefix of a prompt that an engine is assumed to have cached, without a report of its cache.
fn assumed(
    now: Time,
    requirements: &Requirements<'_>,
    criteria: &Criteria,
    replica: &Replica,
    home: Home,
) -> Prefix {
    let total: u64 = requirements.parts.iter().map(|p| u64::from(p.tokens)).sum();
    let shared = total - requirements.parts.last().map_or(0, |p| u64::from(p.tokens));
    let known = replica.cache.cached_tokens(now, requirements.parts).max(criteria.common_tokens);
    let cached = match home {
        Home::First => known.max(shared),
        Home::Second => known.max(
            criteria.common_tokens
                + ((shared - criteria.common_tokens.min(shared)) as f64 * SECOND_HOME_CACHED_SHARE)
                    as u64,
        ),
        Home::None => known,
    };
    Prefix { tokens: cached, ..Prefix::default() }
}

/// Size of the prompt that is not cached (see [`prefill::work`]), and the expected time to first
/// event at an engine in milliseconds.
fn engine_ms(
    now: Time,
    requirements: &Requirements<'_>,
    criteria: &Criteria,
    replica: &Replica,
    prefix: Prefix,
    snapshot: Option<&Snapshot>,
    ratios: &Ratios,
) -> (f64, f64) {
    let total: u64 = requirements.parts.iter().map(|p| u64::from(p.tokens)).sum();
    let work = prefill::work(prefix.tokens, total.saturating_sub(prefix.tokens));
    let prefill_ms = criteria.prefill.prefill_ms(work) * ratios.prefill() + prefix.copy_ms;
    if let Some(snapshot) = snapshot {
        return (work, snapshot_ms(criteria, requirements.rank, prefill_ms, snapshot, ratios));
    }
    let running = replica.running(now);
    let excess = (running - f64::from(criteria.slots)).max(0.0);
    let waiting = replica.waiting(now).max(excess);
    let ahead = if criteria.lowest_rank { waiting } else { waiting * SHARE_AHEAD_OF_URGENT };
    let queue_ms = replica.prefill_ms * ratios.slowdown + WAITING_MS * ahead * ratios.prefill();
    let per_running_ms = if criteria.lowest_rank { RUNNING_LOWEST_RANK_MS } else { RUNNING_MS };
    (work, prefill_ms + queue_ms + per_running_ms * running)
}

/// Expected time to first event by an owner's snapshot, in milliseconds: all pending prompts must
/// be prefilled and enough calls must end, and then the call's own prompt is prefilled.
fn snapshot_ms(
    criteria: &Criteria,
    rank: u8,
    prefill_ms: f64,
    snapshot: &Snapshot,
    ratios: &Ratios,
) -> f64 {
    let all_ms = f64::from(snapshot.pending_prefill_ms) * ratios.slowdown;
    let slot_ms = |calls: u16| {
        let excess = (f64::from(calls) + 1.0 - f64::from(criteria.slots)).max(0.0);
        excess * f64::from(snapshot.interval_ms)
    };
    if let Some(first) = snapshot.ahead_of(rank, criteria.lowest_rank) {
        let first_ms = f64::from(first.pending_prefill_ms) * ratios.slowdown;
        // A prompt of a lower rank is not put aside before its chunk has been read.
        let pending_ms = first_ms + SHARE_AHEAD_OF_URGENT * (all_ms - first_ms).max(0.0);
        return slot_ms(first.calls).max(pending_ms) + prefill_ms;
    }
    let ahead = if criteria.lowest_rank { 1.0 } else { SHARE_AHEAD_OF_URGENT };
    // Most calls in the isolated pool have the same priority, so that a new one overtakes none.
    let equal_priority = criteria.sensitive && criteria.pool_size > 0;
    let slot_ahead = if equal_priority { 1.0 } else { ahead };
    (slot_ahead * slot_ms(snapshot.calls)).max(ahead * all_ms) + prefill_ms
}

/// Expected time to the answer of a plain service, in milliseconds.
fn plain_ms(now: Time, replica: &Replica, snapshot: Option<&Snapshot>) -> f64 {
    let busy = snapshot.map_or(replica.running(now), |s| f64::from(s.calls));
    let slots = f64::from(replica.listing.slots.max(1));
    PLAIN_MS * (1.0 + busy / slots) * replica.slowness.max(1.0)
}
