//! Handles requests with an `Idempotency-Key`, at the home of the key and on the way to it.
//!
//! The home is the router that owns the key's entry in the idempotency table. Other routers forward
//! requests to it, and send them again until an outcome arrives; the table recognises duplicates,
//! so that each request runs at most once.

use std::collections::BTreeMap;

use super::Node;
use super::request::Recipient;
use super::request::not_run;
use super::request::refusal;
use crate::action::Action;
use crate::action::Outcome;
use crate::action::Reason;
use crate::action::Verdict;
use crate::event::RequestId;
use crate::event::Submission;
use crate::event::Target;
use crate::idempotency;
use crate::idempotency::Admission;
use crate::idempotency::Key;
use crate::idempotency::Waiter;
use crate::peer::Message;
use crate::time::Span;
use crate::time::Time;

/// Interval at which a forwarded request is sent again; its home recognises it by its key.
const RESEND_INTERVAL: Span = Span::secs(2);
/// Time after which a forwarded request without an outcome ends as `outcome_unknown`.
const OUTCOME_TIMEOUT: Span = Span::secs(45);
/// Time after which callers should retry a refused request with a key.
const RETRY_AFTER: Span = Span::secs(2);
/// Upper bound on forwarded requests in progress.
const MAX_FORWARDS: usize = 10_000;

/// A request of this router's caller whose key has its home at another router.
#[derive(Debug)]
pub(super) struct Forward {
    home: String,
    submission: Box<Submission>,
    started: Time,
    sent: Time,
}

/// Text that identifies a target in the digest of a request.
fn target_name(target: &Target) -> String {
    match target {
        Target::Model(model) => model.clone(),
        Target::Service { name, method, path } => format!("{method} {name}{path}"),
    }
}

impl Node {
    /// Handles a request with an idempotency key: here if this router owns the key, otherwise by
    /// forwarding the request to the key's home.
    pub(super) fn receive_with_key(
        &mut self,
        now: Time,
        id: RequestId,
        text: &str,
        submission: Box<Submission>,
    ) {
        let Some(key) = Key::parse(text) else {
            self.finish_caller(id, not_run(Reason::KeyWithoutHome, Span(0)));
            return;
        };
        if self.table.owns(&key.home) {
            self.begin_key(now, key, submission, Waiter::Caller(id));
        } else {
            self.forward(now, id, key.home, submission);
        }
    }

    /// Runs a request whose key has its home here, or answers it from the table.
    fn begin_key(&mut self, now: Time, key: Key, submission: Box<Submission>, waiter: Waiter) {
        let target = target_name(&submission.target);
        let Some(org) = self.index.organisation_of_key(&submission.key) else {
            self.answer_waiter(waiter, not_run(Reason::UnknownKey, Span(0)));
            return;
        };
        let org = self.index.organisation(org).name.clone();
        let digest = idempotency::digest(&org, &target, &submission.body);
        match self.table.begin(&key, digest, waiter.clone()) {
            Admission::Run => self.admit_or_refuse(now, Recipient::Key(key), submission),
            Admission::Join => {}
            Admission::Replay(outcome) => self.answer_waiter(waiter, outcome),
            Admission::Refuse(reason, true) => {
                self.answer_waiter(waiter, not_run(reason, RETRY_AFTER));
            }
            Admission::Refuse(reason, false) => {
                let outcome = refusal(Verdict::OutcomeUnknown, reason, RETRY_AFTER);
                self.answer_waiter(waiter, outcome);
            }
        }
    }

    fn forward(&mut self, now: Time, id: RequestId, home: String, submission: Box<Submission>) {
        let Some(address) = self.members.find_home(&home).map(|r| r.peer_address.clone()) else {
            // The request may have run before its home was lost, so its outcome is unknown.
            let outcome = refusal(Verdict::OutcomeUnknown, Reason::HomeGone, RETRY_AFTER);
            self.finish_caller(id, outcome);
            return;
        };
        if self.forwards.len() >= MAX_FORWARDS {
            // An earlier request with the key may have run; only the home of the key knows.
            let outcome = refusal(Verdict::OutcomeUnknown, Reason::KeyTableFull, RETRY_AFTER);
            self.finish_caller(id, outcome);
            return;
        }
        self.stats.forwards += 1;
        let message = Message::Forward { request: id, submission: submission.clone() };
        self.send(address, message);
        self.forwards.insert(id, Forward { home, submission, started: now, sent: now });
    }

