//! Admits requests, queues them, and ends them.
//!
//! A request is resolved to its class, organisation and group, checked against the queue and the
//! organisation's limit, and queued until it is dispatched. Each request ends exactly once, with a
//! whole answer or with a refusal that states whether it may have run. Only requests of
//! disconnected callers end without an answer.

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

/// Upper bound on requests queued in one group.
const MAX_QUEUED_REQUESTS: usize = 16_384;
/// Longest estimated wait that never causes a refusal, even if the patience is shorter.
const ACCEPTED_WAIT: Span = Span::secs(1);
/// Time after which callers should retry if nothing better is known.
const DEFAULT_RETRY_AFTER: Span = Span::secs(1);
/// Number of prompt tokens that cost as much as one output token.
pub(super) const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u32 = 8;

/// Recipient of the outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Recipient {
    /// A caller of this router.
    Caller(RequestId),
    /// All callers and peers that wait for the outcome of an idempotency key.
    Key(idempotency::Key),
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number of the attempt.
    pub id: AttemptId,
    /// Upstream that runs it.
    pub upstream: Key<Upstream>,
    /// Time at which it was sent.
    pub sent: Time,
    /// Time of the last frame; before the first one, the time at which the attempt was sent.
    pub last_frame: Time,
    /// Whether a frame has arrived.
    pub answered: bool,
}

/// A request that is queued or at an upstream.
#[derive(Debug)]
pub struct Request {
    /// Recipient of the outcome.
    pub recipient: Recipient,
    /// Class and organisation.
    pub flow: Flow,
    /// Group of its target.
    pub group: GroupKey,
    /// Time of arrival.
    pub arrived: Time,
    /// The caller's request.
    pub submission: Box<Submission>,
    /// Estimated output tokens.
    pub estimate: u32,
    /// Attempt in progress.
    pub attempt: Option<Attempt>,
    /// Number of attempts so far.
    pub attempt_count: u32,
    /// Upstreams whose attempts failed.
    pub failed_upstreams: Vec<Key<Upstream>>,
    /// Number of times that it was preempted.
    pub preemptions: u32,
    /// Whether it was dispatched before higher tiers on the trickle credit of its class.
    pub promoted: bool,
    /// Whether an upstream may have acted on an attempt that has ended.
    pub may_have_run: bool,
    /// Number of delivered tokens.
    pub delivered: u32,
    /// Delivered text, for the whole answer or to resume the stream at another upstream.
    pub parts: Vec<Bytes>,
    /// Time of the first token.
    pub first_token_at: Option<Time>,
}

impl Request {
    /// The caller of this router to which the answer is streamed; `None` for any other request.
    pub fn streaming_caller(&self) -> Option<RequestId> {
        match self.recipient {
            Recipient::Caller(id) if self.submission.stream => Some(id),
            _ => None,
        }
    }

    /// Whether it may be sent again after an upstream may have acted on it.
    pub fn is_idempotent(&self) -> bool {
        self.submission.idempotent
    }

    /// All delivered text.
    pub fn text(&self) -> Bytes {
        if let [only] = self.parts.as_slice() {
            return only.clone();
        }
        Bytes::from(self.parts.concat())
    }

    /// The queue item for the rest of the request.
    fn item(&self, key: Key<Request>, deadline: Time) -> Item {
        let left = self.estimate.saturating_sub(self.delivered);
        let cost = left
            .saturating_add(self.submission.prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN)
            .max(1);
        Item { request: key, cost, deadline }
    }
}

