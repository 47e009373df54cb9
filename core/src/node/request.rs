//! Arrival, admission and end of requests.

use bytes::Bytes;

use super::Node;
use crate::action::Action;
use crate::action::Outcome;
use crate::action::Reason;
use crate::action::Refusal;
use crate::action::Verdict;
use crate::arena::Key;
use crate::config::GroupKey;
use crate::event::AttemptId;
use crate::event::RequestId;
use crate::event::Submission;
use crate::event::Target;
use crate::idempotency;
use crate::limit::Limit;
use crate::queue::Flow;
use crate::queue::Item;
use crate::queue::Rule;
use crate::stats::Timing;
use crate::stats::Waste;
use crate::time::Span;
use crate::time::Time;
use crate::upstream::Upstream;

/// Most requests queued in one group.
const MAX_QUEUED: usize = 16_384;
/// A queue shorter than this many seconds of work admits without an estimate of the wait.
const SHORT_WAIT: Span = Span::secs(1);
const RETRY_SOON: Span = Span::secs(1);
/// Prompt tokens cost this part of an output token.
pub(super) const PROMPT_PART: u32 = 8;

/// Who gets the end of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Recipient {
    /// A caller of this router.
    Caller(RequestId),
    /// All who wait for a key.
    Key(idempotency::Key),
}

/// The try in progress.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its number.
    pub id: AttemptId,
    /// Where it runs.
    pub upstream: Key<Upstream>,
    /// When it was sent.
    pub sent: Time,
    /// When something came of it last.
    pub last_frame: Time,
    /// Whether anything came of it.
    pub answered: bool,
}

/// A request from arrival to end.
#[derive(Debug)]
pub struct Request {
    /// Who gets the end.
    pub recipient: Recipient,
    /// Its class and organisation.
    pub flow: Flow,
    /// Its group.
    pub group: GroupKey,
    /// When it came.
    pub arrived: Time,
    /// What the caller sent.
    pub submission: Box<Submission>,
    /// Output tokens expected.
    pub estimate: u32,
    /// The try in progress.
    pub attempt: Option<Attempt>,
    /// Tries so far.
    pub attempt_count: u32,
    /// Upstreams that failed it.
    pub failed_upstreams: Vec<Key<Upstream>>,
    /// How often it was stopped for a higher tier.
    pub preemptions: u32,
    /// Its class's trickle let it go before higher tiers.
    pub promoted: bool,
    /// A byte of an attempt that is over may have reached an upstream that may act on it.
    pub may_have_run: bool,
    /// Tokens delivered.
    pub delivered: u32,
    /// Text delivered, for a whole answer or for going on elsewhere.
    pub parts: Vec<Bytes>,
    /// When the first token came.
    pub first: Option<Time>,
}

impl Request {
    /// Whether a caller hears of tokens as they come.
    pub fn streaming_caller(&self) -> Option<RequestId> {
        match self.recipient {
            Recipient::Caller(id) if self.submission.stream => Some(id),
            _ => None,
        }
    }

    /// Whether it may be sent to an upstream again after one may have acted on it.
    pub fn is_idempotent(&self) -> bool {
        self.submission.idempotent
    }

    /// Text of all parts.
    pub fn text(&self) -> Bytes {
        if let [only] = self.parts.as_slice() {
            return only.clone();
        }
        Bytes::from(self.parts.concat())
    }

    fn item(&self, key: Key<Request>, deadline: Time) -> Item {
        let left = self.estimate.saturating_sub(self.delivered);
        let cost = left.saturating_add(self.submission.prompt_tokens / PROMPT_PART).max(1);
        Item { request: key, cost, deadline }
    }
}

/// A resolved submission.
struct Resolved {
    flow: Flow,
    group: GroupKey,
}

pub(super) fn refusal(verdict: Verdict, reason: Reason, retry_after: Span) -> Outcome {
    Outcome::Refused(Refusal { verdict, reason, retry_after })
}

pub(super) fn not_run(reason: Reason, retry_after: Span) -> Outcome {
    refusal(Verdict::NotRun, reason, retry_after)
}

impl Node {
    pub(super) fn on_request(&mut self, now: Time, id: RequestId, submission: Box<Submission>) {
        if self.config_version() == 0 || !self.stopping.accepts_requests() {
            self.finish_caller(id, not_run(Reason::NotServing, RETRY_SOON));
            return;
        }
        match submission.idempotency_key.clone() {
            None => self.admit_or_refuse(now, Recipient::Caller(id), submission),
            Some(text) => self.receive_with_key(now, id, &text, submission),
        }
    }

