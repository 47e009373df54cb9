//! This gateway's own observations of the engines of one service.
//!
//! The isolated pool follows them only while the gateway has no plan for the service. The prefill
//! estimator also includes the estimates of peers.

use std::collections::BTreeMap;

use super::config::Engine;
use super::config::Route;
use super::gaps::Gaps;
use super::memory::Answer;
use super::memory::Lengths;
use super::pace::Batch;
use super::pace::Bias;
use super::pool::Pool;
use super::prefill::Estimator;
use crate::time::Span;

/// Observations of the engines of one service.
#[derive(Debug, Default)]
pub(super) struct Model {
    /// Estimator of prefill times.
    pub(super) prefill: Estimator,
    /// Gaps between events of streams outside the isolated pool.
    pub(super) gaps: Gaps,
    /// Size of the isolated pool.
    pub(super) pool: Pool,
    /// How calls at an engine slow one another.
    pub(super) batch: Batch,
    /// Errors of expected waits outside the isolated pool and in it.
    pub(super) bias: [Bias; 2],
    /// Streams by allowed pause.
    streams: BTreeMap<Span, Streams>,
}

/// Streams with the same allowed pause.
#[derive(Debug)]
struct Streams {
    /// Whether these streams were late beside long prompts at the last check.
    late: bool,
    /// Decayed number of events.
    events: f64,
    /// Decayed number of streams with a first event.
    begun: f64,
    lengths: Lengths,
}

/// Expected events of a stream before any was observed: those of a hundred or two hundred tokens.
const PRIOR_EVENTS: f64 = 30.0;
/// Weight that earlier streams keep when one more begins; about the last hundred count.
const DECAY: f64 = 0.99;

impl Default for Streams {
    fn default() -> Streams {
        Streams { late: false, events: PRIOR_EVENTS, begun: 1.0, lengths: Lengths::default() }
    }
}

impl Model {
    /// Whether a route's streams are late on an engine that prefills long prompts.
    pub(super) fn is_sensitive(&mut self, route: &Route, engine: &Engine) -> bool {
        if !route.streams {
            return false;
        }
        let streams = self.streams.entry(route.pause).or_default();
        let events = streams.events / streams.begun;
        streams.late =
            self.gaps.are_late(route.pause, events, engine.tokens_per_event, streams.late);
        streams.late
    }

    /// Counts a stream's first event.
    pub(super) fn record_first_event(&mut self, pause: Span) {
        let streams = self.streams.entry(pause).or_default();
        streams.begun = streams.begun * DECAY + 1.0;
        streams.events = streams.events * DECAY + 1.0;
    }

    /// Expected tokens of the answer of a stream with this allowed pause.
    pub(super) fn expected_tokens(&self, pause: Span, hint: Option<u32>, max_tokens: u32) -> u32 {
        let known = self.streams.get(&pause).map(|streams| streams.lengths);
        known.unwrap_or_default().expected(hint, max_tokens)
    }

    /// Records the length of an answer that ended, if it is a sample.
    pub(super) fn record_answer(&mut self, pause: Span, answer: &Answer) {
        if answer.is_whole && answer.expected > 0 && answer.tokens > 0 {
            let lengths = &mut self.streams.entry(pause).or_default().lengths;
            lengths.record(answer.hint, answer.tokens);
        }
    }

    /// Counts a further event of a stream with this allowed pause, and the gap before it. The gap
    /// of an `isolated` stream is left out, because it says nothing about gaps beside long prompts.
    pub(super) fn record_event(&mut self, pause: Span, gap: Span, isolated: bool) {
        self.streams.entry(pause).or_default().events += 1.0;
        if !isolated {
            self.gaps.record(gap);
        }
    }
}
