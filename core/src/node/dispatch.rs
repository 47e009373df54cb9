//! Dispatches queued requests to upstreams.
//!
//! A request goes to a replica where this router has a free slot. Requests of protected classes may
//! go beyond the router's slots, and may preempt streams of lower tiers while the group is
//! saturated. The headroom by which a router overcommits its slots adapts to the number of requests
//! that wait inside the engines.

use super::GroupState;
use super::Node;
use super::request::Attempt;
use super::request::PROMPT_TOKENS_PER_OUTPUT_TOKEN;
use super::request::Request;
use crate::action::Action;
use crate::action::Dispatch;
use crate::arena::Key;
use crate::config::GroupKey;
use crate::config::Kind;
use crate::event::AttemptId;
use crate::event::RequestId;
use crate::share::TierDemand;
use crate::time::Span;
use crate::time::Time;
use crate::upstream::Criteria;
use crate::upstream::STRAGGLER_SLOWNESS;
use crate::upstream::Upstream;

/// Factor by which slots are overcommitted before any load report.
pub const INITIAL_HEADROOM: f64 = 1.35;
/// Lower and upper bounds on the headroom, the factor by which slots are overcommitted.
const MIN_HEADROOM: f64 = 1.35;
const MAX_HEADROOM: f64 = 1.5;
/// Number of requests waiting inside the engines, as a share of the slots, above which the headroom
/// decreases.
const TARGET_WAITING_SHARE: f64 = 0.1;
/// Factors by which headroom changes at each adjustment.
const HEADROOM_INCREASE: f64 = 1.04;
const HEADROOM_DECREASE: f64 = 0.97;
/// Sum of elapsed and expected wait, as a share of the first-token target, from which a request may
/// preempt a stream.
const PREEMPTION_WAIT_SHARE: f64 = 0.1;
/// Timeouts for the first token, for protected and for other classes.
const FIRST_TOKEN_TIMEOUT_PROTECTED: Span = Span::millis(1_500);
const FIRST_TOKEN_TIMEOUT: Span = Span::secs(8);
/// Timeouts between two tokens, for protected and for other classes.
const NEXT_TOKEN_TIMEOUT_PROTECTED: Span = Span::millis(400);
const NEXT_TOKEN_TIMEOUT: Span = Span::secs(2);
/// Timeout for the answer to a request that must not be repeated.
const NON_IDEMPOTENT_TIMEOUT: Span = Span::secs(30);
/// Upper bound on preemptions of one request.
const MAX_PREEMPTIONS: u32 = 4;
/// Weight of a new sample in the mean time of an attempt.
const ATTEMPT_TIME_SMOOTHING: f64 = 0.02;

impl GroupState {
    /// Requests at upstreams and in the queue, by tier.
    pub(super) fn demand_by_tier(&self) -> TierDemand {
        let mut demand = self.queue.len_by_tier();
        for (sum, running) in demand.iter_mut().zip(self.running) {
            *sum += running;
        }
        demand
    }

    /// Whether requests are queued or all of this router's slots are in use.
    fn is_saturated(&self) -> bool {
        !self.queue.is_empty() || self.pool.outstanding >= self.pool.max_outstanding()
    }

    /// Adds the duration of a complete attempt to the mean.
    pub(super) fn record_attempt_time(&mut self, time: Span) {
        self.mean_attempt_s += (time.as_secs_f64() - self.mean_attempt_s) * ATTEMPT_TIME_SMOOTHING;
    }
}

impl Node {
    /// Highest tier number, that is lowest priority, of the protected classes.
    pub(super) fn lowest_protected_tier(&self) -> Option<u8> {
        let classes = self.index.class_keys().map(|k| self.index.class(k));
        classes.filter(|c| c.protected).map(|c| c.tier).max()
    }

    /// Dispatches queued requests of a group until no replica can take the next one.
    pub(super) fn dispatch_queued(&mut self, now: Time, group: GroupKey) {
        // Once this router's slots are full, only tiers of protected classes may go beyond them.
        let blocked = self.groups.get(&group).is_some_and(|s| s.blocked);
        let mut tier = match (blocked, self.lowest_protected_tier) {
            (false, _) => u8::MAX,
            (true, Some(urgent)) => urgent,
            (true, None) => return,
        };
        loop {
            let Some(state) = self.groups.get_mut(&group) else {
                return;
            };
            let Some(next) = state.queue.peek(tier) else {
                return;
            };
            let key = next.item.request;
            let victim = self.choose_victim(now, group, key);
            let upstream = match victim {
                Some((_, upstream)) => Some(upstream),
                None => self.choose(now, group, key, next.trickle_due),
            };
            if let Some(upstream) = upstream {
                if let Some(state) = self.groups.get_mut(&group) {
                    state.queue.take(now, next);
                }
                if let Some((victim, _)) = victim {
                    self.preempt(now, victim);
                }
                self.dispatch(now, key, upstream, next.trickle_due);
                continue;
            }
            if let Some(state) = self.groups.get_mut(&group) {
                state.blocked = true;
            }
            match self.lowest_protected_tier {
                Some(urgent) if tier == u8::MAX => tier = urgent,
                _ => return,
            }
        }
    }

