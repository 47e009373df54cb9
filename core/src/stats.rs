//! Counters and histograms by class, and by organisation for a bounded number of them.

use std::collections::BTreeMap;

use derive_more::Display;
use hdrhistogram::Histogram;

use crate::action::Outcome;
use crate::action::Reason;
use crate::config::ClassKey;
use crate::config::OrgKey;
use crate::time::Span;

/// Significant digits of histogram values.
const DIGITS: u8 = 2;
/// Upper bound on organisations with their own series.
const MAX_ORGS: usize = 64;

/// Reason for which generated tokens were wasted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum Waste {
    /// The caller disconnected.
    CallerGone,
    /// The request ended without a whole answer.
    Incomplete,
    /// The frame was a duplicate or belonged to an attempt that had ended.
    Late,
}

/// Counters and histograms of a class or an organisation.
#[derive(Clone, Debug)]
pub struct Series {
    /// Requests received.
    pub received: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers within both targets of the class.
    pub attained: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Refusals by verdict and reason.
    pub refused: BTreeMap<(String, Reason), u64>,
    /// Microseconds from arrival to the first token.
    pub first_token: Histogram<u64>,
    /// Microseconds from arrival to the end of a whole answer.
    pub finish: Histogram<u64>,
}

impl Default for Series {
    fn default() -> Self {
        let histogram = || {
            // `new` fails only for a precision outside 0 to 5.
            Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("valid precision"))
        };
        Series {
            received: 0,
            whole: 0,
            attained: 0,
            tokens: 0,
            refused: BTreeMap::new(),
            first_token: histogram(),
            finish: histogram(),
        }
    }
}

/// Durations of a request.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time from arrival to the first token, if there was one.
    pub first_token: Option<Span>,
    /// Time from arrival to the end.
    pub finish: Span,
    /// Whether both are within the targets of the class.
    pub attained: bool,
}

impl Series {
    fn record_end(&mut self, timing: Timing, outcome: &Outcome) {
        match outcome {
            Outcome::Whole { tokens, .. } => {
                self.whole += 1;
                self.attained += u64::from(timing.attained);
                self.tokens += u64::from(*tokens);
                self.finish.saturating_record(timing.finish.0);
                if let Some(first) = timing.first_token {
                    self.first_token.saturating_record(first.0);
                }
            }
            Outcome::Refused(refusal) => {
                let key = (refusal.verdict.to_string(), refusal.reason);
                *self.refused.entry(key).or_default() += 1;
            }
        }
    }
}

/// All counters of a router.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Series by class.
    pub classes: BTreeMap<ClassKey, Series>,
    /// Series by organisation, for a bounded number of them in the order of appearance.
    pub orgs: BTreeMap<OrgKey, Series>,
    /// Wasted tokens by cause.
    pub wasted: BTreeMap<Waste, u64>,
    /// Attempts sent to upstreams.
    pub dispatches: u64,
    /// Attempts after the first of a request.
    pub retries: u64,
    /// Attempts stopped in favour of a higher tier.
    pub preemptions: u64,
    /// Attempts given up because no frame arrived in time.
    pub stalls: u64,
    /// Answers that carried the id of another request.
    pub misattributed: u64,
    /// Entry answers.
    pub entries: u64,
    /// Reads of the key-value service.
    pub kv_reads: u64,
    /// Writes to the key-value service.
    pub kv_writes: u64,
    /// Requests forwarded to the home of their key.
    pub forwards: u64,
}

impl Stats {
    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, class: ClassKey, org: OrgKey) {
        self.classes.entry(class).or_default().received += 1;
        if let Some(series) = self.org(org) {
            series.received += 1;
        }
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, class: ClassKey, org: OrgKey, timing: Timing, outcome: &Outcome) {
        self.classes.entry(class).or_default().record_end(timing, outcome);
        if let Some(series) = self.org(org) {
            series.record_end(timing, outcome);
        }
    }

    /// Records wasted tokens.
    pub fn record_waste(&mut self, cause: Waste, tokens: u32) {
        *self.wasted.entry(cause).or_default() += u64::from(tokens);
    }

    /// The series of an organisation; `None` beyond [`MAX_ORGS`].
    fn org(&mut self, org: OrgKey) -> Option<&mut Series> {
        if self.orgs.len() >= MAX_ORGS && !self.orgs.contains_key(&org) {
            return None;
        }
        Some(self.orgs.entry(org).or_default())
    }
}