/// Class, organisation and group of a submission.
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
    /// Handles a request of a caller.
    pub(super) fn on_request(&mut self, now: Time, id: RequestId, submission: Box<Submission>) {
        if self.config_version() == 0 || !self.stopping.accepts_requests() {
            self.finish_caller(id, not_run(Reason::NotServing, DEFAULT_RETRY_AFTER));
            return;
        }
        match submission.idempotency_key.clone() {
            None => self.admit_or_refuse(now, Recipient::Caller(id), submission),
            Some(text) => self.receive_with_key(now, id, &text, submission),
        }
    }

    /// Admits a request, or refuses it at once.
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

    /// Looks up the class, organisation and group of a submission.
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

    /// Queues a request if its group can start it in time and the organisation is within its limit.
    fn admit(
        &mut self,
        now: Time,
        recipient: Recipient,
        submission: Box<Submission>,
        resolved: &Resolved,
    ) -> Result<(), (Recipient, Outcome)> {
        let patience = self.index.class(resolved.flow.class).patience;
        let org = self.index.organisation(resolved.flow.org);
        let limit = Limit { requests: org.requests_per_second, tokens: org.tokens_per_second };
        let max_tokens = if submission.max_tokens == 0 { u32::MAX } else { submission.max_tokens };
        let estimate =
            self.estimator.output_tokens(resolved.flow.class, resolved.flow.org).min(max_tokens);

        if let Err(outcome) = self.check_queue(now, resolved, patience) {
            return Err((recipient, outcome));
        }
        let routers = self.routers;
        if let Err(wait) = self.limits.take(now, resolved.flow.org, limit, estimate, routers) {
            return Err((recipient, not_run(Reason::OverLimit, wait)));
        }

        let caller = match recipient {
            Recipient::Caller(id) => Some(id),
            Recipient::Key(_) => None,
        };
        let request = Request {
            recipient,
            flow: resolved.flow,
            group: resolved.group,
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
            first_token_at: None,
        };
        let key = self.requests.insert(request);
        if let Some(id) = caller {
            self.by_caller.insert(id, key);
        }
        self.enqueue(key, now + patience);
        self.dispatch_queued(now, resolved.group);
        Ok(())
    }

    /// Refuses a request that could not start within `patience`, and evicts one of a lower tier if
    /// the queue is full.
    fn check_queue(
        &mut self,
        now: Time,
        resolved: &Resolved,
        patience: Span,
    ) -> Result<(), Outcome> {
        let state = self.groups.entry(resolved.group).or_default();
        if state.pool.members.is_empty() {
            return Err(not_run(Reason::NoUpstream, DEFAULT_RETRY_AFTER));
        }
        if state.queue.is_empty() {
            return Ok(());
        }
        let wait = state.queue.estimated_wait(now, resolved.flow);
        if wait > patience && wait > ACCEPTED_WAIT {
            let excess = Span(wait.0 - patience.0).max(DEFAULT_RETRY_AFTER);
            return Err(not_run(Reason::Overloaded, excess));
        }
        if state.queue.len() < MAX_QUEUED_REQUESTS {
            return Ok(());
        }
        match state.queue.victim(resolved.flow.rule.tier) {
            Some(victim) => {
                self.refuse_queued(
                    now,
                    victim,
                    not_run(Reason::Shed, wait.max(DEFAULT_RETRY_AFTER)),
                );
                Ok(())
            }
            None => Err(not_run(Reason::Overloaded, wait.max(DEFAULT_RETRY_AFTER))),
        }
    }

    /// Queues a request: at the front of its flow if it was already dispatched once, otherwise at
    /// the end.
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

    /// Ends queued requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Time) {
        let mut expired = Vec::new();
        for state in self.groups.values() {
            expired.extend(state.queue.first_expired(now));
        }
        while let Some(key) = expired.pop() {
            let Some(r) = self.requests.get(key) else {
                continue;
            };
            let group = r.group;
            let outcome = r.failure_outcome(Reason::Overloaded, DEFAULT_RETRY_AFTER);
            self.refuse_queued(now, key, outcome);
            expired.extend(self.groups.get(&group).and_then(|s| s.queue.first_expired(now)));
        }
    }

    /// Removes a request from the queue and ends it.
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
        let first_token = r.first_token_at.map(|f| f.since(r.arrived));
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
                self.limits.reconcile(r.flow.org, r.estimate, *tokens);
            }
            Outcome::Refused(_) => {
                self.stats.record_waste(Waste::Incomplete, r.delivered);
                self.limits.reconcile(r.flow.org, r.estimate, r.delivered);
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

    /// Stops a request whose caller has disconnected.
    ///
    /// A request with an idempotency key continues, because its caller is expected to come back for
    /// the answer. So does a non-idempotent request that was sent, because stopping it half-way
    /// would leave its effect unknown.
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
            self.limits.reconcile(r.flow.org, r.estimate, r.delivered);
        }
        self.dispatch_queued(now, group);
    }
}

impl Request {
    /// Outcome of a request that is given up. Its verdict states whether the request ran, as far as
    /// this router knows.
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
