//! Makes the committed traces, once, from a seed.
//!
//! Before and after the burst the offered load is 0.6 of capacity, in the burst 3.2 times it.
//! Output lengths are log-normal, prompts share a few popular prefixes, and three organisations
//! send two thirds of the traffic.

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
    /// Class, a number into the site's list.
    pub class: usize,
    /// Requests a second before and after the burst.
    pub base_rate: f64,
    /// Requests a second in the burst.
    pub burst_rate: f64,
    /// Mean tokens of an answer; 0 for a plain service.
    pub output: f64,
    /// Mean tokens of a prompt.
    pub prompt: f64,
}

const SIGMA: f64 = 0.8;
const MAX_OUTPUT: f64 = 4_000.0;
const PREFIXES: f64 = 200.0;
const SKEW: f64 = 1.1;
/// Part of the traffic that the three large organisations send.
const LARGE: f64 = 0.66;

/// Draws a trace of `length_ms` for the site.
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
            // A gap may not skip the start of the burst, where the rate changes.
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
    let mu = mean.ln() - SIGMA * SIGMA / 2.0;
    LogNormal::new(mu, SIGMA).map_or(mean, |d| d.sample(rng))
}

fn record(site: &Site, traffic: &Traffic, at_ms: u64, rng: &mut StdRng) -> Record {
    let organisations = site.callers.len();
    let large = rng.random_bool(LARGE);
    let organisation =
        if large { rng.random_range(0..3) } else { rng.random_range(3..organisations) };
    let prefix = Zipf::new(PREFIXES, SKEW).map_or(1.0, |d| d.sample(rng)) as u64;
    let output = if traffic.output > 0.0 {
        log_normal(traffic.output, rng).clamp(1.0, MAX_OUTPUT) as u32
    } else {
        0
    };
    let prompt = log_normal(traffic.prompt, rng).clamp(8.0, MAX_OUTPUT) as u32;
    Record { at_ms, organisation, class: traffic.class, prompt, prefix, output }
}

/// The auction house: an auction closes for a minute.
pub const AUCTION: [Traffic; 3] = [
    Traffic { class: 0, base_rate: 10.0, burst_rate: 60.0, output: 0.0, prompt: 50.0 },
    Traffic { class: 1, base_rate: 35.0, burst_rate: 80.0, output: 110.0, prompt: 300.0 },
    Traffic { class: 2, base_rate: 12.0, burst_rate: 105.0, output: 270.0, prompt: 400.0 },
];

/// Cardápio Seguro: every kitchen at seven in the morning.
pub const KITCHEN: [Traffic; 4] = [
    Traffic { class: 0, base_rate: 20.0, burst_rate: 80.0, output: 32.0, prompt: 200.0 },
    Traffic { class: 1, base_rate: 5.0, burst_rate: 30.0, output: 0.0, prompt: 50.0 },
    Traffic { class: 2, base_rate: 30.0, burst_rate: 75.0, output: 90.0, prompt: 600.0 },
    Traffic { class: 3, base_rate: 10.0, burst_rate: 92.0, output: 320.0, prompt: 300.0 },
];
