//! Engines that fetch the cached prefix of a prompt from another engine instead of computing it.
//!
//! The owners' snapshots say which of the queried engines have a prompt's prefix cached. If one of
//! them has nearly all of the shared prefix, each queried engine is a candidate for the call: the
//! copy takes much less time than the prefill. Otherwise a long prefix is only prefilled at its
//! homes. A short one may be prefilled anywhere, and its first home is queried as a likely source.

use std::collections::BTreeMap;
use std::ops::Bound;

use super::Fleet;
use super::Replica;
use super::choice::Claim;
use super::choice::Criteria;
use super::choice::MIN_HOME_PREFIX_TOKENS;
use super::choice::Requirements;
use super::choice::rendezvous_order;
use super::choice::shared_tokens;
use super::choice::uncached_prefix_tokens;
use crate::arena::Key;
use crate::gateway::occupancy::Snapshot;
use crate::gateway::prefill;
use crate::gateway::submission::Part;
use crate::incarnation::Digest;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

/// Engines other than the homes whose owners are queried for a prompt with a long shared prefix.
const MAX_TARGETS: usize = 2;
/// Engines whose owners are queried as likely sources of a long shared prefix, homes included. If half
/// of the engines join or leave the candidates, its earlier home is one of these in 15 of 16 cases.
const MAX_SOURCES: usize = 4;
/// Milliseconds that a copy takes besides its transfer: a round trip between engines and the start
/// of the transfer.
const SETUP_MS: f64 = 5.0;
/// Factor on the time of a copy from another failure domain.
const OTHER_DOMAIN_RATIO: f64 = 2.0;
/// Ratio of the time that a copy saves to the time of the copy from which it is made. At 1, a copy
/// that waits for one other at its source would take longer than the prefill.
const MIN_GAIN_RATIO: f64 = 2.0;
/// Time after a failed answer of an engine that was to fetch, in which its source is not used.
const FAILED_SOURCE_TTL: Span = Span::secs(5);
/// Time for which parts that were sent to an engine count as cached although its owner does not
/// report them: the interval of the owner's calls, and the delay of events.
const EVENT_DELAY: Span = Span::millis(2_500);
/// Costs of engines in milliseconds are equal if they are in the same step of this length. With
/// exact costs, all gateways would query the same two engines for as long as reports are the same.
const COST_STEP_MS: f64 = 25.0;

/// Share of the prefill of copied tokens that counts as a cost of their copy. The copy takes the place
/// of other cached prefixes at the target, some of which are prefilled again; at 0, calls go to engines
/// that must copy in place of homes that are no busier.
const DISPLACED_SHARE: f64 = 0.25;

/// Share of a call's objective within which an engine that has the call's prefix must be expected to
/// answer, so that no other engine copies the prefix. The estimate may be too low by this factor.
const PROMPT_RATIO: f64 = 0.25;

/// Shortest prefix that is copied, in tokens. The prefill of a shorter one takes less time than one
/// decoding step of a busy engine.
const MIN_COPY_TOKENS: u64 = 256;

/// Prefix of a prompt that an engine need not prefill.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Prefix {
    /// Length of the prefix in tokens, fetched ones included.
    pub(super) tokens: u64,
    /// Engine from which a part of it is fetched.
    pub(super) source: Option<Key<Replica>>,
    /// Tokens that are fetched.
    pub(super) fetched_tokens: u64,
    /// Expected time of the copy, in milliseconds.
    pub(super) copy_ms: f64,
    /// Expected prefill, in milliseconds, of cached tokens that the copy displaces.
    pub(super) displaced_ms: f64,
}

/// An engine from which others may fetch.
#[derive(Clone, Copy)]
struct Source<'a> {
    key: Key<Replica>,
    replica: &'a Replica,
    /// Cached tokens of the shared prefix.
    tokens: u64,
    calls: u16,
}

/// An engine that may fetch.
#[derive(Clone, Copy)]
struct Target<'a> {
    key: Key<Replica>,
    replica: &'a Replica,
    /// Cached tokens of the prompt.
    cached: u64,
    calls: u16,
}

/// Whether a prompt has a shared prefix worth a copy that not every engine has cached; all engines
/// have the first `common_tokens`.
pub fn has_copyable_prefix(parts: &[Part], common_tokens: u64) -> bool {
    shared_tokens(parts).saturating_sub(common_tokens) >= MIN_COPY_TOKENS
}

impl Fleet {
    /// The replica of an incarnation, with its key.
    pub fn replica_of(&self, incarnation: Digest) -> Option<(Key<Replica>, &Replica)> {
        let key = *self.by_digest.get(&incarnation)?;
        Some((key, self.replicas.get(key)?))
    }