    /// Admits a request, or ends it at once.
    pub(super) fn admit_or_refuse(&mut self, now: Time, recipient: Recipient, s: Box<Submission>) {
        let resolved = match self.resolve(&s) {
            Ok(resolved) => resolved,
            Err(reason) => {
                self.finish_recipient(recipient, not_run(reason, Span(0)));
                return;
            }
        };
        self.stats.record_arrival(resolved.flow.class, resolved.flow.org);
        if let Err((recipient, outcome)) = self.admit(now, recipient, s, &resolved) {
            let timing = Timing { first_token: None, finish: Span(0), attained: false };
            self.stats.record_end(resolved.flow.class, resolved.flow.org, timing, &outcome);
            self.finish_recipient(recipient, outcome);
        }
    }

    fn resolve(&self, s: &Submission) -> Result<Resolved, Reason> {
        let index = &self.index;
        let org = index.organisation_of_key(&s.key).ok_or(Reason::UnknownKey)?;
        let class = match &s.class {
            Some(name) => index.class_named(name),
            None => index.class_named(&index.organisation(org).default_class),
        };
        let class = class.ok_or(Reason::UnknownClass)?;
        let group = match &s.target {
            Target::Model(model) => index.group_of_model(model),
            Target::Service { name, .. } => index.group_named(name),
        };
        let group = group.ok_or(Reason::UnknownTarget)?;
        let rules = index.class(class);
        let rule = Rule { tier: rules.tier, protected: rules.protected, trickle: rules.trickle };
        let weight = index.organisation(org).weight;
        Ok(Resolved { flow: Flow { class, rule, org, weight }, group })
    }

    fn admit(
        &mut self,
        now: Time,
        recipient: Recipient,
        submission: Box<Submission>,
        to: &Resolved,
    ) -> Result<(), (Recipient, Outcome)> {
        let patience = self.index.class(to.flow.class).patience;
        let org = self.index.organisation(to.flow.org);
        let limit = Limit { requests: org.requests_per_second, tokens: org.tokens_per_second };
        let bound = if submission.max_tokens == 0 { u32::MAX } else { submission.max_tokens };
        let estimate = self.estimator.output_tokens(to.flow.class, to.flow.org).min(bound);

        if let Err(outcome) = self.check_queue(now, to, patience) {
            return Err((recipient, outcome));
        }
        let routers = self.routers;
        if let Err(wait) = self.limits.take(now, to.flow.org, limit, estimate, routers) {
            return Err((recipient, not_run(Reason::OverLimit, wait)));
        }

        let caller = match recipient {
            Recipient::Caller(id) => Some(id),
            Recipient::Key(_) => None,
        };
        let request = Request {
            recipient,
            flow: to.flow,
            group: to.group,
            arrived: now,
            submission,
            estimate,
            attempt: None,
            attempt_count: 0,
            failed_upstreams: Vec::new(),
            preemptions: 0,
            promoted: false,
            may_have_run: false,
            delivered: 0,
            parts: Vec::new(),
            first: None,
        };
        let key = self.requests.insert(request);
        if let Some(id) = caller {
            self.by_caller.insert(id, key);
        }
        self.enqueue(key, now + patience);
        self.dispatch_queued(now, to.group);
        Ok(())
    }

    /// Refuses at once what could not start in time, and makes room in a full queue.
    fn check_queue(&mut self, now: Time, to: &Resolved, patience: Span) -> Result<(), Outcome> {
        let state = self.groups.entry(to.group).or_default();
        if state.pool.members.is_empty() {
            return Err(not_run(Reason::NoUpstream, RETRY_SOON));
        }
        if state.queue.is_empty() {
            return Ok(());
        }
        let wait = state.queue.estimated_wait(now, to.flow);
        if wait > patience && wait > SHORT_WAIT {
            let over = Span(wait.0 - patience.0).max(RETRY_SOON);
            return Err(not_run(Reason::Overloaded, over));
        }
        if state.queue.len() < MAX_QUEUED {
            return Ok(());
        }
        match state.queue.victim(to.flow.rule.tier) {
            Some(victim) => {
                self.refuse_queued(now, victim, not_run(Reason::Shed, wait.max(RETRY_SOON)));
                Ok(())
            }
            None => Err(not_run(Reason::Overloaded, wait.max(RETRY_SOON))),
        }
    }

