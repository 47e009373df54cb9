//! From the queue to an upstream: budgets, preemption and the choice of replica.

use super::GroupState;
use super::Node;
use super::request::Attempt;
use super::request::PROMPT_PART;
use super::request::Request;
use crate::action::Action;
use crate::action::Dispatch;
use crate::arena::Key;
use crate::config::GroupKey;
use crate::config::Kind;
use crate::event::AttemptId;
use crate::event::RequestId;
use crate::share::Wanted;
use crate::time::Span;
use crate::time::Time;
use crate::upstream::Criteria;
use crate::upstream::STRAGGLER_SLOWNESS;
use crate::upstream::Upstream;

/// Headroom before any report.
pub const FIRST_HEADROOM: f64 = 1.35;
const LEAST_HEADROOM: f64 = 1.35;
const MOST_HEADROOM: f64 = 1.5;
/// Requests waiting in engines, as a part of their slots, that headroom aims at.
const WAITING_AIM: f64 = 0.1;
const HEADROOM_UP: f64 = 1.04;
const HEADROOM_DOWN: f64 = 0.97;
/// Part of the first-token target that an expected wait may use up before preemption pays.
const PREEMPT_AT: f64 = 0.1;
/// Longest time without a first token, for protected classes and for others.
const SILENT_PROTECTED: Span = Span::millis(1_500);
const SILENT: Span = Span::secs(8);
/// Longest time between two tokens, for protected classes and for others.
const GAP_PROTECTED: Span = Span::millis(400);
const GAP: Span = Span::secs(2);
/// Longest time without an answer to a call that may not be repeated.
const SILENT_ONCE: Span = Span::secs(30);
const MAX_PREEMPTIONS: u32 = 4;
const SERVICE_STEP: f64 = 0.02;

impl GroupState {
    /// Requests at upstreams and in the queue, by tier.
    pub(super) fn wanted(&self) -> Wanted {
        let mut wanted = self.queue.len_by_tier();
        for (sum, running) in wanted.iter_mut().zip(self.running) {
            *sum += running;
        }
        wanted
    }

    /// Whether more is wanted than this router's slots hold.
    fn is_saturated(&self) -> bool {
        !self.queue.is_empty() || self.pool.outstanding >= self.pool.max_outstanding()
    }

    /// Takes the time of an attempt that came to its end in.
    pub(super) fn record_attempt_time(&mut self, time: Span) {
        self.mean_attempt_s += (time.as_secs_f64() - self.mean_attempt_s) * SERVICE_STEP;
    }
}

impl Node {
    /// Highest tier number that a protected class has.
    pub(super) fn lowest_protected_tier(&self) -> Option<u8> {
        let classes = self.index.class_keys().map(|k| self.index.class(k));
        classes.filter(|c| c.protected).map(|c| c.tier).max()
    }

    /// Sends queued requests while there is room for them.
    pub(super) fn dispatch_queued(&mut self, now: Time, group: GroupKey) {
        // Once this router's slots are taken, only tiers of protected classes may still overfill.
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

    fn choose(
        &mut self,
        now: Time,
        group: GroupKey,
        key: Key<Request>,
        trickle_due: bool,
    ) -> Option<Key<Upstream>> {
        let r = self.requests.get(key)?;
        let pool = &mut self.groups.get_mut(&group)?.pool;
        let prompt = f64::from(r.submission.prompt_tokens / PROMPT_PART);
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
        // If every other replica is gone or full, one that failed this request is better than none.
        choose(&criteria).or_else(|| {
            if r.failed_upstreams.is_empty() {
                None
            } else {
                choose(&Criteria { excluded: &[], ..criteria })
            }
        })
    }

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
            // Engines honour priorities strictly: a trickle that waited there behind every higher
            // tier would be none.
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

    /// The stream of a lower tier to stop for `key`, and where it runs.
    ///
    /// In saturation every slot is taken, and a request would wait inside an engine for one to
    /// end: on average the time of an answer over the slots of a replica. Where that puts its
    /// target at stake, a stream of this router gives way. It goes on later from its offset,
    /// so nothing delivered is wasted; only its prompt is computed again.
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
        if waited + state.mean_attempt_s / slots < target * PREEMPT_AT {
            return None;
        }
        let fit = state.preemptible.iter().rev().filter_map(|(tier, id)| {
            let key = *self.attempts.get(id)?;
            let upstream = self.requests.get(key)?.attempt.as_ref()?.upstream;
            let up = self.upstreams.get(upstream)?;
            let there = up.is_usable(now) && up.slowness() < STRAGGLER_SLOWNESS;
            let fit = *tier > r.flow.rule.tier && there && !r.failed_upstreams.contains(&upstream);
            fit.then_some((key, upstream))
        });
        fit.take(1).next()
    }

