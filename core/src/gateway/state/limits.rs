//! Limits of replicas: what they state, and permits for requests to those with a limit.
//!
//! See [`crate::gateway::limit`].

use rand::Rng;

use super::Gateway;
use super::Grant;
use super::Pick;
use super::pick::MAX_RETRY_OVERLOADED;
use super::pick::max_wait_ms;
use crate::gateway::fleet::Claim;
use crate::gateway::limit::Change;
use crate::gateway::limit::Changes;
use crate::gateway::limit::Kind;
use crate::gateway::limit::Record;
use crate::gateway::limit::Statement;
use crate::gateway::limit::issuer::Request;
use crate::gateway::limit::issuer::Verdict;
use crate::gateway::limit::permit::Permit;
use crate::gateway::limit::permit::Query;
use crate::gateway::limit::permit::Reply;
use crate::gateway::refusal::Reason;
use crate::gateway::refusal::Refusal;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Least time that a resumed stream can wait for a permit. If it were broken off instead, all that
/// its replicas did for it would be lost.
const MIN_RESUME_PATIENCE: Span = Span::secs(1);
/// Time after which a permit is asked for again if the issuer did not answer, or issues none.
const RETRY_ISSUER: Span = Span::millis(100);
/// Least time after which callers retry that were refused for lack of a permit.
const MIN_RETRY_LIMITED: Span = Span::millis(100);
/// Upper bound on the random factor on times to ask again. Without it, gateways that were denied a
/// permit together would ask again together.
const MAX_DENIAL_FACTOR: f64 = 1.5;

/// Expected time from sending a call to its first event, in milliseconds.
fn expected_ms(pick: &Pick) -> f64 {
    if pick.engine { pick.claim.expected_ms } else { 0.0 }
}

fn saturating_millis(span: Span) -> u16 {
    span.as_millis().min(u64::from(u16::MAX)) as u16
}

impl Gateway {
    /// Records what an answer of a replica says about its limit; returns the change, if there is
    /// one.
    pub fn record_limit(
        &mut self,
        now: Time,
        claim: &Claim,
        statement: Statement,
    ) -> Option<Change> {
        let rate = match statement {
            Statement::Unlimited => None,
            Statement::Rate(rate) => Some(rate),
            Statement::Malformed => return None,
        };
        self.fleet.get(claim.replica)?;
        self.fleet.limits_mut().record(now, claim.incarnation, rate)
    }

    /// Limits to gossip.
    pub fn gossip_limits(&mut self, now: Time) -> Vec<Record> {
        self.fleet.sweep_limits(now);
        self.retain_issued();
        self.fleet.limits().gossip(now)
    }

    fn retain_issued(&mut self) {
        let limits = self.fleet.limits();
        self.issuer.retain(|replica| limits.rate(replica).is_some());
    }

    /// Merges limits that another gateway knows; returns the changes.
    pub fn receive_limits(&mut self, now: Time, records: &[Record]) -> Changes {
        records.iter().filter_map(|record| self.receive_limit(now, record)).collect()
    }

    fn receive_limit(&mut self, now: Time, record: &Record) -> Option<(String, Change)> {
        let id = self.fleet.id(record.replica)?.to_owned();
        let change = self.fleet.limits_mut().receive(now, record)?;
        Some((id, change))
    }

    /// The request for the permit that a call needs for its replica; `None` if it needs none.
    /// `resumes` says whether the caller already has a part of the answer.
    pub fn permit_query(
        &self,
        now: Time,
        grant: &Grant,
        pick: &Pick,
        resumes: bool,
    ) -> Option<Query> {
        let replica = pick.claim.incarnation;
        let rate = self.fleet.limits().rate(replica)?;
        let known = self.fleet.limits().get(now, replica);
        let limit = known.unwrap_or(Record { replica, rate: Some(rate), age_ms: u16::MAX });
        let patience = match pick.permit {
            Kind::Immediate => Span(0),
            Kind::Reserved => self.permit_patience(now, grant, pick, resumes),
        };
        let expected = Span::from_secs_f64(expected_ms(pick) / 1e3);
        let on_time = (grant.arrived + grant.route.objective).since(now + expected);
        let request = Request {
            limit,
            rank: grant.rank.route,
            patience_ms: saturating_millis(patience),
            on_time_ms: saturating_millis(on_time),
        };
        Some(Query { issuer: self.issuer_of(now, replica), request })
    }

