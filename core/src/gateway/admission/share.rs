//! Work that organisations were granted lately at one replica.

use std::collections::BTreeMap;

use crate::time::Span;
use crate::time::Time;

/// Time in which the weight of granted work falls to 1/e. Over a much shorter time all
/// organisations would look alike, over a longer one an organisation would pay for a past burst.
const DECAY: Span = Span::secs(2);
/// Work below which an organisation is forgotten, in milliseconds.
const MIN_WORK_MS: f64 = 0.1;
/// Upper bound on the organisations that are remembered; the one with the least work is forgotten
/// first, which changes its place in the order the least.
pub const MAX_ORGANISATIONS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Work {
    ms: f64,
    at: Time,
}

impl Work {
    fn decayed(self, now: Time) -> f64 {
        self.ms * (-now.since(self.at).as_secs_f64() / DECAY.as_secs_f64()).exp()
    }
}

/// Granted work by organisation, with an exponential decay.
#[derive(Debug, Default)]
pub struct Shares {
    work: BTreeMap<u32, Work>,
}

impl Shares {
    /// Records that an organisation was granted a place for work of `ms` milliseconds.
    pub fn record(&mut self, now: Time, organisation: u32, ms: f64) {
        if self.work.len() >= MAX_ORGANISATIONS && !self.work.contains_key(&organisation) {
            self.evict(now);
        }
        let work = self.work.entry(organisation).or_insert(Work { ms: 0.0, at: now });
        *work = Work { ms: work.decayed(now) + ms, at: now };
    }

    /// Work that an organisation was granted lately, in microseconds.
    pub fn granted_us(&self, now: Time, organisation: u32) -> u64 {
        self.work.get(&organisation).map_or(0, |work| (work.decayed(now) * 1e3) as u64)
    }

    fn evict(&mut self, now: Time) {
        self.work.retain(|_, work| work.decayed(now) >= MIN_WORK_MS);
        while self.work.len() >= MAX_ORGANISATIONS {
            let by_work = |work: &Work| work.decayed(now);
            let least = self.work.iter().min_by(|a, b| by_work(a.1).total_cmp(&by_work(b.1)));
            let Some(organisation) = least.map(|(organisation, _)| *organisation) else {
                return;
            };
            self.work.remove(&organisation);
        }
    }
}
