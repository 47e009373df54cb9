//! Records the calls of a simulation's callers, tallies them and checks the router's guarantees.

use std::collections::BTreeMap;

use laburnumwheel_core::action::Verdict;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::site::Site;
use crate::trace::Record;

/// End of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The answer is complete.
    Whole,
    /// The router reported that the request did not run.
    NotRun,
    /// The router reported that the outcome is unknown.
    Unknown,
    /// The router reported that the answer is incomplete.
    Incomplete,
    /// The caller's patience ended.
    GaveUp,
    /// The connection to the router broke and the request could not be submitted again.
    Broken,
}

impl From<Verdict> for End {
    fn from(verdict: Verdict) -> End {
        match verdict {
            Verdict::NotRun => End::NotRun,
            Verdict::OutcomeUnknown => End::Unknown,
            Verdict::Incomplete => End::Incomplete,
        }
    }
}

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Index of the router of the last submission.
    pub router: usize,
    /// Id of the request at that router.
    pub request: RequestId,
    /// Time of the first submission.
    pub sent: Time,
    /// Time of arrival of the first token, or of a service's answer.
    pub first: Option<Time>,
    /// Number of tokens received.
    pub tokens: u32,
    /// End and its time.
    pub end: Option<(End, Time)>,
    /// Number of submissions.
    pub submissions: u32,
    /// Idempotency key.
    pub key: Option<String>,
}

/// Numbers of violations of the router's guarantees.
///
/// Reports print the debug text of this type, with its name and the names of its fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Broken {
    /// Requests that did not end.
    pub lost: u64,
    /// Tokens that were not the next ones of their answers, and repeated executions of requests
    /// that may run at most once.
    pub doubled: u64,
    /// Tokens that belong to another request.
    pub misattributed: u64,
    /// Answers that were reported as complete with a wrong number of tokens.
    pub cut_off: u64,
    /// Requests that ran although the router reported that they did not.
    pub not_run_ran: u64,
}

impl Broken {
    /// Returns the number of violations.
    pub fn total(&self) -> u64 {
        self.lost + self.doubled + self.misattributed + self.cut_off + self.not_run_ran
    }
}

/// Tally of the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Number of requests.
    pub sent: u64,
    /// Number of requests by end.
    pub ends: BTreeMap<End, u64>,
    /// Number of complete answers within the targets for the first token and the whole answer.
    pub attained: u64,
    /// Number of tokens in complete answers.
    pub tokens: u64,
    /// Longest time to first token of any answer, in microseconds.
    pub max_first_token: u64,
    /// Number of first tokens in each window of the burst.
    pub windows: Vec<u64>,
    /// Time to first token of each complete answer, in microseconds.
    pub first_token: Vec<u64>,
}

impl Tally {
    /// Returns the share of the requests that attained both targets, in percent.
    pub fn attainment(&self) -> f64 {
        100.0 * self.attained as f64 / self.sent.max(1) as f64
    }

    /// Returns the number of requests with this end.
    pub fn count(&self, end: End) -> u64 {
        self.ends.get(&end).copied().unwrap_or(0)
    }
}

/// Tallies the calls of a trace by class, and adds lost requests and answers with a wrong number of
/// tokens to `broken`.
pub fn tally(
    site: &Site,
    trace: &[Record],
    calls: &[Option<Call>],
    trace_start: Time,
    broken: &mut Broken,
) -> Vec<Tally> {
    let (from, to) = site.burst_ms;
    let windows = (to - from).div_ceil(site.outcomes.window_ms) as usize;
    let empty = Tally { windows: vec![0; windows], ..Tally::default() };
    let mut tallies = vec![empty; site.class.len()];
    for (record, call) in trace.iter().zip(calls) {
        let tally = &mut tallies[record.class];
        tally.sent += 1;
        let Some((call, (end, at))) = call.as_ref().and_then(|c| Some((c, c.end?))) else {
            broken.lost += 1;
            continue;
        };
        *tally.ends.entry(end).or_default() += 1;
        if let Some(first) = call.first {
            tally.max_first_token = tally.max_first_token.max(first.since(call.sent).0);
            let offset = first.since(trace_start + Span::millis(from)).as_millis();
            if first >= trace_start + Span::millis(from)
                && let Some(n) = tally.windows.get_mut((offset / site.outcomes.window_ms) as usize)
            {
                *n += 1;
            }
        }
        if end != End::Whole {
            continue;
        }
        let class = &site.class[record.class];
        let wait = call.first.map_or(Span(u64::MAX), |f| f.since(call.sent));
        let finish = at.since(call.sent);
        let attained =
            wait <= Span::millis(class.first_token_ms) && finish <= Span::millis(class.finish_ms);
        tally.attained += u64::from(attained);
        tally.tokens += u64::from(call.tokens);
        tally.first_token.push(wait.0);
        broken.cut_off += u64::from(call.tokens != record.output);
    }
    tallies
}
