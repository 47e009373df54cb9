//! What comes back from upstreams.

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

const MAX_TRIES: u32 = 4;
const RETRY_AFTER: Span = Span::secs(1);
const SERVER_ERROR: u16 = 500;

/// Part of an answer as it came.
pub(super) struct Frame {
    pub(super) echo: AttemptId,
    pub(super) offset: u32,
    pub(super) tokens: u32,
    pub(super) text: Bytes,
}

impl Node {
    pub(super) fn on_frame(&mut self, now: Time, attempt: AttemptId, frame: Frame) {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            // A frame of an attempt that is over: it must not reach a later attempt's caller.
            self.stats.record_waste(Waste::Late, frame.tokens);
            return;
        };
        if frame.echo != attempt {
            // The upstream crossed two streams; nothing of this one can be trusted from here on.
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
            // A duplicate frame, or a resumed engine that began again too early.
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
        if kind == Kind::Engine && status >= SERVER_ERROR {
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

    pub(super) fn on_failed(&mut self, now: Time, attempt: AttemptId, failure: Failure) {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(r) = self.requests.get(key) else {
            return;
        };
        let group = r.group;
        let safe_refusal = self.index.group(group).safe_refusals;
        // Only then did nothing reach an upstream that may act on it.
        let not_run = match failure {
            // Saying that it is leaving, an upstream promises that it did not begin.
            Failure::Connect | Failure::Leaving => true,
            Failure::Refused => safe_refusal,
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

    /// Sends a request to the queue again if that is allowed, or ends it truthfully.
    fn retry_or_end(&mut self, now: Time, key: Key<Request>, not_run: bool) {
        let Some(r) = self.requests.get(key) else {
            return;
        };
        let class = self.index.class(r.flow.class);
        // Having been stopped for a higher tier is no failure.
        let failures = r.attempt_count.saturating_sub(r.preemptions);
        let allowed = (not_run || r.is_idempotent()) && failures < MAX_TRIES;
        let deadline = (r.arrived + class.patience).max(now + class.first_token);
        // Going on with a stream saves what it has; only work done again counts as added load.
        let again = r.delivered == 0;
        let state = self.groups.get_mut(&r.group);
        let budget = !again || (allowed && state.is_some_and(|s| s.budget.try_withdraw()));
        if allowed && budget && !self.stopping.is_done() {
            self.stats.retries += 1;
            self.enqueue(key, deadline);
            return;
        }
        let outcome = r.failure_outcome(Reason::UpstreamFailed, RETRY_AFTER);
        self.finish(now, key, outcome);
    }

    /// Counts a failure against an upstream.
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

    /// Gives up attempts that have been silent for too long.
    ///
    /// An open connection can go silent for good while new ones work, and an engine can hang with
    /// its socket open. Neither ends the stream, so only time shows it.
    pub(super) fn fail_stalled(&mut self, now: Time) {
        if !self.control.stalls_due(now) {
            return;
        }
        let running = self.attempts.iter().filter_map(|(id, key)| {
            let r = self.requests.get(*key)?;
            let a = r.attempt.as_ref()?;
            (now.since(a.last_frame) >= self.silence_timeout(r, a)).then_some(*id)
        });
        let silent: Vec<AttemptId> = running.collect();
        for id in silent {
            self.stats.stalls += 1;
            self.on_failed(now, id, Failure::Broken);
        }
    }
}
