//! Counts the streams of each service's engines for the next report to the decider.
//!
//! In a large fleet each gateway has too few sensitive streams for an estimate of its own, so that
//! all gateways send their sums to one decider (see [`super::plan`]). A report covers the time
//! since the last one, and a lost datagram only makes the sample smaller.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::gaps;
use crate::time::Span;

/// Streams of one service with the same allowed pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// Allowed pause between their events, in milliseconds.
    pub pause_ms: u32,
    /// Streams in progress.
    pub open: u16,
    /// First events since the last report.
    pub begun: u16,
    /// Further events since the last report.
    pub events: u32,
    /// Expected prefill time of the streams that had their first event since the last report, in
    /// milliseconds.
    pub prefill_ms: u32,
    /// Streams that ended since the last report.
    pub ended: u16,
    /// Those of them whose first event and pauses were on time.
    pub on_time: u16,
}

/// Sums of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sums {
    /// Short hash of the service's name.
    pub service: u32,
    /// Streams by allowed pause.
    pub streams: Vec<Stream>,
    /// Gaps between events beside long prompts: histogram bucket (see [`gaps`]) and number.
    pub gaps: Vec<(u8, u16)>,
    /// Prefill time of ended streams of the isolated pool, in milliseconds.
    pub prefill_ms: f32,
    /// Duration of these streams, in milliseconds.
    #[serde(rename = "life_ms")]
    pub duration_ms: f32,
    /// Prefill time of all ended calls, in milliseconds.
    #[serde(rename = "all_reading_ms")]
    pub all_prefill_ms: f32,
}

/// Report of one gateway to the decider.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Short hash of the gateway's name.
    pub gateway: u32,
    /// Sums of its services.
    pub services: Vec<Sums>,
}

/// Counters of one service for the next report.
#[derive(Debug, Default)]
pub struct Tally {
    streams: BTreeMap<Span, Stream>,
    gaps: BTreeMap<u8, u16>,
    prefill_ms: f64,
    duration_ms: f64,
    all_prefill_ms: f64,
    /// Streams in progress according to the last report.
    reported_open: u32,
}

impl Tally {
    fn stream(&mut self, pause: Span) -> &mut Stream {
        let pause_ms = pause.as_millis().min(u64::from(u32::MAX)) as u32;
        let empty = Stream { pause_ms, ..Stream::default() };
        self.streams.entry(pause).or_insert(empty)
    }

    /// Counts a stream that is sent to a replica.
    pub fn record_start(&mut self, pause: Span) {
        let stream = self.stream(pause);
        stream.open = stream.open.saturating_add(1);
    }

    /// Counts the end of a stream.
    pub fn record_stream_end(&mut self, pause: Span) {
        let stream = self.stream(pause);
        stream.open = stream.open.saturating_sub(1);
    }

    /// Counts whether a stream that ended was on time.
    pub fn record_result(&mut self, pause: Span, on_time: bool) {
        let stream = self.stream(pause);
        stream.ended = stream.ended.saturating_add(1);
        stream.on_time = stream.on_time.saturating_add(u16::from(on_time));
    }

    /// Counts a first event, and the expected prefill time before it in milliseconds.
    pub fn record_first_event(&mut self, pause: Span, prefill_ms: f64) {
        let stream = self.stream(pause);
        stream.begun = stream.begun.saturating_add(1);
        stream.prefill_ms = stream.prefill_ms.saturating_add(prefill_ms.round() as u32);
    }

    /// Counts a further event, and the gap before it, which is `None` for a stream in the isolated
    /// pool.
    pub fn record_event(&mut self, pause: Span, gap: Option<Span>) {
        let stream = self.stream(pause);
        stream.events = stream.events.saturating_add(1);
        if let Some(gap) = gap {
            let count = self.gaps.entry(gaps::bucket(gap)).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Counts a call that ended, with its prefill time in milliseconds, and its duration if it is a
    /// stream of the isolated pool.
    pub fn record_call_end(&mut self, prefill_ms: f64, duration: Option<Span>) {
        self.all_prefill_ms += prefill_ms;
        if let Some(duration) = duration {
            self.prefill_ms += prefill_ms;
            self.duration_ms += duration.as_secs_f64() * 1e3;
        }
    }

    /// Returns the sums to report for `service` and resets the counters; `None` if there is nothing
    /// to report.
    pub fn take(&mut self, service: u32) -> Option<Sums> {
        let open: u32 = self.streams.values().map(|s| u32::from(s.open)).sum();
        // The end of the last stream must be reported too.
        if open == 0 && self.reported_open == 0 && self.all_prefill_ms <= 0.0 {
            return None;
        }
        self.reported_open = open;
        let sums = Sums {
            service,
            streams: self.streams.values().copied().collect(),
            gaps: std::mem::take(&mut self.gaps).into_iter().collect(),
            prefill_ms: std::mem::take(&mut self.prefill_ms) as f32,
            duration_ms: std::mem::take(&mut self.duration_ms) as f32,
            all_prefill_ms: std::mem::take(&mut self.all_prefill_ms) as f32,
        };
        self.streams.retain(|_, stream| stream.open > 0);
        for stream in self.streams.values_mut() {
            *stream = Stream { open: stream.open, pause_ms: stream.pause_ms, ..Stream::default() };
        }
        Some(sums)
    }
}