    /// All incarnations in order, from the first one after `after`.
    pub fn digests_after(&self, after: Option<Digest>) -> impl Iterator<Item = Digest> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.by_digest.range((start, Bound::Unbounded)).map(|(digest, _)| *digest)
    }

    /// The cheapest engines besides the homes for a prompt whose long shared prefix they could
    /// fetch; none if engines do not copy cached tokens.
    pub(super) fn cheapest_targets(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        domain: &str,
        candidates: &[(Key<Replica>, &Replica)],
    ) -> Vec<(f64, Claim)> {
        if !may_copy(requirements) || !needs_home(requirements) {
            return Vec::new();
        }
        let homes = self.homes(requirements.parts, candidates);
        let others: Vec<(Key<Replica>, &Replica)> =
            candidates.iter().filter(|(key, _)| !homes.contains(key)).copied().collect();
        // With a copy of the shared prefix, only the call's own part is left to prefill.
        let own = requirements.parts.len().saturating_sub(1);
        let parts = &requirements.parts[own..];
        let mut scored = self.score(now, &Requirements { parts, ..*requirements }, domain, &others);
        let call = parts.first().map_or(0, |part| part.id);
        scored.sort_by_cached_key(|(cost, claim)| {
            let step = (cost / COST_STEP_MS).clamp(0.0, 1e9) as u64;
            (step, rendezvous::score(call, u64::from(claim.incarnation.0)))
        });
        scored.truncate(MAX_TARGETS);
        scored
    }

    /// Engines that are the likeliest to have a shared prefix which engines may copy. Of a short one,
    /// this is its first home. A long one may be at any engine that was a home before others joined
    /// or the isolated pool changed, so that engines on both sides of the pool's boundary count.
    pub(super) fn likely_sources(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        candidates: &[(Key<Replica>, &Replica)],
    ) -> Vec<Digest> {
        if !may_copy(requirements) {
            return Vec::new();
        }
        let keys = match needs_home(requirements) {
            false => self.homes(requirements.parts, candidates)[..1].to_vec(),
            true => {
                let open = self.open_replicas(requirements.service);
                let usable: Vec<(Key<Replica>, &Replica)> =
                    open.filter(|(_, replica)| replica.is_usable(now)).collect();
                rendezvous_order::<MAX_SOURCES>(requirements.parts, &usable).to_vec()
            }
        };
        keys.into_iter().filter_map(|key| self.get(key)).map(Replica::digest).collect()
    }

    /// Prefixes that the candidates need not prefill, by the owners' snapshots. `None` if no engine
    /// is known to have nearly all of the shared prefix, so that a long one is only prefilled at its
    /// homes.
    pub(super) fn prefixes(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        homes: &[Key<Replica>],
        candidates: &[(Key<Replica>, &Replica)],
    ) -> Option<BTreeMap<Key<Replica>, Prefix>> {
        let criteria = requirements.engine.filter(|_| may_copy(requirements))?;
        let parts = requirements.parts;
        let shared = shared_tokens(parts);
        let max_missing = max_missing_tokens(requirements, &criteria);
        let is_complete = |tokens: u64| tokens + max_missing > shared;
        let valid = requirements.snapshots.iter().filter(|snapshot| snapshot.is_valid());
        let sources: Vec<Source<'_>> =
            valid.filter_map(|s| self.source(now, requirements, shared, s)).collect();
        if !sources.iter().any(|source| is_complete(source.tokens)) {
            return None;
        }
        let mut prefixes = BTreeMap::new();
        for (key, replica) in candidates {
            let snapshot = requirements.snapshots.iter().find(|s| s.engine == replica.digest());
            let Some(snapshot) = snapshot.filter(|s| s.is_valid()) else {
                continue;
            };
            let Some(reported) = snapshot.cached_tokens else {
                continue;
            };
            let recent = replica.cache.tokens_used_within(now, EVENT_DELAY, parts);
            let total: u64 = parts.iter().map(|part| u64::from(part.tokens)).sum();
            let cached = u64::from(reported).max(recent).max(criteria.common_tokens).min(total);
            let target = Target { key: *key, replica, cached, calls: snapshot.calls };
            let prefix = best_prefix(requirements, &target, &sources);
            if !needs_home(requirements) || is_complete(prefix.tokens) || homes.contains(key) {
                prefixes.insert(*key, prefix);
            }
        }
        Some(prefixes)
    }

    /// The engine of a snapshot as a source; `None` if it is not known to have anything cached, may
    /// not be reachable, or failed as a source a short time ago.
    fn source<'a>(
        &'a self,
        now: Time,
        requirements: &Requirements<'_>,
        shared: u64,
        snapshot: &Snapshot,
    ) -> Option<Source<'a>> {
        let tokens = u64::from(snapshot.cached_tokens?).min(shared);
        let (key, replica) = self.replica_of(snapshot.engine)?;
        let failed = |at: Time| now.since(at) < FAILED_SOURCE_TTL;
        let is_usable = replica.is_usable(now)
            && replica.listing.service == requirements.service
            && !replica.fetch_failed_at.is_some_and(failed);
        (tokens > 0 && is_usable).then_some(Source { key, replica, tokens, calls: snapshot.calls })
    }

    /// The claim of the lowest cost, in milliseconds. If it copies a prefix, but an engine that has the
    /// prefix will answer early enough and has a free slot, the claim on that engine: a copy displaces
    /// other prefixes and keeps links busy, and here its caller would not notice a difference.
    pub(super) fn cheapest(
        requirements: &Requirements<'_>,
        bias_ms: f64,
        scored: Vec<(f64, Claim)>,
    ) -> Option<(f64, Claim)> {
        let by_cost = |a: &(f64, Claim), b: &(f64, Claim)| a.0.total_cmp(&b.0);
        let shared = shared_tokens(requirements.parts);
        let is_prompt = |claim: &Claim| {
            requirements.engine.is_some_and(|criteria| {
                claim.source.is_none()
                    && claim.from_snapshot
                    && claim.cached_tokens + max_missing_tokens(requirements, &criteria) > shared
                    && claim.load < f64::from(criteria.slots)
                    && claim.expected_ms + bias_ms <= PROMPT_RATIO * criteria.objective_ms
            })
        };
        let prompt =
            scored.iter().filter(|(_, claim)| is_prompt(claim)).min_by(|a, b| by_cost(a, b));
        let prompt = prompt.copied();
        let cheapest = scored.into_iter().min_by(by_cost)?;
        Some(prompt.filter(|_| cheapest.1.source.is_some()).unwrap_or(cheapest))
    }

    /// Records the failure of an attempt whose replica was to fetch cached tokens, at the source.
    pub(super) fn record_failed_fetch(&mut self, now: Time, claim: &Claim) {
        let source = claim.source.and_then(|source| self.replicas.get_mut(source));
        if let Some(source) = source {
            source.fetch_failed_at = Some(now);
        }
    }
}

