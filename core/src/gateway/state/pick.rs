//! Chooses the replica of each attempt, and refuses calls that no replica can take in time.

use rand::Rng;

use super::Gateway;
use super::Grant;
use super::Pick;
use crate::gateway::config::Engine;
use crate::gateway::config::Route;
use crate::gateway::fleet::Criteria;
use crate::gateway::fleet::Requirements;
use crate::gateway::fleet::is_missing;
use crate::gateway::limit::Kind;
use crate::gateway::memory::Answer;
use crate::gateway::memory::Bound;
use crate::gateway::occupancy::Snapshot;
use crate::gateway::refusal::Reason;
use crate::gateway::refusal::Refusal;
use crate::gateway::submission::Submission;
use crate::time::Span;
use crate::time::Time;

/// Range of the time after which callers that are refused for overload retry.
const MIN_RETRY_OVERLOADED: Span = Span::millis(400);
pub(super) const MAX_RETRY_OVERLOADED: Span = Span::millis(1_500);
/// Range of the random factor on expected waits. Without it, gateways that see the same old load
/// report would all refuse, and later all send, at the same time.
const MIN_DITHER: f64 = 0.3;
const MAX_DITHER: f64 = 1.7;
/// Upper bound on the expected wait for a first event, in multiples of the route's objective, for
/// calls of the lowest rank. Of long prompts with an expected wait of 0.5 to 0.6 objectives, 15 to
/// 22 in 100 were late; at 0.6 to 0.7 it was 21 to 32, and these delayed the calls behind them.
const MAX_WAIT_OBJECTIVES: f64 = 0.6;
/// The same for calls of a higher rank.
const MAX_WAIT_OBJECTIVES_URGENT: f64 = 2.0;
/// The same bound as a share of the route's timeout; the larger of the two bounds applies.
const MAX_WAIT_TIMEOUT_SHARE: f64 = 0.06;
/// Permits that are valid at once which an attempt asks for, at replicas that all have a limit,
/// before it reserves one that is valid later.
const MAX_IMMEDIATE_REQUESTS: usize = 3;
/// Time after which a caller retries when no replica can take its call.
const RETRY_NO_REPLICA: Span = Span::millis(300);

impl Gateway {
    /// Chooses a replica for the next attempt of a call, by the owners' snapshots and this
    /// gateway's own estimates.
    ///
    /// Rechecks the grant first, because the call may have waited since its admission.
    ///
    /// # Errors
    ///
    /// The refusal to answer the caller with. Its `not_run` concerns this attempt only, not earlier
    /// ones.
    pub fn pick(
        &mut self,
        now: Time,
        submission: &Submission,
        grant: &mut Grant,
        snapshots: &[Snapshot],
    ) -> Result<Pick, Refusal> {
        self.recheck(now, submission, grant)?;
        self.receive_paces(now, snapshots);
        self.fleet.record_memory(now, snapshots);
        if self.fleet.is_brittle(now, &grant.service) {
            self.update_ring(now, false);
        }
        let engine = self.engine(grant);
        let criteria = engine.map(|e| self.criteria(now, submission, grant, &e));
        let requirements = requirements(submission, grant, criteria, snapshots);
        if is_missing(&requirements) {
            return Err(Refusal::not_run(Reason::EngineMemoryFull, self.random_retry_after()));
        }
        let domain = &self.settings.entry.domain;
        let mut permit = requirements.permit;
        let mut claim = self.fleet.choose(now, &requirements, domain, &grant.tried);
        if claim.is_none() {
            permit = Kind::Reserved;
            let requirements = Requirements { permit, ..requirements };
            claim = self.fleet.choose(now, &requirements, domain, &grant.tried);
        }
        let Some(claim) = claim else {
            return Err(self.refuse_unavailable(now, grant));
        };
        let claim = if self.is_counted(now, &grant.service) { claim.counted() } else { claim };
        let replica = self.fleet.get(claim.replica);
        let replica = replica.ok_or(Refusal::not_run(Reason::NoReplica, RETRY_NO_REPLICA))?;
        let pick = Pick {
            claim,
            id: replica.listing.incarnation.id.clone(),
            address: replica.listing.address.clone(),
            build: replica.listing.build.clone(),
            engine: criteria.is_some(),
            permit,
            fetch_from: self.source_address(&claim),
        };
        grant.last_pick = Some(pick.clone());
        // A snapshot includes the calls of the other gateways, so it needs no dither.
        let dither = match claim.from_snapshot {
            true => 1.0,
            false => self.rng.random_range(MIN_DITHER..MAX_DITHER),
        };
        let max_wait = criteria.map(|c| max_wait_ms(&grant.route, c.lowest_rank));
        // A call that may have run is not refused for overload, which would report it as not run.
        // Nor is a resumed stream, which its caller has a part of and which no other build can continue.
        let first = grant.attempts == 0 && grant.origin.is_none();
        if first && max_wait.is_some_and(|max_wait| claim.expected_ms * dither > max_wait) {
            return Err(Refusal::not_run(Reason::Overloaded, self.random_retry_after()));
        }
        Ok(pick)
    }

