//! How long streams pause between events beside long prompts, as the answers of a service show.
//!
//! A stream whose pauses must be short needs engines without long prompts only where the pauses it
//! would see are longer, which depends on the engines and on how much they read. So the gaps
//! between events of all other streams are counted by their length, the older ones fading out.

use crate::time::Span;

/// Buckets of the histogram: steps of a quarter of a power of two from 4 ms to 4 s.
const LENGTHS: usize = 40;
const SHORTEST_MS: f64 = 4.0;
const PER_DOUBLING: f64 = 4.0;
/// Gaps after which the older ones count half: some seconds of a busy gateway.
const HALF_LIFE: f64 = 2_000.0;
/// Gaps from which on they are gone by; before, a prior decides.
const ENOUGH: f64 = 500.0;
/// Expected number of gaps beyond the allowed pause from which on a stream is isolated.
const LATE: f64 = 0.1;
/// Part of that below which isolated streams no longer are.
const STILL_LATE: f64 = 0.25;
/// Step time beside a long prompt, in milliseconds, until enough gaps were seen.
const PRIOR_STEP_MS: u64 = 30;

/// Gaps between events of a service's streams.
#[derive(Clone, Debug)]
pub struct Gaps {
    counts: [f64; LENGTHS],
    total: f64,
    /// Weight of the next gap; it grows instead of the older counts being cut.
    next: f64,
}

impl Default for Gaps {
    fn default() -> Gaps {
        Gaps { counts: [0.0; LENGTHS], total: 0.0, next: 1.0 }
    }
}

fn length(gap: Span) -> usize {
    let ms = gap.as_secs_f64() * 1e3 / SHORTEST_MS;
    ((ms.max(1.0).log2() * PER_DOUBLING) as usize).min(LENGTHS - 1)
}

/// The class of length that a gap is counted in, as gateways tell one another.
pub fn bucket(gap: Span) -> u8 {
    length(gap) as u8
}

impl Gaps {
    /// Counts a gap.
    pub fn record(&mut self, gap: Span) {
        self.counts[length(gap)] += self.next;
        self.total += self.next;
        self.next *= (2.0_f64).powf(1.0 / HALF_LIFE);
        if self.next > 1e9 {
            let scale = 1.0 / self.next;
            self.counts.iter_mut().for_each(|count| *count *= scale);
            self.total *= scale;
            self.next = 1.0;
        }
    }

    /// Adds gaps of a class of length that others counted, without making earlier ones older.
    pub fn add(&mut self, class: u8, count: f64) {
        if let Some(known) = self.counts.get_mut(usize::from(class)) {
            *known += count * self.next;
            self.total += count * self.next;
        }
    }

    /// Keeps this part of what was counted, and at least as much as is needed to go by it.
    pub fn decay(&mut self, keeps: f64) {
        let enough = HALF_LIFE * self.next / self.total.max(self.next);
        let keeps = keeps.max(enough.min(1.0));
        self.counts.iter_mut().for_each(|count| *count *= keeps);
        self.total *= keeps;
    }

    /// Share of the gaps that are longer than `pause`; `None` while too few were seen.
    fn share_over(&self, pause: Span) -> Option<f64> {
        if self.total < ENOUGH * self.next {
            return None;
        }
        let over: f64 = self.counts[length(pause) + 1..].iter().sum();
        Some(over / self.total)
    }

    /// Whether streams of so many `events` that may pause for `pause` come late beside long prompts;
    /// `was` is what held before, so that a share near the bound does not turn it about.
    pub fn are_late(&self, pause: Span, events: f64, stride: u32, was: bool) -> bool {
        if pause.0 == 0 {
            return false;
        }
        match self.share_over(pause) {
            None => pause <= Span::millis(PRIOR_STEP_MS * u64::from(stride.max(1))),
            Some(share) => events * share >= if was { LATE * STILL_LATE } else { LATE },
        }
    }
}
