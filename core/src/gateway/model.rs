//! What a gateway learns of the engines of one service.

use std::collections::BTreeMap;

use super::config::Engine;
use super::config::Route;
use super::gaps::Gaps;
use super::pool::Pool;
use super::prefill::Estimator;
use crate::time::Span;

/// Engines of one service as they were observed.
#[derive(Debug, Default)]
pub(super) struct Model {
    /// Cost of prompts.
    pub(super) prefill: Estimator,
    /// Gaps between events outside the lane.
    pub(super) gaps: Gaps,
    /// Isolated pool.
    pub(super) pool: Pool,
    /// Streams by the pause that they may have.
    streams: BTreeMap<Span, Streams>,
}

/// Streams that may pause for equally long.
#[derive(Debug)]
struct Streams {
    /// They were late beside long prompts.
    late: bool,
    /// Events and streams counted lately.
    events: f64,
    begun: f64,
}

/// Events of a stream before any was seen: a hundred tokens or two.
const PRIOR_EVENTS: f64 = 30.0;
/// Weight that earlier streams keep when one more begins: the last hundred count.
const KEEPS: f64 = 0.99;

impl Default for Streams {
    fn default() -> Streams {
        Streams { late: false, events: PRIOR_EVENTS, begun: 1.0 }
    }
}

impl Model {
    /// Whether a route's streams come late on an engine that reads long prompts.
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
        streams.begun = streams.begun * KEEPS + 1.0;
        streams.events = streams.events * KEEPS + 1.0;
    }

    /// Counts a further event of a stream that may pause for `pause`, after `gap`. What happens
    /// `isolated` from long prompts says nothing about how it is beside them.
    pub(super) fn record_event(&mut self, pause: Span, gap: Span, isolated: bool) {
        self.streams.entry(pause).or_default().events += 1.0;
        if !isolated {
            self.gaps.record(gap);
        }
    }
}
