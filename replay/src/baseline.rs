//! Baseline routers, which the core is compared with.
//!
//! One uses round robin and engines that serve requests in order of arrival; the other chooses the
//! replica with the fewest outstanding attempts and has engines serve by strict priority. Both
//! dispatch each request on arrival and leave the queueing to the engines.

use std::collections::BTreeMap;

use laburnumwheel_core::action::Action;
use laburnumwheel_core::action::Dispatch;
use laburnumwheel_core::action::Outcome;
use laburnumwheel_core::action::Reason;
use laburnumwheel_core::action::Refusal;
use laburnumwheel_core::action::Verdict;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::event::AttemptId;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::Failure;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::event::Submission;
use laburnumwheel_core::event::Target;
use laburnumwheel_core::time::Span;

/// Kind of baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Chooses the next replica in turn; engines serve in order of arrival.
    RoundRobin,
    /// Chooses the replica with the fewest open attempts of this router; engines serve by strict
    /// priority.
    LeastOutstanding,
}

#[derive(Clone, Debug)]
struct Replica {
    name: String,
    address: String,
    group: String,
    outstanding: u32,
}

/// Attempt that has not ended.
#[derive(Clone, Debug)]
struct Attempt {
    request: RequestId,
    submission: Box<Submission>,
    replica: usize,
    delivered: u32,
    retried: bool,
}

/// Baseline router.
#[derive(Debug)]
pub struct Baseline {
    kind: Kind,
    replicas: Vec<Replica>,
    tiers: BTreeMap<String, u8>,
    group_of_model: BTreeMap<String, String>,
    /// Position of the round robin.
    turn: usize,
    last_attempt: u64,
    open: BTreeMap<AttemptId, Attempt>,
    by_request: BTreeMap<RequestId, AttemptId>,
}

impl Baseline {
    /// Creates a router. `start` is the position at which its round robin begins.
    pub fn new(kind: Kind, config: &Config, start: usize) -> Baseline {
        let replicas = config.upstreams.iter().map(|u| Replica {
            name: u.name.clone(),
            address: u.address.clone(),
            group: u.group.clone(),
            outstanding: 0,
        });
        let models = config.groups.iter().flat_map(|g| g.models.iter().map(|m| (m, &g.name)));
        Baseline {
            kind,
            replicas: replicas.collect(),
            tiers: config.classes.iter().map(|c| (c.name.clone(), c.tier)).collect(),
            group_of_model: models.map(|(m, g)| (m.clone(), g.clone())).collect(),
            turn: start,
            last_attempt: 0,
            open: BTreeMap::new(),
            by_request: BTreeMap::new(),
        }
    }

    /// Chooses a replica of a group other than `excluded`.
    fn choose(&mut self, group: &str, excluded: Option<usize>) -> Option<usize> {
        self.turn += 1;
        let n = self.replicas.len();
        let all = (0..n).map(|i| (i + self.turn) % n);
        let mut candidates =
            all.filter(|i| self.replicas[*i].group == group && Some(*i) != excluded);
        match self.kind {
            Kind::RoundRobin => candidates.next(),
            Kind::LeastOutstanding => candidates.min_by_key(|i| self.replicas[*i].outstanding),
        }
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::Request(id, submission) => self.dispatch(id, submission, None, false),
            Event::CallerGone(id) => self.cancel(id),
            Event::Frame { attempt, tokens, text, .. } => {
                let Some(open) = self.open.get_mut(&attempt) else {
                    return Vec::new();
                };
                open.delivered += tokens;
                vec![Action::Deliver { request: open.request, tokens, text }]
            }
            Event::Ended { attempt, status, .. } => {
                let Some(open) = self.close(attempt) else {
                    return Vec::new();
                };
                let (text, tokens) = (bytes::Bytes::new(), open.delivered);
                vec![Action::Finish(open.request, Outcome::Whole { status, text, tokens })]
            }
            Event::Failed(attempt, failure) => self.fail(attempt, failure),
            _ => Vec::new(),
        }
    }

    /// Removes an open attempt.
    fn close(&mut self, attempt: AttemptId) -> Option<Attempt> {
        let open = self.open.remove(&attempt)?;
        self.by_request.remove(&open.request);
        self.replicas[open.replica].outstanding -= 1;
        Some(open)
    }

    /// Cancels the attempt of a request whose caller left.
    fn cancel(&mut self, id: RequestId) -> Vec<Action> {
        let Some(attempt) = self.by_request.get(&id).copied() else {
            return Vec::new();
        };
        self.close(attempt);
        vec![Action::Cancel(attempt)]
    }

    /// Retries a request whose attempt failed, or ends it.
    ///
    /// A request is retried once, at another replica, if it did not run, or if it is idempotent
    /// and no part of its answer was delivered.
    fn fail(&mut self, attempt: AttemptId, failure: Failure) -> Vec<Action> {
        let Some(open) = self.close(attempt) else {
            return Vec::new();
        };
        let not_run = failure == Failure::Connect;
        let retryable = not_run || (open.submission.idempotent && open.delivered == 0);
        if retryable && !open.retried {
            return self.dispatch(open.request, open.submission, Some(open.replica), true);
        }
        let verdict = match (not_run, open.delivered) {
            (true, _) => Verdict::NotRun,
            (false, 0) => Verdict::OutcomeUnknown,
            (false, _) => Verdict::Incomplete,
        };
        let retry_after = Span::secs(1);
        let refusal = Refusal { verdict, reason: Reason::UpstreamFailed, retry_after };
        vec![Action::Finish(open.request, Outcome::Refused(refusal))]
    }

    /// Dispatches a request to a replica other than `excluded`.
    fn dispatch(
        &mut self,
        request: RequestId,
        submission: Box<Submission>,
        excluded: Option<usize>,
        retried: bool,
    ) -> Vec<Action> {
        let group = match &submission.target {
            Target::Model(model) => self.group_of_model.get(model).cloned().unwrap_or_default(),
            Target::Service { name, .. } => name.clone(),
        };
        let Some(replica) = self.choose(&group, excluded) else {
            return Vec::new();
        };
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let tier = submission.class.as_ref().and_then(|c| self.tiers.get(c)).copied();
        let priority = match self.kind {
            Kind::RoundRobin => 0,
            Kind::LeastOutstanding => tier.unwrap_or(0),
        };
        let chosen = &mut self.replicas[replica];
        chosen.outstanding += 1;
        let dispatch = Dispatch {
            attempt,
            request,
            upstream: chosen.name.clone(),
            address: chosen.address.clone(),
            target: submission.target.clone(),
            body: submission.body.clone(),
            priority,
            offset: 0,
            partial: bytes::Bytes::new(),
        };
        self.open.insert(attempt, Attempt { request, submission, replica, delivered: 0, retried });
        self.by_request.insert(request, attempt);
        vec![Action::Dispatch(Box::new(dispatch))]
    }
}
