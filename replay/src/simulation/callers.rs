//! Callers of a simulation: submission of requests, receipt of answers, patience.

use bytes::Bytes;
use laburnumwheel_core::action::Outcome;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::event::Submission;
use laburnumwheel_core::event::Target;
use laburnumwheel_core::time::Span;
use rand::Rng;

use super::CachedAnswer;
use super::Item;
use super::Simulation;
use crate::caller::Call;
use crate::caller::End;

/// Time from the end of a caller's patience until the caller leaves, so that an answer on its way
/// when the patience ends still counts.
const PATIENCE_EXTENSION: Span = Span::millis(500);

impl Simulation<'_> {
    /// Chooses the router for a record's request and returns its idempotency key prefix.
    ///
    /// The caller uses the first running router of its cached entry answer. When the answer has
    /// expired or names no running router, it queries a random running router for a new one.
    pub(super) fn router_for(&mut self, record: usize) -> Option<(usize, String)> {
        let organisation = self.trace[record].organisation;
        let caller = record % self.site.callers[organisation];
        let cached = self.entry_answers.get(&(organisation, caller));
        let cached = cached.filter(|c| c.expires_at > self.network.now);
        let cached = cached
            .and_then(|c| c.addresses.iter().find(|(r, _)| self.network.is_running(*r)).cloned());
        if cached.is_some() {
            return cached;
        }
        let running: Vec<usize> =
            (0..self.network.len()).filter(|r| self.network.is_running(*r)).collect();
        let queried = *running.get(self.rng.random_range(0..running.len().max(1)))?;
        let domain = self.site.domain(caller).to_owned();
        let now = self.network.now;
        let Some(node) = self.network.node_mut(queried) else {
            return Some((queried, String::new()));
        };
        let answer = node.entry(now, Some(&domain), None)?;
        let number = |a: &str| a.rsplit(':').next()?.parse::<usize>().ok()?.checked_sub(9000);
        let addresses = answer.addresses.iter();
        let addresses = addresses.filter_map(|a| Some((number(&a.address)?, a.key_prefix.clone())));
        let addresses: Vec<_> = addresses.collect();
        let expires_at = now + Span::millis(answer.ttl_ms);
        let first = addresses.iter().find(|(r, _)| self.network.is_running(*r)).cloned();
        self.entry_answers.insert((organisation, caller), CachedAnswer { addresses, expires_at });
        first
    }

    /// Submits a record's request; a repeated submission keeps its idempotency key.
    pub(super) fn submit(&mut self, record: usize) {
        let Some((router, prefix)) = self.router_for(record) else {
            self.network.schedule(Span::millis(100), Item::Submit(record));
            return;
        };
        let r = self.trace[record];
        let class = &self.site.class[r.class];
        let previous = self.calls[record].take();
        let first_key = (class.once && !prefix.is_empty()).then(|| format!("{prefix}{record}"));
        let key = previous.as_ref().and_then(|c| c.key.clone()).or(first_key);
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let sent = previous.as_ref().map_or(self.network.now, |c| c.sent);
        let submissions = previous.map_or(1, |c| c.submissions + 1);
        let call = Call {
            router,
            request,
            sent,
            first: None,
            tokens: 0,
            end: None,
            submissions,
            key: key.clone(),
        };
        self.calls[record] = Some(call);
        self.records_by_request.insert((router, request), record);
        let group = self.site.group.iter().find(|g| g.name == class.group);
        let target = match group.and_then(|g| g.model.clone()) {
            Some(model) => Target::Model(model),
            None => Target::Service {
                name: class.group.clone(),
                method: "POST".to_owned(),
                path: "/".to_owned(),
            },
        };
        let submission = Submission {
            key: self.site.bearer_key(r.organisation),
            class: Some(class.name.clone()),
            target,
            body: Bytes::copy_from_slice(&(record as u64).to_le_bytes()),
            prompt_tokens: r.prompt,
            max_tokens: 0,
            prefix: vec![r.prefix],
            stream: !class.once,
            idempotent: !class.once,
            idempotency_key: key,
        };
        let event = Event::Request(request, Box::new(submission));
        let delay = Span(self.site.to_callers_us);
        self.network.schedule_event(delay, router, event);
        if submissions == 1 {
            let patience = Span::millis(class.patience_ms) + PATIENCE_EXTENSION;
            self.network.schedule(patience, Item::TimeOut(record));
        }
    }

    /// Returns the record and the call of a request, unless the call ended or was submitted again.
    pub(super) fn open_call(
        &mut self,
        router: usize,
        request: RequestId,
    ) -> Option<(usize, &mut Call)> {
        let record = *self.records_by_request.get(&(router, request))?;
        let call = self.calls[record].as_mut()?;
        let current = call.router == router && call.request == request && call.end.is_none();
        current.then_some((record, call))
    }

    /// Receives part of an answer and checks that its tokens are the call's next ones.
    ///
    /// Engines write the record and the index of each token into its text.
    pub(super) fn receive_tokens(&mut self, router: usize, request: RequestId, text: &Bytes) {
        let now = self.network.now;
        let Some((record, call)) = self.open_call(router, request) else {
            return;
        };
        let (mut misattributed, mut doubled) = (0, 0);
        for token in text.chunks(8) {
            let word = |at: usize| {
                token.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_le_bytes)
            };
            misattributed += u64::from(word(0) != Some(record as u32));
            doubled += u64::from(word(4) != Some(call.tokens));
            call.tokens += 1;
        }
        call.first.get_or_insert(now);
        self.broken.misattributed += misattributed;
        self.broken.doubled += doubled;
    }

    /// Receives the outcome of a request.
    pub(super) fn receive_end(&mut self, router: usize, request: RequestId, outcome: &Outcome) {
        let now = self.network.now;
        let Some((record, call)) = self.open_call(router, request) else {
            return;
        };
        let end = match outcome {
            Outcome::Whole { .. } => {
                call.first.get_or_insert(now);
                End::Whole
            }
            Outcome::Refused(refusal) => End::from(refusal.verdict),
        };
        call.end = Some((end, now));
        if end == End::NotRun
            && self.executions.contains_key(&record)
            && self.site.class[self.trace[record].class].once
        {
            self.broken.not_run_ran += 1;
        }
    }

    /// Ends a call whose patience is over, unless part of the answer arrived.
    pub(super) fn time_out(&mut self, record: usize) {
        let now = self.network.now;
        let Some(call) = self.calls[record].as_mut() else {
            return;
        };
        if call.first.is_some() || call.end.is_some() {
            return;
        }
        call.end = Some((End::GaveUp, now));
        let (router, request) = (call.router, call.request);
        self.network.schedule_event(
            Span(self.site.to_callers_us),
            router,
            Event::CallerGone(request),
        );
    }

    /// Breaks the connections of the callers of a router.
    ///
    /// A caller that received no part of its answer submits the request once more, possibly to
    /// another router. That is safe, as each request is idempotent or has an idempotency key.
    pub(super) fn break_connections(&mut self, router: usize) {
        let now = self.network.now;
        for record in 0..self.calls.len() {
            let Some(call) = self.calls[record].as_mut() else {
                continue;
            };
            if call.router != router || call.end.is_some() {
                continue;
            }
            if call.first.is_none() && call.submissions == 1 {
                self.network.schedule(Span(self.site.to_callers_us), Item::Submit(record));
            } else {
                call.end = Some((End::Broken, now));
            }
        }
    }
}
