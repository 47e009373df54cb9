//! Estimates the prefill times of prompts at the engines of a service.
//!
//! The time to first event of a call whose engine has no other prompt pending is a sample: the
//! prefill time of the call's own prompt. A least-squares line through many samples gives the time
//! per token and the fixed time per call. Gateways gossip their estimates of the time per token.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Serialize;

/// Position in a prompt, in tokens, at which attention doubles the cost of a token. It is 28,000
/// for one generation of engines and 44,000 for another; at half or twice this value, the estimates
/// for prompts of 15,000 tokens are off by a quarter relative to short ones.
const ATTENTION_TOKENS: f64 = 35_000.0;
/// Milliseconds per token before any sample. Two generations of engines take 0.009 and 0.016,
/// including a decoding step after each chunk. If the prior is off by a factor of two, calls are
/// placed as with a fixed cost, for the few seconds until there are enough samples.
const PRIOR_TOKEN_MS: f64 = 0.012;
/// Fixed milliseconds per call before any sample: a decoding step and a round trip.
const PRIOR_CALL_MS: f64 = 10.0;
/// Weight of the prior, in samples.
const PRIOR_WEIGHT: f64 = 6.0;
/// Lower bound on the milliseconds per token: a tenth of the time of the fastest measured engines.
const MIN_TOKEN_MS: f64 = 0.001;
/// Upper bound on the milliseconds per token: ten times the time of the slowest measured engines.
const MAX_TOKEN_MS: f64 = 0.16;
/// Weight that earlier samples keep when one is added. About the last hundred count, so that the
/// estimate follows a change of engines within a few hundred calls.
const DECAY: f64 = 0.99;
/// Upper bound on a sample's deviation from the expected time, relative to that time; samples
/// beyond it are clamped, so that an evicted prefix or a straggler changes the estimate little.
const MAX_DEVIATION: f64 = 0.6;
/// Work of prompts that are used as samples; shorter prompts take little more than a decoding step.
const SAMPLE_WORK: RangeInclusive<f64> = 300.0..=1e6;
/// Share of the difference to a peer's estimate that is adopted at a time if all samples are the
/// peer's; otherwise proportionally less.
const PEER_SHARE: f64 = 0.5;

/// Prefill work of `new` tokens that follow `cached` ones, in units of one token without attention.
pub fn work(cached: u64, new: u64) -> f64 {
    let new = new as f64;
    new + new * (cached as f64 + new / 2.0) / ATTENTION_TOKENS
}

/// Estimate of the prefill time per token at a service's engines, as gateways gossip it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Short hash of the service's name.
    pub service: u32,
    /// Prefill time per token, in milliseconds.
    pub token_ms: f32,
    /// Number of samples behind the estimate, the gateway's own and those of others.
    pub weight: f32,
}

/// Estimator of the prefill times at the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct Estimator {
    token_ms: f64,
    call_ms: f64,
    weight: f64,
    sums: Sums,
}

/// Decayed sums for a least-squares line through points (work, milliseconds).
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
            *sum *= DECAY;
        }
    }

    /// Slope and intercept of the line; `None` if all points have the same work.
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
    /// Expected prefill time of prompts of this much work, in milliseconds.
    pub fn prefill_ms(&self, work: f64) -> f64 {
        self.token_ms * work
    }

    /// Estimated prefill time per token, in milliseconds.
    pub fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// Records a sample: the time to first event of a call whose engine had no other prompt
    /// pending.
    pub fn record(&mut self, work: f64, took_ms: f64) {
        if !SAMPLE_WORK.contains(&work) || !took_ms.is_finite() {
            return;
        }
        let expected = self.call_ms + self.prefill_ms(work);
        let took =
            took_ms.clamp(expected * (1.0 - MAX_DEVIATION), expected * (1.0 + MAX_DEVIATION));
        self.sums.decay();
        self.sums.add(work, took, 1.0);
        self.weight = self.weight * DECAY + 1.0;
        if let Some((slope, intercept)) = self.sums.line() {
            self.token_ms = slope.clamp(MIN_TOKEN_MS, MAX_TOKEN_MS);
            self.call_ms = intercept.clamp(0.0, 10.0 * PRIOR_CALL_MS);
        }
    }

    /// The estimate to gossip; `None` before any sample.
    pub fn gossip(&self, service: u32) -> Option<Estimate> {
        let (token_ms, weight) = (self.token_ms as f32, self.weight as f32);
        (self.weight >= 1.0).then_some(Estimate { service, token_ms, weight })
    }

    /// Moves the estimate towards that of a peer, the further the more of the samples are the
    /// peer's. Estimates out of bounds are ignored.
    pub fn receive(&mut self, received: &Estimate) {
        let (token_ms, weight) = (f64::from(received.token_ms), f64::from(received.weight));
        let bounds = MIN_TOKEN_MS..=MAX_TOKEN_MS;
        let max_weight = 1.0 / (1.0 - DECAY);
        if !bounds.contains(&token_ms) || !(0.0..=max_weight).contains(&weight) {
            return;
        }
        let share = PEER_SHARE * weight / (self.weight + weight).max(1.0);
        let change = share * (token_ms - self.token_ms);
        self.token_ms += change;
        // Rotates the line about its mean point, so that the next sample starts from the new slope.
        let (n, x) = (self.sums.n, self.sums.x);
        self.sums.xy += change * (self.sums.xx - x * x / n);
        self.weight += share * (weight - self.weight).max(0.0);
    }
}
