//! Estimates the size of the isolated pool: engines for streams that long prompts would delay.
//!
//! An engine prefills a prompt in chunks between the decoding steps of its running requests. During
//! the prefill of a long prompt every step takes about five times as long, and a stream whose
//! pauses must be short is late. Such sensitive streams therefore share a few engines, and long
//! prompts go to the others. The pool is the first of the open engines in the order of their
//! hashes, so that gateways with the same size agree on its members without a message. Its size
//! covers both the slots and the prefill that the sensitive streams of all gateways need.

use crate::gateway::config::Engine;
use crate::time::Span;
use crate::time::Time;

/// Share of an engine's slots that sensitive streams fill before the pool takes one more engine.
/// Few slots need be spare, because owners know which engines of the pool have free ones: in four
/// bursts, the share of long-prompt calls that were on time was 2 to 12 percentage points higher
/// than at 0.8.
const SLOT_FILL: f64 = 0.9;
/// Share of its time that an engine of the pool may spend on prefill. An engine that prefills all
/// the time does so in each step, and its streams are as late as outside of the pool.
const PREFILL_SHARE: f64 = 0.45;
/// Upper bound on that share in an overload, when all engines prefill for most of their time. The
/// engines of the pool then prefill as much as the others, up to this bound; above it, their
/// streams would queue as long prompts do.
const MAX_PREFILL_SHARE: f64 = 0.75;
/// Weight that the sums keep when one more call ends; about the last two hundred calls count.
const DECAY: f64 = 0.995;
/// Upper bound on the pool's share of all engines.
const MAX_POOL_SHARE: f64 = 0.6;
/// Number of steps between an empty pool and one of all engines. Gateways that count slightly
/// different streams mostly agree on a size in steps. Where they disagree on an engine, its cached
/// prefixes are prefilled again elsewhere, and long prompts are sent among sensitive streams.
const STEPS: usize = 16;
/// Time for which the pool keeps its size after it was last needed. A peak of clumped arrivals is
/// over by then, and the streams that remain on the surplus engines last about as long again.
const SHRINK_DELAY: Span = Span::millis(700);

/// Number of engines by which the pool grows and shrinks, of `engines` in all.
pub fn step(engines: usize) -> usize {
    engines / STEPS + 1
}

/// Upper bound on the pool's size, of `engines` in all.
pub fn max_size(engines: usize) -> usize {
    (engines as f64 * MAX_POOL_SHARE) as usize
}

/// Estimator of the number of engines in the isolated pool.
#[derive(Debug, Default)]
pub struct Pool {
    size: usize,
    /// Time at which the size was last needed.
    needed: Time,
    /// Decayed sum of the prefill times of ended sensitive streams, in milliseconds.
    prefill_ms: f64,
    /// Decayed sum of the durations of these streams, in milliseconds.
    duration_ms: f64,
    /// Decayed sum of the prefill times of all ended calls, in milliseconds.
    all_prefill_ms: f64,
}

impl Pool {
    /// Records the end of a sensitive stream with its prefill time and duration.
    pub fn record(&mut self, prefill_ms: f64, duration: Span) {
        self.decay_once();
        self.prefill_ms += prefill_ms;
        self.duration_ms += duration.as_secs_f64() * 1e3;
        self.all_prefill_ms += prefill_ms;
    }

    /// Records the end of any other call with its prefill time.
    pub fn record_other(&mut self, prefill_ms: f64) {
        self.decay_once();
        self.all_prefill_ms += prefill_ms;
    }

    /// Adds the sums of other gateways, in milliseconds, without decaying the earlier ones.
    pub fn merge(&mut self, prefill_ms: f64, duration_ms: f64, all_prefill_ms: f64) {
        let valid = |ms: f64| if ms.is_finite() { ms.max(0.0) } else { 0.0 };
        self.prefill_ms += valid(prefill_ms);
        self.duration_ms += valid(duration_ms);
        self.all_prefill_ms += valid(all_prefill_ms);
    }

    /// Decays all sums alike, for each call of any kind. If only sensitive streams decayed them,
    /// the prefill of other calls would accumulate in hours without such a stream, and the pool
    /// would be too small for the next ones.
    fn decay_once(&mut self) {
        self.decay(DECAY);
    }

    /// Multiplies the sums by `factor`.
    pub fn decay(&mut self, factor: f64) {
        for sum in [&mut self.prefill_ms, &mut self.duration_ms, &mut self.all_prefill_ms] {
            *sum *= factor;
        }
    }

    /// Share of its time that each engine would spend on prefill if all `engines` shared all
    /// prompts, given that the prefill of sensitive streams keeps `busy` engines busy.
    fn prefill_load(&self, busy: f64, engines: usize) -> f64 {
        if self.prefill_ms > 0.0 {
            busy * self.all_prefill_ms / self.prefill_ms / engines.max(1) as f64
        } else {
            0.0
        }
    }

    /// Share of a sensitive stream's duration that is prefill, and thus the number of engines that
    /// the prefill of such streams keeps busy for each one in progress.
    fn prefill_share(&self) -> f64 {
        if self.duration_ms > 0.0 { (self.prefill_ms / self.duration_ms).min(1.0) } else { 0.0 }
    }

    /// Size of the pool at `now`, for `streams` sensitive streams in progress at all gateways and
    /// `engines` open engines.
    pub fn size(&mut self, now: Time, streams: u32, engine: &Engine, engines: usize) -> usize {
        if streams == 0 && now.since(self.needed) > SHRINK_DELAY {
            self.size = 0;
            return 0;
        }
        let streams_per_engine = f64::from(engine.slots.max(1)) * SLOT_FILL;
        let by_slots = f64::from(streams) / streams_per_engine;
        let busy = f64::from(streams) * self.prefill_share();
        let by_prefill =
            busy / self.prefill_load(busy, engines).clamp(PREFILL_SHARE, MAX_PREFILL_SHARE);
        let wanted = by_slots.max(by_prefill).ceil() as usize;
        let wanted = wanted.next_multiple_of(step(engines));
        if wanted >= self.size || now.since(self.needed) > SHRINK_DELAY {
            self.size = wanted;
            self.needed = now;
        }
        self.size.min(max_size(engines))
    }
}
