//! Handles frames, ends and failures of attempts.
//!
//! A failed request is retried at another upstream if it cannot have run or is idempotent, within
//! the retry budget; otherwise it ends with a refusal that states whether it may have run. A stream
//! resumes after the tokens that were already delivered, so that no token is delivered twice.

use bytes::Bytes;

use super::Node;
use super::request::Request;
use crate::action::Action;
use crate::action::Line;
use crate::action::Outcome;
use crate::action::Reason;
use crate::arena::Key;
use crate::config::Kind;
use crate::event::AttemptId;
use crate::event::Failure;
use crate::stats::Waste;
use crate::time::Span;
use crate::time::Time;

/// Upper bound on attempts of one request, not counting preempted ones.
const MAX_ATTEMPTS: u32 = 4;
/// Time after which callers should retry a failed request.
const RETRY_AFTER: Span = Span::secs(1);
/// Lowest HTTP status of a server error.
const MIN_SERVER_ERROR: u16 = 500;

/// Part of an answer as received.
pub(super) struct Frame {
    /// Attempt that the upstream names.
    pub(super) echo: AttemptId,
    /// Number of tokens of the answer before the frame.
    pub(super) offset: u32,
    pub(super) tokens: u32,
    pub(super) text: Bytes,
}

impl Node {
    /// Handles a part of an answer.
    pub(super) fn on_frame(&mut self, now: Time, attempt: AttemptId, frame: Frame) {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            // The attempt has ended, so its frame must not reach the caller.
            self.stats.record_waste(Waste::Late, frame.tokens);
            return;
        };
        if frame.echo != attempt {
            // The upstream mixed up two streams: no later frame of this one can be trusted.
            self.on_failed(now, attempt, Failure::Misattributed);
            return;
        }
        let Some(r) = self.requests.get_mut(key) else {
            return;
        };
        let Some(a) = r.attempt.as_mut() else {
            return;
        };
        let (upstream, gap) = (a.upstream, a.answered.then(|| now.since(a.last_frame)));
        a.last_frame = now;
        let first = !std::mem::replace(&mut a.answered, true);
        if frame.offset < r.delivered {
            // A duplicate, or an engine that resumed the stream at too low an offset.
            self.stats.record_waste(Waste::Late, frame.tokens);
            return;
        }
        if frame.offset > r.delivered {
            self.on_failed(now, attempt, Failure::Broken);
            return;
        }
        r.delivered = r.delivered.saturating_add(frame.tokens);
        r.first_token_at.get_or_insert(now);
        r.parts.push(frame.text.clone());
        if let Some(request) = r.streaming_caller() {
            let (tokens, text) = (frame.tokens, frame.text);
            self.out.push(Action::Deliver { request, tokens, text });
        }
        if first {
            self.mark_preemptible(key, attempt);
        }
        if let (Some(gap), Some(up)) = (gap, self.upstreams.get_mut(upstream)) {
            up.record_token_gap(gap, frame.tokens);
        }
    }

    /// Handles the regular end of an answer.
    pub(super) fn on_ended(&mut self, now: Time, attempt: AttemptId, echo: AttemptId, status: u16) {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            return;
        };
        if echo != attempt {
            self.on_failed(now, attempt, Failure::Misattributed);
            return;
        }
        let Some(r) = self.requests.get_mut(key) else {
            return;
        };
        let kind = self.index.group(r.group).kind;
        if kind == Kind::Engine && status >= MIN_SERVER_ERROR {
            r.parts.clear();
            self.on_failed(now, attempt, Failure::Broken);
            return;
        }
        r.first_token_at.get_or_insert(now);
        let text = if r.streaming_caller().is_some() { Bytes::new() } else { r.text() };
        let outcome = Outcome::Whole { status, text, tokens: r.delivered };
        let group = r.group;
        if let Some(a) = self.release(now, key)
            && let Some(up) = self.upstreams.get_mut(a.upstream)
        {
            up.outlier.record_success();
            if let Some(state) = self.groups.get_mut(&group) {
                state.record_attempt_time(now.since(a.sent));
                state.pool.update_rank(now, &mut self.upstreams, a.upstream);
            }
        }
        self.finish(now, key, outcome);
        self.dispatch_queued(now, group);
    }

    /// Handles the failure of an attempt.
    pub(super) fn on_failed(&mut self, now: Time, attempt: AttemptId, failure: Failure) {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(r) = self.requests.get(key) else {
            return;
        };
        let group = r.group;
        let refusal_is_safe = self.index.group(group).safe_refusals;
        // Whether it is certain that the upstream did not act on the request.
        let not_run = match failure {
            // By answering that it is leaving, an upstream guarantees that it ran nothing.
            Failure::Connect | Failure::Leaving => true,
            Failure::Refused => refusal_is_safe,
            Failure::Broken | Failure::Misattributed => false,
        };
        if failure == Failure::Misattributed {
            self.stats.misattributed += 1;
        }
        let Some(a) = self.release(now, key) else {
            return;
        };
        if matches!(failure, Failure::Broken | Failure::Misattributed) {
            self.out.push(Action::Cancel(a.id));
        }
        self.record_failure(now, a.upstream, failure);
        if let Some(r) = self.requests.get_mut(key) {
            r.failed_upstreams.push(a.upstream);
            r.may_have_run |= !not_run;
        }
        self.retry_or_end(now, key, not_run);
        self.dispatch_queued(now, group);
    }

    /// Queues a failed request again if a retry is allowed, or ends it.
    fn retry_or_end(&mut self, now: Time, key: Key<Request>, not_run: bool) {
        let Some(r) = self.requests.get(key) else {
            return;
        };
        let class = self.index.class(r.flow.class);
        // Preempted attempts are not failures.
        let failures = r.attempt_count.saturating_sub(r.preemptions);
        let allowed = (not_run || r.is_idempotent()) && failures < MAX_ATTEMPTS;
        let deadline = (r.arrived + class.patience).max(now + class.first_token);
        // Resuming a stream keeps the tokens that were delivered; only retries from the start add
        // load and are charged to the budget.
        let from_start = r.delivered == 0;
        let state = self.groups.get_mut(&r.group);
        let within_budget =
            !from_start || (allowed && state.is_some_and(|s| s.budget.try_withdraw()));
        if allowed && within_budget && !self.stopping.is_done() {
            self.stats.retries += 1;
            self.enqueue(key, deadline);
            return;
        }
        let outcome = r.failure_outcome(Reason::UpstreamFailed, RETRY_AFTER);
        self.finish(now, key, outcome);
    }

    /// Records a failure of an upstream, and ejects the upstream after too many.
    fn record_failure(&mut self, now: Time, key: Key<crate::upstream::Upstream>, failure: Failure) {
        let Some(up) = self.upstreams.get_mut(key) else {
            return;
        };
        let name = up.name.clone();
        let group = up.group;
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        match failure {
            Failure::Leaving => up.hint_leaving(now),
            Failure::Refused => {}
            Failure::Connect | Failure::Broken | Failure::Misattributed => {
                let may_eject = state.pool.may_eject(&self.upstreams);
                if let Some(up) = self.upstreams.get_mut(key) {
                    up.outlier.record_failure(now, may_eject);
                }
            }
        }
        state.pool.update_rank(now, &mut self.upstreams, key);
        let line = Line::new("attempt_failed").with("upstream", name);
        self.out.push(Action::Log(line.with("failure", format!("{failure:?}").to_lowercase())));
        if failure == Failure::Leaving {
            self.announce_leaving(now, key);
        }
    }

    /// Fails attempts that received no frame within their timeout.
    ///
    /// A connection can stay open without carrying any more data while new ones work, and an engine
    /// can hang with its socket open. Neither ends the stream, so only a timeout detects it.
    pub(super) fn fail_stalled(&mut self, now: Time) {
        if !self.control.stalls_due(now) {
            return;
        }
        let stalled = self.attempts.iter().filter_map(|(id, key)| {
            let r = self.requests.get(*key)?;
            let a = r.attempt.as_ref()?;
            (now.since(a.last_frame) >= self.silence_timeout(r, a)).then_some(*id)
        });
        let stalled: Vec<AttemptId> = stalled.collect();
        for id in stalled {
            self.stats.stalls += 1;
            self.on_failed(now, id, Failure::Broken);
        }
    }
}
