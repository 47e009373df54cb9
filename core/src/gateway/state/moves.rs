//! Moves of runs: which runs of this gateway leave engines that end, where they go, and whether they
//! may still return.
//!
//! See [`crate::gateway::moves`].

use super::Gateway;
use super::Grant;
use super::Pick;
use super::copy;
use super::pick::requirements;
use crate::gateway::config::Engine;
use crate::gateway::copy::is_valid_id;
use crate::gateway::fleet::Claim;
use crate::gateway::moves;
use crate::gateway::moves::Progress;
use crate::gateway::moves::Run;
use crate::gateway::submission::Submission;
use crate::incarnation::Digest;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

/// A move that a run may make.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The engine that leaves, with this gateway's claim on it.
    pub source: Pick,
    /// Room that the run needs at the destination.
    pub destination: copy::Plan,
    /// What the move may save and cost.
    pub run: Run,
    /// Time from which the source has been known to leave.
    pub leaving_since: Time,
    /// Longest pause between events of the stream that is on time; zero if there is no bound.
    pub pause: Span,
}

impl Plan {
    /// Time until which the run may be stopped.
    pub fn copy_end(&self) -> Time {
        self.leaving_since + moves::COPY_TIMEOUT
    }
}

impl Gateway {
    /// Whether the engines of a call's service can move runs.
    pub fn can_move(&self, grant: &Grant) -> bool {
        let can_move = |engine: Engine| engine.moves && engine.transfer.is_some();
        grant.route.streams && self.engine(grant).is_some_and(can_move)
    }

    /// The move that a stream should make from the engine of `claim`; `None` if the engine does not
    /// leave, the rest of the run is not worth it, or no engine can take it. `standby` is the engine
    /// that keeps a copy of the run: it would need room for both.
    pub fn plan_move(
        &self,
        now: Time,
        submission: &Submission,
        grant: &Grant,
        claim: &Claim,
        progress: Progress,
        standby: Option<Digest>,
    ) -> Option<Plan> {
        let engine = self.engine(grant).filter(|engine| engine.moves)?;
        let leaving_since = self.fleet.leaving_since(claim.replica)?;
        let is_late = now >= leaving_since + moves::COPY_TIMEOUT;
        if is_late || !self.can_move(grant) || !is_valid_id(&submission.id) {
            return None;
        }
        let run = run(now, submission, grant, &engine, claim, progress)?;
        let source = self.fleet.get(claim.replica)?;
        let id = rendezvous::hash(&[b"move", &submission.id]);
        let allows = |destination: Digest| {
            Some(destination) != standby
                && self.copies.allows(now, destination)
                && !self.fleet.is_slower(&grant.service, destination, claim.replica)
        };
        let build = source.listing.build.as_deref();
        let destination = self.fleet.choose_standby(
            now,
            &grant.service,
            claim.replica,
            build,
            id,
            |destination| allows(destination) && !self.is_tried(grant, destination),
        )?;
        let other_domain = self.fleet.get(destination)?.listing.domain != source.listing.domain;
        if !run.is_worth_move(&engine, other_domain) {
            return None;
        }
        let ttl = Span(moves::RETURN_TIMEOUT.0 + engine.copy_ttl.0);
        let tokens = run.tokens.saturating_add(run.rest_tokens);
        let destination = self.plan_at(now, destination, id, tokens, ttl, engine.copy_ttl)?;
        let source = Pick {
            claim: *claim,
            id: source.listing.incarnation.id.clone(),
            address: source.listing.address.clone(),
            build: source.listing.build.clone(),
            engine: true,
            permit: requirements(submission, grant, None, &[]).permit,
            fetch_from: None,
        };
        let pause = grant.route.pause;
        Some(Plan { source, destination, run, leaving_since, pause })
    }

    fn is_tried(&self, grant: &Grant, engine: Digest) -> bool {
        self.fleet.replica_of(engine).is_some_and(|(key, _)| grant.tried.contains(&key))
    }

    /// The engine on which a run was stopped as the replica of the call's next attempt; `None` if the
    /// run must not go on there: the request or a part of it is quarantined, the call is no longer
    /// allowed, or the engine has been known to leave for too long.
    pub fn pick_source(
        &mut self,
        now: Time,
        submission: &Submission,
        grant: &mut Grant,
        source: &Pick,
    ) -> Option<Pick> {
        let service = grant.service.clone();
        self.recheck(now, submission, grant).ok()?;
        if grant.service != service || now >= grant.deadline || self.is_grace_over(now) {
            return None;
        }
        let engine = self.engine(grant)?;
        let criteria = self.criteria(now, submission, grant, &engine);
        let requirements = requirements(submission, grant, Some(criteria), &[]);
        let domain = &self.settings.entry.domain;
        let incarnation = source.claim.incarnation;
        let timeout = moves::RETURN_TIMEOUT;
        let claim = self.fleet.claim_source(now, &requirements, domain, incarnation, timeout)?;
        let replica = self.fleet.get(claim.replica)?;
        (replica.listing.address == source.address).then(|| Pick { claim, ..source.clone() })
    }
}

/// The run of a stream; `None` before its second event, from which its pace is known.
fn run(
    now: Time,
    submission: &Submission,
    grant: &Grant,
    engine: &Engine,
    claim: &Claim,
    progress: Progress,
) -> Option<Run> {
    let gaps = progress.events_here.checked_sub(1).filter(|gaps| *gaps > 0)?;
    let gap = Span(claim.last_event.since(claim.first_event).0 / gaps);
    let per_event = u64::from(engine.tokens_per_event.max(1));
    let made = progress.events.saturating_mul(per_event);
    // A hint that the answer has passed says nothing about its rest.
    let hint = submission.length_hint.map(u64::from).filter(|hint| *hint > made);
    let output = hint.unwrap_or(u64::from(submission.max_output_tokens));
    let rest_tokens = output.saturating_sub(made);
    Some(Run {
        tokens: u64::from(submission.prompt_tokens()).saturating_add(made),
        rest_tokens,
        rest: Span(gap.0.saturating_mul(rest_tokens / per_event)),
        spent: now.since(claim.sent),
        remaining: grant.deadline.since(now),
    })
}
