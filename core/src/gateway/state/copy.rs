//! Copies of runs: which runs of this gateway are copied where, the copies at the engines that it
//! owns, and the standby that a run continues at.
//!
//! See [`crate::gateway::copy`].

use super::Gateway;
use super::Grant;
use super::Pick;
use super::pick::requirements;
use crate::arena::Key;
use crate::gateway::copy;
use crate::gateway::copy::Ledger;
use crate::gateway::copy::Refusals;
use crate::gateway::copy::Release;
use crate::gateway::copy::Reservation;
use crate::gateway::copy::Run;
use crate::gateway::directory;
use crate::gateway::fleet::Replica;
use crate::gateway::prefill;
use crate::gateway::submission::Submission;
use crate::incarnation::Digest;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

/// What a gateway knows of copies.
#[derive(Debug, Default)]
pub(super) struct Copies {
    ledger: Ledger,
    refusals: Refusals,
}

impl Copies {
    /// Whether an engine may hold further copies.
    pub(super) fn allows(&self, now: Time, engine: Digest) -> bool {
        self.refusals.allows(now, engine)
    }
}

/// A copy that a run may have.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Identity of the standby.
    pub standby: String,
    /// Address of the standby.
    pub address: String,
    /// Room that the copy needs at the standby.
    pub reservation: Reservation,
    /// Address of the gateway that owns the standby; `None` if it is this one.
    pub owner: Option<String>,
    /// Time for which the standby keeps the copy of a run that has broken off.
    pub copy_ttl: Span,
}

impl Plan {
    /// The message that frees the copy, of a run that has `ended` successfully or broken off.
    pub fn release(&self, ended: bool) -> Release {
        let after = if ended { Span(0) } else { self.copy_ttl };
        Release {
            standby: self.reservation.standby,
            gateway: self.reservation.gateway,
            run: self.reservation.run,
            after_ms: after.as_millis().min(u64::from(u32::MAX)) as u32,
        }
    }
}

impl Gateway {
    /// The copy that a call should have while it runs at the replica of `pick`; `None` if it needs
    /// none, or no engine can hold it.
    pub fn plan_copy(
        &self,
        now: Time,
        submission: &Submission,
        grant: &Grant,
        pick: &Pick,
    ) -> Option<Plan> {
        let engine = self.engine(grant).filter(|engine| engine.backups)?;
        if !grant.route.streams || grant.route.idempotent || !copy::is_valid_id(&submission.id) {
            return None;
        }
        let run = self.run(now, submission, grant)?;
        if !run.is_worth_copy(&engine) {
            return None;
        }
        let id = rendezvous::hash(&[&submission.id]);
        let allows = |standby| self.copies.allows(now, standby);
        let (first, build) = (pick.claim.replica, pick.build.as_deref());
        let standby = self.fleet.choose_standby(now, &grant.service, first, build, id, allows)?;
        let ttl = Span(run.remaining.0 + engine.copy_ttl.0);
        self.plan_at(now, standby, id, run.tokens(), ttl, engine.copy_ttl)
    }

    /// A copy of `tokens` at an engine, under this hash and for at most `ttl`.
    pub(super) fn plan_at(
        &self,
        now: Time,
        standby: Key<Replica>,
        run: u64,
        tokens: u64,
        ttl: Span,
        copy_ttl: Span,
    ) -> Option<Plan> {
        let standby = self.fleet.get(standby)?;
        let digest = standby.listing.incarnation.digest();
        let owner = self.directory.owner(now, &self.settings.entry.name, digest);
        let reservation = Reservation {
            standby: digest,
            gateway: directory::short_hash(&self.settings.entry.name),
            run,
            tokens: tokens.min(u64::from(u32::MAX)) as u32,
            ttl_ms: ttl.as_millis().min(u64::from(u32::MAX)) as u32,
        };
        Some(Plan {
            standby: standby.listing.incarnation.id.clone(),
            address: standby.listing.address.clone(),
            reservation,
            owner: owner.map(|(_, address)| address.to_owned()),
            copy_ttl,
        })
    }

    fn run(&self, now: Time, submission: &Submission, grant: &Grant) -> Option<Run> {
        let config = self.config.as_ref()?;
        let prompt_tokens = u64::from(submission.prompt_tokens());
        let output_tokens = submission.length_hint.unwrap_or(submission.max_output_tokens);
        let prefill =
            self.models.get(&grant.service).map(|model| model.prefill).unwrap_or_default();
        Some(Run {
            prompt_tokens,
            output_tokens: u64::from(output_tokens),
            prefill_ms: prefill.prefill_ms(prefill::work(0, prompt_tokens)),
            remaining: grant.deadline.since(now),
            lowest_rank: config.has_lowest_rank(&grant.route, &grant.service),
        })
    }

    /// Reserves room for a copy at an engine that this gateway owns; `false` if there is none, or
    /// the engine is unknown.
    pub fn reserve_copy(&mut self, now: Time, reservation: &Reservation) -> bool {
        let Some(service) = self.fleet.service_of_open(reservation.standby) else {
            return false;
        };
        let engine = self.config.as_ref().and_then(|config| config.service(service)?.engine);
        let engine = engine.filter(|engine| engine.backups || engine.moves);
        let kv_tokens = engine.map_or(0, |engine| engine.kv_tokens);
        self.copies.ledger.reserve(now, kv_tokens, reservation)
    }

    /// Records that a copy at an engine that this gateway owns is freed.
    pub fn release_copy(&mut self, now: Time, release: &Release) {
        self.copies.ledger.release(now, release);
    }

    /// Records that an engine had no copy of a run that had asked for it.
    pub fn record_copy_missing(&mut self, now: Time, standby: Digest) {
        self.copies.refusals.record(now, standby);
    }

    /// Tokens of the copies at an engine that this gateway owns.
    pub fn copied_tokens(&self, now: Time, standby: Digest) -> u64 {
        self.copies.ledger.tokens(now, standby)
    }

    /// The standby of a run's copy as the replica of the call's next attempt; `None` if the run must
    /// not continue there: the request or a part of it is quarantined, the request crashed another
    /// engine than the `first` one, the call is no longer allowed, or the standby takes no more calls
    /// or has another build than the first engine.
    pub fn pick_standby(
        &mut self,
        now: Time,
        submission: &Submission,
        grant: &mut Grant,
        first: &Pick,
        plan: &Plan,
    ) -> Option<Pick> {
        let service = grant.service.clone();
        self.recheck(now, submission, grant).ok()?;
        if grant.service != service || now >= grant.deadline || self.is_grace_over(now) {
            return None;
        }
        let crashed = first.claim.incarnation;
        if grant.fingerprint.is_some_and(|request| self.quarantine.is_suspect(request, crashed)) {
            return None;
        }
        let engine = self.engine(grant)?;
        let criteria = self.criteria(now, submission, grant, &engine);
        let requirements = requirements(submission, grant, Some(criteria), &[]);
        let domain = &self.settings.entry.domain;
        let claim =
            self.fleet.claim_standby(now, &requirements, domain, plan.reservation.standby)?;
        let replica = self.fleet.get(claim.replica)?;
        if replica.listing.build != first.build || grant.tried.contains(&claim.replica) {
            return None;
        }
        (replica.listing.address == plan.address).then(|| Pick {
            claim,
            id: replica.listing.incarnation.id.clone(),
            address: replica.listing.address.clone(),
            build: replica.listing.build.clone(),
            engine: true,
            permit: requirements.permit,
            fetch_from: None,
        })
    }
}
