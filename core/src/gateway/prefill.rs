//! How fast the engines of a service read prompts, learnt from first events.
//!
//! The time to the first event of a call that found nothing unread at its engine is the cost of its
//! prompt. A line through many samples gives the cost per token and per call; gateways share it.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Serialize;

/// Prompt tokens behind which attention makes a token cost twice as much. One generation of engines
/// has 28,000, another 44,000; with half or twice this, the costs of prompts of 15,000 tokens are
/// off by a quarter against short ones.
const ATTENTION_TOKENS: f64 = 35_000.0;
/// Milliseconds a token before any was seen: between the 0.009 and 0.016 of two generations of
/// engines, with a decoding step after each chunk. Off by two, placing is as it was with a constant
/// for the few seconds until it has been learnt.
const PRIOR_TOKEN_MS: f64 = 0.012;
/// Milliseconds that a call takes besides, before any was seen: a step and a round trip.
const PRIOR_CALL_MS: f64 = 10.0;
/// Sightings that the prior weighs as much as.
const PRIOR_WEIGHT: f64 = 6.0;
/// Bounds of what is believed, in milliseconds a token: from ten times as fast as the fastest
/// engines that were measured to ten times as slow as the slowest.
const FASTEST: f64 = 0.001;
const SLOWEST: f64 = 0.16;
/// Weight that older sightings keep when one is added: a hundred count, so that engines of another
/// kind are learnt within a few hundred calls.
const KEEPS: f64 = 0.99;
/// A sighting counts as no further from what was expected than this part of it, so that a head that
/// was evicted, or a straggler, moves the line little.
const CLIP: f64 = 0.6;
/// Range of work, in tokens, of samples that are used: shorter prompts cost little more than a step.
const TELLING: RangeInclusive<f64> = 300.0..=1e6;
/// Part of a peer's difference that is taken over at a time, where it has seen as much.
const TAKEN: f64 = 0.5;

/// A prompt's size in tokens of reading without attention.
pub fn work(cached: u64, new: u64) -> f64 {
    let new = new as f64;
    new + new * (cached as f64 + new / 2.0) / ATTENTION_TOKENS
}

/// Prefill speed of a service's engines, as gateways gossip it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Short hash of the service's name.
    pub service: u32,
    /// Milliseconds a token.
    pub token_ms: f32,
    /// Sightings that it rests on, the gateway's own and those of others.
    pub weight: f32,
}

/// Cost of prompts at the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct Estimator {
    token_ms: f64,
    call_ms: f64,
    weight: f64,
    sums: Sums,
}

/// Decayed sums of a line through points (work, milliseconds).
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Sums {
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.n += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    fn decay(&mut self) {
        for sum in [&mut self.n, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *sum *= KEEPS;
        }
    }

    /// Slope and height of the line.
    fn line(&self) -> Option<(f64, f64)> {
        let spread = self.n * self.xx - self.x * self.x;
        if spread <= 0.0 {
            return None;
        }
        let slope = (self.n * self.xy - self.x * self.y) / spread;
        Some((slope, (self.y - slope * self.x) / self.n))
    }
}

impl Default for Estimator {
    fn default() -> Estimator {
        let mut sums = Sums::default();
        for x in [0.0, 4_000.0] {
            sums.add(x, PRIOR_CALL_MS + PRIOR_TOKEN_MS * x, PRIOR_WEIGHT / 2.0);
        }
        Estimator { token_ms: PRIOR_TOKEN_MS, call_ms: PRIOR_CALL_MS, weight: 0.0, sums }
    }
}

impl Estimator {
    /// Time to read prompts of this much work, in milliseconds.
    pub fn prefill_ms(&self, work: f64) -> f64 {
        self.token_ms * work
    }

    /// Milliseconds a token.
    pub fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// Notes that the first event of a call that found nothing unread came after `took_ms`.
    pub fn record(&mut self, work: f64, took_ms: f64) {
        if !TELLING.contains(&work) || !took_ms.is_finite() {
            return;
        }
        let expected = self.call_ms + self.prefill_ms(work);
        let took = took_ms.clamp(expected * (1.0 - CLIP), expected * (1.0 + CLIP));
        self.sums.decay();
        self.sums.add(work, took, 1.0);
        self.weight = self.weight * KEEPS + 1.0;
        if let Some((slope, height)) = self.sums.line() {
            self.token_ms = slope.clamp(FASTEST, SLOWEST);
            self.call_ms = height.clamp(0.0, 10.0 * PRIOR_CALL_MS);
        }
    }

    /// What to gossip; `None` while nothing was seen.
    pub fn gossip(&self, service: u32) -> Option<Estimate> {
        let (token_ms, weight) = (self.token_ms as f32, self.weight as f32);
        (self.weight >= 1.0).then_some(Estimate { service, token_ms, weight })
    }

    /// Takes in what another gateway has learnt, as far as that rests on more than is known here.
    pub fn receive(&mut self, received: &Estimate) {
        let (token_ms, weight) = (f64::from(received.token_ms), f64::from(received.weight));
        let bounds = FASTEST..=SLOWEST;
        let most = 1.0 / (1.0 - KEEPS);
        if !bounds.contains(&token_ms) || !(0.0..=most).contains(&weight) {
            return;
        }
        let part = TAKEN * weight / (self.weight + weight).max(1.0);
        let change = part * (token_ms - self.token_ms);
        self.token_ms += change;
        // The line turns around its middle, so that the next sighting goes on from there.
        let (n, x) = (self.sums.n, self.sums.x);
        self.sums.xy += change * (self.sums.xx - x * x / n);
        self.weight += part * (weight - self.weight).max(0.0);
    }
}