/// Tokens of a shared prefix of which an engine that has nearly all of the prefix may lack fewer.
fn max_missing_tokens(requirements: &Requirements<'_>, criteria: &Criteria) -> u64 {
    MIN_HOME_PREFIX_TOKENS.min(uncached_prefix_tokens(requirements.parts, criteria) / 2)
}

/// Whether a call's prompt has a shared prefix that engines may copy from one another.
fn may_copy(requirements: &Requirements<'_>) -> bool {
    requirements.engine.is_some_and(|criteria| {
        criteria.transfer.is_some()
            && has_copyable_prefix(requirements.parts, criteria.common_tokens)
    })
}

/// Whether a call's shared prefix is so long that only its homes may prefill it.
pub(super) fn needs_home(requirements: &Requirements<'_>) -> bool {
    requirements.engine.is_some_and(|criteria| {
        uncached_prefix_tokens(requirements.parts, &criteria) >= MIN_HOME_PREFIX_TOKENS
    })
}

/// The prefix that an engine need not prefill: what it has cached, with a copy from the best source
/// if that takes much less time than the prefill that it saves.
///
/// A prefill delays the call and each running request of the engine, and a copy only the call. So
/// a busy engine copies shorter prefixes than an idle one. The transfer alone must take less time
/// than the prefill, because transfers of one engine wait for one another.
fn best_prefix(
    requirements: &Requirements<'_>,
    target: &Target<'_>,
    sources: &[Source<'_>],
) -> Prefix {
    let cached = target.cached;
    let own = Prefix { tokens: cached, ..Prefix::default() };
    let listing = &target.replica.listing;
    let is_near = |s: &Source<'_>| s.replica.listing.domain == listing.domain;
    let may_serve = |s: &&Source<'_>| {
        s.key != target.key && s.tokens > cached && s.replica.listing.build == listing.build
    };
    let best = sources
        .iter()
        .filter(may_serve)
        .max_by_key(|s| (s.tokens, is_near(s), std::cmp::Reverse(s.calls)));
    let (Some(source), Some(criteria)) = (best, requirements.engine) else {
        return own;
    };
    let Some(transfer) = criteria.transfer else {
        return own;
    };
    let total: u64 = requirements.parts.iter().map(|part| u64::from(part.tokens)).sum();
    let prefill_ms = |cached: u64| {
        let work = prefill::work(cached, total.saturating_sub(cached));
        criteria.prefill.prefill_ms(work)
    };
    let fetched_tokens = source.tokens - cached;
    let distance = if is_near(source) { 1.0 } else { OTHER_DOMAIN_RATIO };
    let transfer_ms = distance * transfer.copy_ms(fetched_tokens);
    let copy_ms = SETUP_MS + transfer_ms;
    let saved_ms = prefill_ms(cached) - prefill_ms(source.tokens);
    let delayed_calls = 1.0 + f64::from(target.calls).min(f64::from(criteria.slots));
    let is_worth = saved_ms * delayed_calls >= copy_ms * MIN_GAIN_RATIO;
    if !is_worth || saved_ms < transfer_ms * MIN_GAIN_RATIO {
        return own;
    }
    Prefix {
        tokens: source.tokens,
        source: Some(source.key),
        fetched_tokens,
        copy_ms,
        displaced_ms: DISPLACED_SHARE * saved_ms,
    }
}
