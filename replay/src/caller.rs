//! Callers of a replay: what they send, what they get, and whether it was right.

use std::collections::BTreeMap;

use laburnumwheel_core::action::Verdict;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::site::Site;
use crate::trace::Record;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// A whole answer.
    Whole,
    /// A truthful error: it did not run.
    NotRun,
    /// A truthful error: nobody knows.
    Unknown,
    /// A truthful error: the answer is not whole.
    Incomplete,
    /// The caller lost patience.
    GaveUp,
    /// The connection to the router broke and a second try was not possible.
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

/// A caller's request from sending to end.
#[derive(Clone, Debug)]
pub struct Call {
    /// Router it was sent to.
    pub router: usize,
    /// Number of the request there.
    pub request: RequestId,
    /// When it was first sent.
    pub sent: Time,
    /// When the first token, or a service's answer, came.
    pub first: Option<Time>,
    /// Tokens received.
    pub tokens: u32,
    /// Its end and when.
    pub end: Option<(End, Time)>,
    /// How often it was sent.
    pub submissions: u32,
    /// Idempotency key.
    pub key: Option<String>,
}

/// Promises that a replay found broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Broken {
    /// Requests without any end.
    pub lost: u64,
    /// Tokens that came twice, or requests that ran twice though they may run only once.
    pub doubled: u64,
    /// Tokens of another request.
    pub misattributed: u64,
    /// Whole answers that lacked tokens.
    pub cut_off: u64,
    /// Requests said not to have run that did.
    pub not_run_ran: u64,
}

impl Broken {
    /// Number of broken promises.
    pub fn total(&self) -> u64 {
        self.lost + self.doubled + self.misattributed + self.cut_off + self.not_run_ran
    }
}

/// What one class got.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Ends.
    pub ends: BTreeMap<End, u64>,
    /// Whole answers within both targets.
    pub attained: u64,
    /// Tokens in whole answers.
    pub tokens: u64,
    /// Longest time to a first token, in microseconds.
    pub max_first_token: u64,
    /// Requests served by window of the burst.
    pub windows: Vec<u64>,
    /// Microseconds to the first token of whole answers.
    pub first_token: Vec<u64>,
}

impl Tally {
    /// Part of the requests that attained both targets, in percent.
    pub fn attainment(&self) -> f64 {
        100.0 * self.attained as f64 / self.sent.max(1) as f64
    }

    /// Requests that ended so.
    pub fn count(&self, end: End) -> u64 {
        self.ends.get(&end).copied().unwrap_or(0)
    }
}

/// Tallies of all classes.
pub fn tally(
    site: &Site,
    trace: &[Record],
    calls: &[Option<Call>],
    began: Time,
    broken: &mut Broken,
) -> Vec<Tally> {
    let (from, to) = site.burst_ms;
    let windows = (to - from).div_ceil(site.outcomes.window_ms) as usize;
    let fresh = Tally { windows: vec![0; windows], ..Tally::default() };
    let mut tallies = vec![fresh; site.class.len()];
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
            let into = first.since(began + Span::millis(from)).as_millis();
            if first >= began + Span::millis(from)
                && let Some(n) = tally.windows.get_mut((into / site.outcomes.window_ms) as usize)
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
