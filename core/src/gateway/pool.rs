//! Isolated pool of engines for streams that long prompts would disturb.
//!
//! An engine reads a prompt in chunks between the steps of its running requests. While it reads a
//! long one, every step takes about five times as long, and a stream whose pauses must be short
//! comes late. So such streams share a few engines, and long prompts go to the others. All
//! gateways agree on which without a message: the first of the open ones, in the order of their
//! hashes, as many as the streams of all gateways need for their places and their own prompts.

use crate::gateway::config::Engine;
use crate::time::Span;
use crate::time::Time;

/// Part of an engine's slots that sensitive streams fill before they take one more engine. Owners
/// know which engine of the lane has places, so little need be spare; against 0.8, reports on time
/// rose by 2 to 12 in 100 in four bursts.
const FILL: f64 = 0.9;
/// Part of its time for which an engine of the lane reads. Where it reads all the time, each step
/// has a chunk, and what the lane is for is lost.
const READING: f64 = 0.45;
/// The same where all engines read for longer than that. The lane reads as much as the others then,
/// up to this: beyond, its streams would queue as the reports do.
const MOST_READING: f64 = 0.75;
/// Weight that earlier streams keep when one more of any kind has ended: the last two hundred count.
const KEEPS: f64 = 0.995;
/// Part of all engines that they may take.
const MOST: f64 = 0.6;
/// Steps in which the lane grows and shrinks, over all engines. Where gateways disagree on an
/// engine, its cached heads are read again elsewhere, and reports are sent among chats.
const STEPS: usize = 16;
/// How long an engine stays in the lane after it was last needed: a peak of clumped arrivals is
/// over by then, and the streams that are left on it last about as long again.
const STAY: Span = Span::millis(700);

/// Engines by which the lane grows and shrinks, of `engines` in all.
pub fn step(engines: usize) -> usize {
    engines / STEPS + 1
}

/// Number of engines in the lane.
#[derive(Debug, Default)]
pub struct Pool {
    size: usize,
    needed: Time,
    /// Milliseconds that ended streams took to read, and lasted in all; the older count less.
    prefill_ms: f64,
    duration_ms: f64,
    /// Milliseconds that all streams took to read meanwhile.
    all_prefill_ms: f64,
}

impl Pool {
    /// Notes a stream that ended: its prompt took `prefill_ms`, and it lasted for `life`.
    pub fn record(&mut self, prefill_ms: f64, life: Span) {
        self.decay_once();
        self.prefill_ms += prefill_ms;
        self.duration_ms += life.as_secs_f64() * 1e3;
        self.all_prefill_ms += prefill_ms;
    }

    /// Notes a stream that is not sensitive, and ended.
    pub fn record_other(&mut self, prefill_ms: f64) {
        self.decay_once();
        self.all_prefill_ms += prefill_ms;
    }

    /// Adds what other gateways saw, without making earlier sums older.
    pub fn merge(&mut self, prefill_ms: f64, duration_ms: f64, all_prefill_ms: f64) {
        let sound = |ms: f64| if ms.is_finite() { ms.max(0.0) } else { 0.0 };
        self.prefill_ms += sound(prefill_ms);
        self.duration_ms += sound(duration_ms);
        self.all_prefill_ms += sound(all_prefill_ms);
    }

    /// All sums fade alike: faded by sensitive streams only, hours without one would pile up what
    /// the others read, and the next ones would find a lane too small.
    fn decay_once(&mut self) {
        self.decay(KEEPS);
    }

    /// Keeps this part of the sums.
    pub fn decay(&mut self, keeps: f64) {
        for sum in [&mut self.prefill_ms, &mut self.duration_ms, &mut self.all_prefill_ms] {
            *sum *= keeps;
        }
    }

    /// Part of its time for which each engine would read if all shared all prompts, where sensitive
    /// streams keep `reading` engines of `engines` busy.
    fn load(&self, reading: f64, engines: usize) -> f64 {
        if self.prefill_ms > 0.0 {
            reading * self.all_prefill_ms / self.prefill_ms / engines.max(1) as f64
        } else {
            0.0
        }
    }

    /// Part of a stream's life in which its prompt is read, and so the engines that each stream in
    /// progress keeps reading.
    fn reading_share(&self) -> f64 {
        if self.duration_ms > 0.0 { (self.prefill_ms / self.duration_ms).min(1.0) } else { 0.0 }
    }

    /// The size at `now`, with `streams` sensitive streams over `engines` open engines.
    pub fn size(&mut self, now: Time, streams: u32, engine: &Engine, engines: usize) -> usize {
        if streams == 0 && now.since(self.needed) > STAY {
            self.size = 0;
            return 0;
        }
        let full = f64::from(engine.slots.max(1)) * FILL;
        let by_places = f64::from(streams) / full;
        let reading = f64::from(streams) * self.reading_share();
        let by_reading = reading / self.load(reading, engines).clamp(READING, MOST_READING);
        let wanted = by_places.max(by_reading).ceil() as usize;
        // Gateways count slightly different streams; in steps they agree all the same.
        let wanted = wanted.next_multiple_of(step(engines));
        if wanted >= self.size || now.since(self.needed) > STAY {
            self.size = wanted;
            self.needed = now;
        }
        self.size.min((engines as f64 * MOST) as usize)
    }
}