    /// Chooses the replica for a queued request, or `None` if none has capacity.
    fn choose(
        &mut self,
        now: Time,
        group: GroupKey,
        key: Key<Request>,
        trickle_due: bool,
    ) -> Option<Key<Upstream>> {
        let r = self.requests.get(key)?;
        let pool = &mut self.groups.get_mut(&group)?.pool;
        let prompt = f64::from(r.submission.prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN);
        let criteria = Criteria {
            holders: self.prefixes.holders(&r.submission.prefix),
            excluded: &r.failed_upstreams,
            domain: &self.settings.failure_domain,
            cached_share: prompt / (prompt + f64::from(r.estimate)),
        };
        let mut choose = |criteria: &Criteria<'_>| {
            let own = pool.choose(now, &self.upstreams, criteria);
            let urgent = r.flow.rule.protected || trickle_due;
            own.or_else(|| urgent.then(|| pool.choose_urgent(now, &self.upstreams, criteria))?)
        };
        // If every other replica is gone or full, one that failed this request is tried again.
        choose(&criteria).or_else(|| {
            if r.failed_upstreams.is_empty() {
                None
            } else {
                choose(&Criteria { excluded: &[], ..criteria })
            }
        })
    }

    /// Starts an attempt of a request at `upstream`.
    fn dispatch(
        &mut self,
        now: Time,
        key: Key<Request>,
        upstream: Key<Upstream>,
        trickle_due: bool,
    ) {
        let (Some(r), Some(up)) = (self.requests.get_mut(key), self.upstreams.get(upstream)) else {
            return;
        };
        self.next_attempt += 1;
        let id = AttemptId(self.next_attempt);
        r.attempt = Some(Attempt { id, upstream, sent: now, last_frame: now, answered: false });
        r.attempt_count += 1;
        r.promoted = trickle_due;
        let request = match r.recipient {
            super::request::Recipient::Caller(id) => id,
            super::request::Recipient::Key(_) => RequestId(0),
        };
        let dispatch = Dispatch {
            attempt: id,
            request,
            upstream: up.name.clone(),
            address: up.address.clone(),
            target: r.submission.target.clone(),
            body: r.submission.body.clone(),
            // Engines apply priorities strictly: with the priority of its tier, a request that is
            // dispatched on trickle credit would wait inside the engine behind all higher tiers.
            priority: if r.promoted { 0 } else { r.flow.rule.tier },
            offset: r.delivered,
            partial: if r.delivered > 0 { r.text() } else { bytes::Bytes::new() },
        };
        for prefix in &r.submission.prefix {
            self.prefixes.add(upstream, *prefix);
        }
        let (group, retry) = (r.group, r.attempt_count > 1);
        let tier = usize::from(r.flow.rule.tier);
        self.stats.dispatches += 1;
        if let Some(state) = self.groups.get_mut(&group) {
            state.pool.start_attempt(now, &mut self.upstreams, upstream);
            state.running[tier] += 1;
            if !retry {
                state.budget.deposit();
            }
        }
        self.attempts.insert(id, key);
        self.out.push(Action::Dispatch(Box::new(dispatch)));
    }

    /// The stream of a lower tier to preempt for `key`, and its upstream.
    ///
    /// In a saturated group the request would wait inside an engine until a slot is free: on
    /// average the mean time of an attempt divided by the slots of a replica. If this endangers its
    /// first-token target, a stream of this router is preempted. The stream resumes later from its
    /// offset, so delivered tokens are not wasted and only its prompt is computed again.
    fn choose_victim(
        &self,
        now: Time,
        group: GroupKey,
        key: Key<Request>,
    ) -> Option<(Key<Request>, Key<Upstream>)> {
        let r = self.requests.get(key)?;
        let state = self.groups.get(&group)?;
        let engine = self.index.group(group).kind == Kind::Engine;
        if !engine || !state.is_saturated() {
            return None;
        }
        let slots = f64::from(self.index.group(group).slots.max(1));
        let waited = now.since(r.arrived).as_secs_f64();
        let target = self.index.class(r.flow.class).first_token.as_secs_f64();
        if waited + state.mean_attempt_s / slots < target * PREEMPTION_WAIT_SHARE {
            return None;
        }
        let suitable = state.preemptible.iter().rev().filter_map(|(tier, id)| {
            let key = *self.attempts.get(id)?;
            let upstream = self.requests.get(key)?.attempt.as_ref()?.upstream;
            let up = self.upstreams.get(upstream)?;
            let healthy = up.is_usable(now) && up.slowness() < STRAGGLER_SLOWNESS;
            let suitable =
                *tier > r.flow.rule.tier && healthy && !r.failed_upstreams.contains(&upstream);
            suitable.then_some((key, upstream))
        });
        suitable.take(1).next()
    }

    /// Marks an attempt as preemptible once its first token has arrived, if its request allows
    /// preemption. An attempt without a token may still wait inside the engine, where stopping it
    /// would free no slot.
    pub(super) fn mark_preemptible(&mut self, key: Key<Request>, id: AttemptId) {
        let Some(r) = self.requests.get(key) else {
            return;
        };
        let allowed = r.is_idempotent() && !r.flow.rule.protected && !r.promoted;
        if allowed
            && r.preemptions < MAX_PREEMPTIONS
            && let Some(state) = self.groups.get_mut(&r.group)
        {
            state.preemptible.insert((r.flow.rule.tier, id));
        }
    }

    /// Stops an attempt in favour of a higher tier and queues its request again.
    fn preempt(&mut self, now: Time, key: Key<Request>) {
        self.cancel_attempt(now, key);
        self.stats.preemptions += 1;
        let Some(r) = self.requests.get_mut(key) else {
            return;
        };
        r.preemptions += 1;
        r.may_have_run = true;
        // The caller is already reading the answer, so the request may wait until the class's
        // target for the end of an answer, not only for its patience.
        let class = self.index.class(r.flow.class);
        let deadline = (r.arrived + class.finish).max(now + class.patience);
        self.enqueue(key, deadline);
    }

    /// Cancels the attempt of a request and frees its slot.
    pub(super) fn cancel_attempt(&mut self, now: Time, key: Key<Request>) {
        let Some(attempt) = self.release(now, key) else {
            return;
        };
        self.out.push(Action::Cancel(attempt.id));
    }

    /// Frees the slot of a request's attempt that has ended, and returns the attempt.
    pub(super) fn release(&mut self, now: Time, key: Key<Request>) -> Option<Attempt> {
        let r = self.requests.get_mut(key)?;
        let attempt = r.attempt.take()?;
        self.attempts.remove(&attempt.id);
        if let Some(state) = self.groups.get_mut(&r.group) {
            state.pool.end_attempt(now, &mut self.upstreams, attempt.upstream);
            state.running[usize::from(r.flow.rule.tier)] -= 1;
            state.preemptible.remove(&(r.flow.rule.tier, attempt.id));
            state.blocked = false;
        }
        Some(attempt)
    }

    /// Adjusts each group's headroom to keep a short queue inside its engines.
    ///
    /// Without a queue, slots stay empty between the end of one request and the start of the next.
    /// In a long queue, requests wait where this router can no longer reorder or refuse them.
    pub(super) fn adapt_headroom(&mut self, now: Time) {
        for state in self.groups.values_mut() {
            let members = state.pool.members.iter().filter_map(|k| self.upstreams.get(*k));
            let known = members.filter_map(|u| Some((u.waiting(now)?, u.slots)));
            let (waiting, slots) = known.fold((0, 0), |(w, s), (a, b)| (w + a, s + b));
            if slots == 0 {
                continue;
            }
            let share = f64::from(waiting) / f64::from(slots);
            if share > TARGET_WAITING_SHARE {
                state.headroom = (state.headroom * HEADROOM_DECREASE).max(MIN_HEADROOM);
            } else if !state.queue.is_empty() {
                state.headroom = (state.headroom * HEADROOM_INCREASE).min(MAX_HEADROOM);
            }
        }
    }

    /// Time without a frame after which an attempt is given up.
    pub(super) fn silence_timeout(&self, r: &Request, attempt: &Attempt) -> Span {
        if !r.is_idempotent() {
            // The request must not be sent elsewhere: giving it up ends it with an unknown outcome.
            return NON_IDEMPOTENT_TIMEOUT;
        }
        match (attempt.answered, r.flow.rule.protected) {
            (false, true) => FIRST_TOKEN_TIMEOUT_PROTECTED,
            (false, false) => FIRST_TOKEN_TIMEOUT,
            (true, true) => NEXT_TOKEN_TIMEOUT_PROTECTED,
            (true, false) => NEXT_TOKEN_TIMEOUT,
        }
    }
}