    /// Notes that an attempt has its first token, and may give way from now on if it is of a kind
    /// that may. One without a token may be waiting itself, and stopping it would free nothing.
    pub(super) fn mark_preemptible(&mut self, key: Key<Request>, id: AttemptId) {
        let Some(r) = self.requests.get(key) else {
            return;
        };
        let may = r.is_idempotent() && !r.flow.rule.protected && !r.promoted;
        if may
            && r.preemptions < MAX_PREEMPTIONS
            && let Some(state) = self.groups.get_mut(&r.group)
        {
            state.preemptible.insert((r.flow.rule.tier, id));
        }
    }

    fn preempt(&mut self, now: Time, key: Key<Request>) {
        self.cancel_attempt(now, key);
        self.stats.preemptions += 1;
        let Some(r) = self.requests.get_mut(key) else {
            return;
        };
        r.preemptions += 1;
        r.may_have_run = true;
        // Its caller already reads the answer: it may take as long as a whole one, not only as
        // long as a start.
        let class = self.index.class(r.flow.class);
        let deadline = (r.arrived + class.finish).max(now + class.patience);
        self.enqueue(key, deadline);
    }

    /// Stops the attempt of a request and frees its place.
    pub(super) fn cancel_attempt(&mut self, now: Time, key: Key<Request>) {
        let Some(attempt) = self.release(now, key) else {
            return;
        };
        self.out.push(Action::Cancel(attempt.id));
    }

    /// Frees the place of a request's attempt that is over.
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

    /// Moves each group's headroom towards a short queue inside its engines.
    ///
    /// With none, slots run empty between an end and the next start; with a long one, requests
    /// wait where this router can no longer reorder or refuse them.
    pub(super) fn adapt_headroom(&mut self, now: Time) {
        for state in self.groups.values_mut() {
            let members = state.pool.members.iter().filter_map(|k| self.upstreams.get(*k));
            let known = members.filter_map(|u| Some((u.waiting(now)?, u.slots)));
            let (waiting, slots) = known.fold((0, 0), |(w, s), (a, b)| (w + a, s + b));
            if slots == 0 {
                continue;
            }
            let part = f64::from(waiting) / f64::from(slots);
            if part > WAITING_AIM {
                state.headroom = (state.headroom * HEADROOM_DOWN).max(LEAST_HEADROOM);
            } else if !state.queue.is_empty() {
                state.headroom = (state.headroom * HEADROOM_UP).min(MOST_HEADROOM);
            }
        }
    }

    /// How long an attempt may be silent.
    pub(super) fn max_silence(&self, r: &Request, attempt: &Attempt) -> Span {
        if !r.is_idempotent() {
            // It can't be tried elsewhere; only a truthful end is left to give.
            return SILENT_ONCE;
        }
        match (attempt.answered, r.flow.rule.protected) {
            (false, true) => SILENT_PROTECTED,
            (false, false) => SILENT,
            (true, true) => GAP_PROTECTED,
            (true, false) => GAP,
        }
    }
}
