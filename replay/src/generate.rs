//! Generates traces from a seed.
//!
//! Requests arrive as a Poisson process. With the traffic defined here, the offered load is 0.6 of
//! the capacity before and after the burst and 3.2 times the capacity in it. Lengths of prompts and
//! outputs are log-normal, prefixes follow a Zipf distribution, and three large organisations send
//! two thirds of the traffic.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::LogNormal;
use rand_distr::Zipf;

use crate::site::Site;
use crate::trace::Record;

/// Traffic of one class.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Index of the class in the site's list.
    pub class: usize,
    /// Requests per second before and after the burst.
    pub base_rate: f64,
    /// Requests per second in the burst.
    pub burst_rate: f64,
    /// Mean number of tokens in an answer; 0 for a plain service.
    pub output: f64,
    /// Mean number of tokens in a prompt.
    pub prompt: f64,
}

/// Standard deviation of the logarithms of lengths.
const LENGTH_SIGMA: f64 = 0.8;
/// Upper bound on the tokens of a prompt and of an answer.
const MAX_TOKENS: f64 = 4_000.0;
/// Number of shared prefixes.
const PREFIXES: f64 = 200.0;
/// Exponent of the Zipf distribution of prefixes.
const PREFIX_EXPONENT: f64 = 1.1;
/// Share of the traffic that the three large organisations send.
const LARGE_SHARE: f64 = 0.66;

/// Generates a trace of `length_ms` milliseconds for a site.
pub fn trace(site: &Site, traffic: &[Traffic], length_ms: u64, seed: u64) -> Vec<Record> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut records = Vec::new();
    for class_traffic in traffic {
        let mut at = 0.0;
        loop {
            let (from, to) = site.burst_ms;
            let inside = (from as f64..to as f64).contains(&at);
            let rate = if inside { class_traffic.burst_rate } else { class_traffic.base_rate };
            let Ok(gap) = Exp::new(rate / 1000.0) else {
                break;
            };
            let next = at + gap.sample(&mut rng);
            // A gap that began at the base rate ends at the start of the burst at the latest.
            at = if at < from as f64 && next > from as f64 { from as f64 } else { next };
            if at >= length_ms as f64 {
                break;
            }
            records.push(record(site, class_traffic, at as u64, &mut rng));
        }
    }
    records.sort_by_key(|r| (r.at_ms, r.class, r.organisation, r.prefix));
    records
}

fn log_normal(mean: f64, rng: &mut StdRng) -> f64 {
    let mu = mean.ln() - LENGTH_SIGMA * LENGTH_SIGMA / 2.0;
    LogNormal::new(mu, LENGTH_SIGMA).map_or(mean, |d| d.sample(rng))
}

fn record(site: &Site, traffic: &Traffic, at_ms: u64, rng: &mut StdRng) -> Record {
    let organisations = site.callers.len();
    let large = rng.random_bool(LARGE_SHARE);
    let organisation =
        if large { rng.random_range(0..3) } else { rng.random_range(3..organisations) };
    let prefix = Zipf::new(PREFIXES, PREFIX_EXPONENT).map_or(1.0, |d| d.sample(rng)) as u64;
    let output = if traffic.output > 0.0 {
        log_normal(traffic.output, rng).clamp(1.0, MAX_TOKENS) as u32
    } else {
        0
    };
    let prompt = log_normal(traffic.prompt, rng).clamp(8.0, MAX_TOKENS) as u32;
    Record { at_ms, organisation, class: traffic.class, prompt, prefix, output }
}

/// Traffic of an auction house, with a burst of a minute when an auction closes.
pub const AUCTION: [Traffic; 3] = [
    Traffic { class: 0, base_rate: 10.0, burst_rate: 60.0, output: 0.0, prompt: 50.0 },
    Traffic { class: 1, base_rate: 35.0, burst_rate: 80.0, output: 110.0, prompt: 300.0 },
    Traffic { class: 2, base_rate: 12.0, burst_rate: 105.0, output: 270.0, prompt: 400.0 },
];

/// Traffic of a service for kitchens, with a burst when all of them start work in the morning.
pub const KITCHEN: [Traffic; 4] = [
    Traffic { class: 0, base_rate: 20.0, burst_rate: 80.0, output: 32.0, prompt: 200.0 },
    Traffic { class: 1, base_rate: 5.0, burst_rate: 30.0, output: 0.0, prompt: 50.0 },
    Traffic { class: 2, base_rate: 30.0, burst_rate: 75.0, output: 90.0, prompt: 600.0 },
    Traffic { class: 3, base_rate: 10.0, burst_rate: 92.0, output: 320.0, prompt: 300.0 },
];