    /// Puts a request in its group's queue: in front if it already ran, else behind.
    pub(super) fn enqueue(&mut self, key: Key<Request>, deadline: Time) {
        let Some(r) = self.requests.get(key) else {
            return;
        };
        let item = r.item(key, deadline);
        let state = self.groups.entry(r.group).or_default();
        if r.attempt_count > 0 {
            state.queue.push_front(r.flow, item);
        } else {
            state.queue.push(r.flow, item);
        }
    }

    /// Ends requests whose wait is no longer useful.
    pub(super) fn expire(&mut self, now: Time) {
        let mut due = Vec::new();
        for state in self.groups.values() {
            due.extend(state.queue.first_expired(now));
        }
        while let Some(key) = due.pop() {
            let Some(r) = self.requests.get(key) else {
                continue;
            };
            let group = r.group;
            let outcome = r.failure_outcome(Reason::Overloaded, RETRY_SOON);
            self.refuse_queued(now, key, outcome);
            due.extend(self.groups.get(&group).and_then(|s| s.queue.first_expired(now)));
        }
    }

    /// Takes a request out of the queue and ends it.
    pub(super) fn refuse_queued(&mut self, now: Time, key: Key<Request>, outcome: Outcome) {
        let Some(r) = self.requests.get(key) else {
            return;
        };
        if let Some(state) = self.groups.get_mut(&r.group) {
            state.queue.remove(r.flow, key);
        }
        self.finish(now, key, outcome);
    }

    /// Ends a request that is neither queued nor at an upstream.
    pub(super) fn finish(&mut self, now: Time, key: Key<Request>, outcome: Outcome) {
        let Some(r) = self.requests.remove(key) else {
            return;
        };
        let class = self.index.class(r.flow.class);
        let first_token = r.first.map(|f| f.since(r.arrived));
        let finish = now.since(r.arrived);
        let attained =
            finish <= class.finish && first_token.is_some_and(|f| f <= class.first_token);
        self.stats.record_end(
            r.flow.class,
            r.flow.org,
            Timing { first_token, finish, attained },
            &outcome,
        );
        match &outcome {
            Outcome::Whole { tokens, .. } => {
                self.estimator.add(r.flow.class, r.flow.org, *tokens);
                self.limits.settle(r.flow.org, r.estimate, *tokens);
            }
            Outcome::Refused(_) => {
                self.stats.record_waste(Waste::Incomplete, r.delivered);
                self.limits.settle(r.flow.org, r.estimate, r.delivered);
            }
        }
        self.finish_recipient(r.recipient, outcome);
    }

    pub(super) fn finish_recipient(&mut self, recipient: Recipient, outcome: Outcome) {
        match recipient {
            Recipient::Caller(id) => self.finish_caller(id, outcome),
            Recipient::Key(key) => self.finish_key(&key, outcome),
        }
    }

    pub(super) fn finish_caller(&mut self, id: RequestId, outcome: Outcome) {
        self.by_caller.remove(&id);
        self.out.push(Action::Finish(id, outcome));
    }

    /// Stops the work for a caller that has gone.
    ///
    /// A keyed request goes on: its caller is expected to come back for the answer. So does a
    /// call that may not be repeated and was sent: stopping it half-way helps nobody.
    pub(super) fn on_caller_gone(&mut self, now: Time, id: RequestId) {
        self.forwards.remove(&id);
        let Some(key) = self.by_caller.remove(&id) else {
            return;
        };
        let Some(r) = self.requests.get(key) else {
            return;
        };
        let group = r.group;
        if r.attempt.is_none() {
            if let Some(state) = self.groups.get_mut(&group) {
                state.queue.remove(r.flow, key);
            }
        } else if r.is_idempotent() {
            self.cancel_attempt(now, key);
        } else {
            return;
        }
        if let Some(r) = self.requests.remove(key) {
            self.stats.record_waste(Waste::CallerGone, r.delivered);
            self.limits.settle(r.flow.org, r.estimate, r.delivered);
        }
        self.dispatch_queued(now, group);
    }
}

impl Request {
    /// The truthful end of a request that is given up.
    pub(super) fn failure_outcome(&self, reason: Reason, retry_after: Span) -> Outcome {
        let verdict = if !self.may_have_run {
            Verdict::NotRun
        } else if self.delivered > 0 {
            Verdict::Incomplete
        } else {
            Verdict::OutcomeUnknown
        };
        refusal(verdict, reason, retry_after)
    }
}