    /// The refusal of a call that no replica can take now; it says when the first one can.
    fn refuse_unavailable(&mut self, now: Time, grant: &Grant) -> Refusal {
        let is_gone = |origin| !self.fleet.may_continue(&grant.service, origin);
        if grant.origin.is_some_and(is_gone) {
            return Refusal::not_run(Reason::BuildGone, RETRY_NO_REPLICA);
        }
        let permit = self.fleet.first_permit(now, &grant.service, grant.origin, grant.rank.route);
        // Other gateways may have places where this one was refused.
        if permit.is_none() && self.fleet.is_brittle(now, &grant.service) {
            return Refusal::not_run(Reason::NoPlace, self.random_retry_after());
        }
        let cooldown_end = self.fleet.first_cooldown_end(now, &grant.service, grant.origin);
        match (permit, cooldown_end) {
            (Some(permit), Some(end)) if end < permit => self.refuse_cooled(now, end),
            (Some(_), _) => self.refuse_limited(now, grant),
            (None, Some(end)) => self.refuse_cooled(now, end),
            (None, None) => Refusal::not_run(Reason::NoReplica, RETRY_NO_REPLICA),
        }
    }

    /// Criteria by which the engines for a call are compared.
    pub(super) fn criteria(
        &mut self,
        now: Time,
        submission: &Submission,
        grant: &Grant,
        engine: &Engine,
    ) -> Criteria {
        let engines = self.fleet.usable(now, &grant.service);
        let (sensitive, pool_size) = self.isolated_pool(now, grant, engine, engines);
        let epoch = self.plan(&grant.service).map_or(0, |plan| plan.epoch);
        let lowest_rank =
            self.config.as_ref().is_some_and(|c| c.has_lowest_rank(&grant.route, &grant.service));
        let gateways = self.directory.gateway_count();
        let bias_ms = self.bias_ms(&grant.service);
        let isolated_pause = match (self.plan(&grant.service), sensitive) {
            (Some(plan), _) => plan.shortest_pause(),
            (None, true) => grant.route.pause,
            (None, false) => Span(0),
        };
        let model = self.models.entry(grant.service.clone()).or_default();
        let memory = engine.limits_memory().then(|| {
            let (hint, max_tokens) = (submission.length_hint, submission.max_output_tokens);
            let answer = Answer {
                expected: model.expected_tokens(grant.route.pause, hint, max_tokens),
                hint,
                tokens: 0,
                tokens_per_event: engine.tokens_per_event,
                is_whole: grant.route.streams
                    && grant.origin.is_none()
                    && submission.last_event.is_none(),
            };
            let may_refuse = grant.attempts == 0 && grant.origin.is_none();
            Bound::new(engine.kv_tokens, may_refuse, answer)
        });
        Criteria {
            slots: engine.slots,
            sensitive,
            pool_size,
            epoch,
            lowest_rank,
            common_tokens: self.popularity.common_tokens(now, &submission.parts, engines, gateways),
            pause: grant.route.pause,
            objective_ms: grant.route.objective.as_secs_f64() * 1e3,
            prefill: model.prefill,
            batch: model.batch,
            bias_ms,
            isolated_pause,
            transfer: engine.transfer.filter(|_| engine.cache_polls > 0),
            memory,
        }
    }

    /// A random time to retry after, so that callers refused together do not return together.
    fn random_retry_after(&mut self) -> Span {
        Span(self.rng.random_range(MIN_RETRY_OVERLOADED.0..MAX_RETRY_OVERLOADED.0))
    }
}

/// Kind of permit that the next attempt asks for if its replica has a limit.
fn permit_kind(grant: &Grant) -> Kind {
    if grant.denials < MAX_IMMEDIATE_REQUESTS { Kind::Immediate } else { Kind::Reserved }
}

/// What a call needs of the replica of its next attempt.
pub(super) fn requirements<'a>(
    submission: &'a Submission,
    grant: &'a Grant,
    criteria: Option<Criteria>,
    snapshots: &'a [Snapshot],
) -> Requirements<'a> {
    Requirements {
        service: &grant.service,
        rank: grant.rank.route,
        denied: grant.denials > 0,
        permit: permit_kind(grant),
        may_retry: grant.attempts + 1 < grant.route.attempts,
        parts: &submission.parts,
        origin: grant.origin,
        engine: criteria,
        snapshots,
    }
}

/// Upper bound on the expected wait for a first event, in milliseconds; calls beyond it are
/// refused. Such a call would surely be late and delay those behind it. The bound is higher for
/// calls above the lowest rank, so that they are never refused before calls of the lowest rank.
pub(super) fn max_wait_ms(route: &Route, lowest_rank: bool) -> f64 {
    let objectives = if lowest_rank { MAX_WAIT_OBJECTIVES } else { MAX_WAIT_OBJECTIVES_URGENT };
    let objective = route.objective.as_secs_f64() * objectives;
    objective.max(route.timeout.as_secs_f64() * MAX_WAIT_TIMEOUT_SHARE) * 1e3
}
