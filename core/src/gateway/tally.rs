//! Sums over the engines' streams since the last report.
//!
//! In a large fleet each gateway serves too few urgent streams for an estimate of its own, so gateways
//! send sums to one decider (see [`super::plan`]). A lost datagram only makes the sample smaller.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::gaps;
use crate::time::Span;

/// Streams that may pause for equally long, at one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// Pause that they may have, in milliseconds.
    pub pause_ms: u32,
    /// In progress now.
    pub open: u16,
    /// First events since the last report.
    pub begun: u16,
    /// Further events since then.
    pub events: u32,
}

/// Sums of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sums {
    /// Short hash of the service's name.
    pub service: u32,
    /// Streams by the pause that they may have.
    pub streams: Vec<Stream>,
    /// Gaps between events beside long prompts: class of length (see [`gaps`]) and number.
    pub gaps: Vec<(u8, u16)>,
    /// Prefill time of ended streams of the isolated pool, in milliseconds.
    pub prefill_ms: f32,
    /// Milliseconds that these lasted.
    #[serde(rename = "life_ms")]
    pub duration_ms: f32,
    /// Milliseconds that all ended calls took to read.
    #[serde(rename = "all_reading_ms")]
    pub all_prefill_ms: f32,
}

/// Report of one gateway to the decider.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Short hash of the gateway's name.
    pub gateway: u32,
    /// Its services.
    pub services: Vec<Sums>,
}

/// Counts for the next report, of one service.
#[derive(Debug, Default)]
pub struct Tally {
    streams: BTreeMap<Span, Stream>,
    gaps: BTreeMap<u8, u16>,
    prefill_ms: f64,
    duration_ms: f64,
    all_prefill_ms: f64,
    /// Streams in progress as last reported.
    told: u32,
}

impl Tally {
    fn stream(&mut self, pause: Span) -> &mut Stream {
        let pause_ms = pause.as_millis().min(u64::from(u32::MAX)) as u32;
        let fresh = Stream { pause_ms, ..Stream::default() };
        self.streams.entry(pause).or_insert(fresh)
    }

    /// Counts a stream that is sent.
    pub fn record_start(&mut self, pause: Span) {
        let stream = self.stream(pause);
        stream.open = stream.open.saturating_add(1);
    }

    /// Counts the end of a stream.
    pub fn record_stream_end(&mut self, pause: Span) {
        let stream = self.stream(pause);
        stream.open = stream.open.saturating_sub(1);
    }

    /// Counts a first event.
    pub fn record_first_event(&mut self, pause: Span) {
        let stream = self.stream(pause);
        stream.begun = stream.begun.saturating_add(1);
    }

    /// Counts a further event that came after `gap`, if that says how it is beside long prompts.
    pub fn record_event(&mut self, pause: Span, gap: Option<Span>) {
        let stream = self.stream(pause);
        stream.events = stream.events.saturating_add(1);
        if let Some(gap) = gap {
            let count = self.gaps.entry(gaps::bucket(gap)).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Counts a call that ended: its prompt took `prefill_ms`. `life` is how long it lasted, if it is
    /// a stream of the isolated pool.
    pub fn record_call_end(&mut self, prefill_ms: f64, life: Option<Span>) {
        self.all_prefill_ms += prefill_ms;
        if let Some(life) = life {
            self.prefill_ms += prefill_ms;
            self.duration_ms += life.as_secs_f64() * 1e3;
        }
    }

    /// What to tell of `service`, counted from now on anew; `None` if there is nothing.
    pub fn take(&mut self, service: u32) -> Option<Sums> {
        let open: u32 = self.streams.values().map(|s| u32::from(s.open)).sum();
        // That the last stream has ended is news too.
        if open == 0 && self.told == 0 && self.all_prefill_ms <= 0.0 {
            return None;
        }
        self.told = open;
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
            *stream = Stream { begun: 0, events: 0, ..*stream };
        }
        Some(sums)
    }
}