    /// Handles a request that the router of its caller has forwarded.
    pub(super) fn on_forward(
        &mut self,
        now: Time,
        from: &str,
        request: RequestId,
        submission: Box<Submission>,
    ) {
        let Some(address) = self.members.get(from).map(|r| r.peer_address.clone()) else {
            return;
        };
        let waiter = Waiter::Peer { address, request };
        let key = submission.idempotency_key.as_deref().and_then(Key::parse);
        match key {
            Some(key) if self.table.owns(&key.home) => {
                self.begin_key(now, key, submission, waiter);
            }
            _ => {
                let outcome = refusal(Verdict::OutcomeUnknown, Reason::HomeGone, RETRY_AFTER);
                self.answer_waiter(waiter, outcome);
            }
        }
    }

    /// Handles the outcome of a forwarded request.
    pub(super) fn on_forwarded(&mut self, request: RequestId, outcome: Outcome) {
        // A duplicate of the outcome finds no forward.
        if self.forwards.remove(&request).is_some() {
            self.finish_caller(request, outcome);
        }
    }

    pub(super) fn finish_key(&mut self, key: &Key, outcome: Outcome) {
        for waiter in self.table.finish(key, &outcome) {
            self.answer_waiter(waiter, outcome.clone());
        }
    }

    fn answer_waiter(&mut self, waiter: Waiter, outcome: Outcome) {
        match waiter {
            Waiter::Caller(id) => self.finish_caller(id, outcome),
            Waiter::Peer { address, request } => {
                self.send(address, Message::Forwarded { request, outcome });
            }
        }
    }

    /// Sends forwarded requests again, and ends those whose home is gone or does not answer.
    pub(super) fn expire_forwards(&mut self, now: Time) {
        let due = self.forwards.iter().filter(|(_, f)| now.since(f.sent) >= RESEND_INTERVAL);
        let due: Vec<RequestId> = due.map(|(id, _)| *id).collect();
        for id in due {
            let Some(f) = self.forwards.get_mut(&id) else {
                continue;
            };
            f.sent = now;
            let home = self.members.find_home(&f.home).map(|r| r.peer_address.clone());
            match home {
                Some(address) if now.since(f.started) < OUTCOME_TIMEOUT => {
                    let submission = f.submission.clone();
                    let message = Message::Forward { request: id, submission };
                    self.out.push(Action::Send { address, message });
                }
                _ => {
                    self.forwards.remove(&id);
                    let outcome = refusal(Verdict::OutcomeUnknown, Reason::HomeGone, RETRY_AFTER);
                    self.finish_caller(id, outcome);
                }
            }
        }
    }

    /// Ends all forwarded requests; called when the process must exit.
    pub(super) fn end_forwards(&mut self) {
        for id in std::mem::take(&mut self.forwards).into_keys().collect::<Vec<_>>() {
            let outcome = refusal(Verdict::OutcomeUnknown, Reason::NotServing, RETRY_AFTER);
            self.finish_caller(id, outcome);
        }
    }

    pub(super) fn has_forwards(&self) -> bool {
        !self.forwards.is_empty()
    }

    /// Requests and tokens a second of the most active organisations with a limit, for peers.
    pub(super) fn usage_by_org(&mut self, now: Time) -> BTreeMap<String, (f32, f32)> {
        const MAX_ORGANISATIONS: usize = 64;
        let mut active = self.limits.measure(now);
        active.sort_by(|a, b| b.1.total_cmp(&a.1));
        let limited = active.into_iter().filter(|(org, _, _)| {
            let org = self.index.organisation(*org);
            org.requests_per_second > 0 || org.tokens_per_second > 0
        });
        let named = limited.take(MAX_ORGANISATIONS).map(|(org, requests, tokens)| {
            (self.index.organisation(org).name.clone(), (requests, tokens))
        });
        named.collect()
    }
}
