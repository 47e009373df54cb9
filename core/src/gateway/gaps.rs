//! Histogram of the gaps between events of a service's streams beside long prompts.
//!
//! A stream needs the isolated pool only if the gaps beside long prompts exceed its allowed pause,
//! which depends on the engines and on how much they prefill. The gaps of all streams outside the
//! pool are therefore counted by length, with decaying weights.

use crate::time::Span;

/// Number of buckets: steps of a quarter of a power of two from 4 ms to 4 s.
const BUCKETS: usize = 40;
/// Lower bound of the first bucket, in milliseconds; it also counts all shorter gaps.
const MIN_GAP_MS: f64 = 4.0;
/// Number of buckets in which the length of a gap doubles.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of gaps after which earlier ones count half: some seconds of a busy gateway.
const HALF_LIFE_GAPS: f64 = 2_000.0;
/// Number of gaps below which a prior decides instead of the histogram.
const MIN_GAPS: f64 = 500.0;
/// Expected number of gaps beyond the allowed pause in one stream from which streams are isolated.
const LATE_GAPS: f64 = 0.1;
/// Share of this number below which isolated streams are no longer isolated.
const STILL_LATE_SHARE: f64 = 0.25;
/// Prior for the duration of a decoding step beside a long prompt, in milliseconds.
const PRIOR_STEP_MS: u64 = 30;

/// Histogram of the gaps between events of a service's streams.
#[derive(Clone, Debug)]
pub struct Gaps {
    counts: [f64; BUCKETS],
    total: f64,
    /// Weight of the next gap, which grows instead of the earlier counts being reduced.
    next_weight: f64,
}

impl Default for Gaps {
    fn default() -> Gaps {
        Gaps { counts: [0.0; BUCKETS], total: 0.0, next_weight: 1.0 }
    }
}

fn index(gap: Span) -> usize {
    let ratio = gap.as_secs_f64() * 1e3 / MIN_GAP_MS;
    ((ratio.max(1.0).log2() * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}

/// Bucket in which a gap is counted, as it is sent to other gateways.
pub fn bucket(gap: Span) -> u8 {
    index(gap) as u8
}

impl Gaps {
    /// Counts a gap and decays the earlier ones.
    pub fn record(&mut self, gap: Span) {
        self.counts[index(gap)] += self.next_weight;
        self.total += self.next_weight;
        self.next_weight *= (2.0_f64).powf(1.0 / HALF_LIFE_GAPS);
        if self.next_weight > 1e9 {
            let scale = 1.0 / self.next_weight;
            self.counts.iter_mut().for_each(|count| *count *= scale);
            self.total *= scale;
            self.next_weight = 1.0;
        }
    }

    /// Adds gaps of one bucket that other gateways counted, without decaying the earlier ones.
    pub fn add(&mut self, bucket: u8, count: f64) {
        if let Some(known) = self.counts.get_mut(usize::from(bucket)) {
            *known += count * self.next_weight;
            self.total += count * self.next_weight;
        }
    }

    /// Multiplies the counts by `factor`, but not below the weight of `HALF_LIFE_GAPS` gaps, so
    /// that the histogram stays in use.
    pub fn decay(&mut self, factor: f64) {
        let min_factor = HALF_LIFE_GAPS * self.next_weight / self.total.max(self.next_weight);
        let factor = factor.max(min_factor.min(1.0));
        self.counts.iter_mut().for_each(|count| *count *= factor);
        self.total *= factor;
    }

    /// Share of the gaps that are longer than `pause`; `None` if there are too few.
    fn share_over(&self, pause: Span) -> Option<f64> {
        if self.total < MIN_GAPS * self.next_weight {
            return None;
        }
        let over: f64 = self.counts[index(pause) + 1..].iter().sum();
        Some(over / self.total)
    }

    /// Whether streams with this allowed pause and mean number of events are late beside long
    /// prompts. A pause of zero means no limit. `was_late` is the previous result, for hysteresis.
    pub fn are_late(
        &self,
        pause: Span,
        events: f64,
        tokens_per_event: u32,
        was_late: bool,
    ) -> bool {
        if pause.0 == 0 {
            return false;
        }
        match self.share_over(pause) {
            None => pause <= Span::millis(PRIOR_STEP_MS * u64::from(tokens_per_event.max(1))),
            Some(share) => {
                events * share >= if was_late { LATE_GAPS * STILL_LATE_SHARE } else { LATE_GAPS }
            }
        }
    }
}