    /// Longest time that a call waits for a permit. It does not wait while another replica could
    /// take it at once, and no longer than for its first event in an overload.
    fn permit_patience(&self, now: Time, grant: &Grant, pick: &Pick, resumes: bool) -> Span {
        if self.fleet.has_unlimited(now, &grant.service, grant.origin, &grant.tried) {
            return Span(0);
        }
        let lowest_rank =
            self.config.as_ref().is_some_and(|c| c.has_lowest_rank(&grant.route, &grant.service));
        let wait_ms = (max_wait_ms(&grant.route, lowest_rank) - expected_ms(pick)).max(0.0);
        let least = if resumes { MIN_RESUME_PATIENCE } else { Span(0) };
        let half_left = Span(grant.deadline.since(now).0 / 2);
        Span::from_secs_f64(wait_ms / 1e3).max(least).min(half_left)
    }

    fn issuer_of(&self, now: Time, replica: Digest) -> Option<String> {
        let own = &self.settings.entry.name;
        self.directory.issuer(now, own, self.takes_callers(now), replica).map(str::to_owned)
    }

    /// Decides on the request of a gateway for a permit; returns the changes of limits that the
    /// request told of.
    ///
    /// A gateway that others take for the issuer, but not itself, issues none. It issues only the
    /// share of the gateways that it believes to be live, so that the sides of a partition do not
    /// use the whole limit each.
    pub fn issue(&mut self, now: Time, request: &Request) -> (Reply, Changes) {
        let changes = self.receive_limits(now, &[request.limit]);
        let replica = request.limit.replica;
        let verdict = match self.fleet.limits().rate(replica) {
            _ if !self.fleet.contains(replica) || self.issuer_of(now, replica).is_some() => {
                Verdict::Denied(RETRY_ISSUER.as_millis() as u16)
            }
            None => Verdict::NotNeeded,
            Some(rate) => {
                let rate = f64::from(rate) * self.directory.live_share(now);
                self.issuer.decide(now, rate, request)
            }
        };
        (Reply { verdict, limit: self.fleet.limits().get(now, replica) }, changes)
    }

    /// Records the answer to a request for a permit; `None` is no answer in time. Returns whether
    /// the call may be sent, and the changes of limits that the answer told of.
    pub fn record_reply(
        &mut self,
        now: Time,
        grant: &mut Grant,
        pick: &Pick,
        request: &Request,
        reply: Option<Reply>,
    ) -> (Permit, Changes) {
        let limit = reply.and_then(|reply| reply.limit);
        let changes = self.receive_limits(now, limit.as_slice());
        let denial = match reply.map(|reply| reply.verdict) {
            Some(Verdict::NotNeeded) => return (Permit::Granted(Span(0)), changes),
            Some(Verdict::Granted(ms)) => {
                return (Permit::Granted(Span::millis(u64::from(ms))), changes);
            }
            Some(Verdict::Denied(ms)) => Span::millis(u64::from(ms)),
            None => RETRY_ISSUER,
        };
        let factor = self.rng.random_range(1.0..MAX_DENIAL_FACTOR);
        let until = now + Span((denial.0 as f64 * factor) as u64);
        let replica = request.limit.replica;
        self.fleet.limits_mut().record_denial(now, replica, pick.permit, request.rank, until);
        grant.denials += 1;
        (Permit::Denied, changes)
    }

    /// The refusal of a call that gets no permit for any replica. It says when the first permit may
    /// be had, at a random time so that callers refused together do not return together.
    pub fn refuse_limited(&mut self, now: Time, grant: &Grant) -> Refusal {
        let first = self.fleet.first_permit(now, &grant.service, grant.origin, grant.rank.route);
        let wait = first.map_or(Span(0), |at| at.since(now));
        let wait = wait.max(MIN_RETRY_LIMITED);
        let spread = self.rng.random_range(0..=wait.0);
        let retry_after = Span(wait.0 + spread).min(MAX_RETRY_OVERLOADED);
        Refusal::not_run(Reason::Limited, retry_after)
    }
}
