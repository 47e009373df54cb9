//! What engines have read before and still have cached.

use std::collections::BTreeMap;

use crate::gateway::submission::Part;
use crate::time::Span;
use crate::time::Time;

/// How long a part is taken to stay cached after its last use. Engines evict the least recently
/// used parts; at twice the usual load of long prompts a cache of 380,000 tokens turns over in
/// about half a minute.
const KEPT: Span = Span::secs(25);
/// Parts remembered per engine.
const MOST_PARTS: usize = 2_048;

/// Parts that one engine has read for this gateway, with the time of their last use.
#[derive(Debug, Default)]
pub struct Cache {
    parts: BTreeMap<u64, Time>,
}

impl Cache {
    /// Notes that the engine reads a prompt.
    pub fn record(&mut self, now: Time, parts: &[Part]) {
        for part in parts {
            self.parts.insert(part.id, now);
        }
        if self.parts.len() > MOST_PARTS {
            self.prune();
        }
    }

    /// Drops the older half.
    fn prune(&mut self) {
        let mut times: Vec<Time> = self.parts.values().copied().collect();
        times.sort();
        let middle = times[times.len() / 2];
        self.parts.retain(|_, at| *at > middle);
    }

    /// Tokens at the head of a prompt that are taken to be cached.
    pub fn cached_tokens(&self, now: Time, parts: &[Part]) -> u64 {
        let kept = |p: &&Part| self.parts.get(&p.id).is_some_and(|at| now.since(*at) < KEPT);
        parts.iter().take_while(kept).map(|p| u64::from(p.tokens)).sum()
    }
}

/// Parts that so many calls share that every engine has read them lately.
#[derive(Debug, Default)]
pub struct Popularity {
    parts: BTreeMap<u64, Uses>,
}

#[derive(Clone, Copy, Debug)]
struct Uses {
    rate: f64,
    last: Time,
}

/// Time over which the uses of a part are averaged.
const USES_OVER: Span = Span::secs(4);
/// Uses per engine and second, over all gateways, from which on a part counts as common: at one in
/// two seconds it stays cached even where caches turn over fastest.
const COMMON_RATE: f64 = 0.5;

impl Popularity {
    /// Notes a use of the parts.
    pub fn record(&mut self, now: Time, parts: &[Part]) {
        for part in parts {
            let uses = self.parts.entry(part.id).or_insert(Uses { rate: 0.0, last: now });
            uses.rate = uses.at(now) + 1.0 / USES_OVER.as_secs_f64();
            uses.last = now;
        }
        if self.parts.len() > MOST_PARTS {
            self.parts.retain(|_, uses| uses.at(now) > 0.1);
        }
        if self.parts.len() > MOST_PARTS {
            self.parts.clear();
        }
    }

    /// Tokens at the head of a prompt that every one of `engines` has cached, as one of `gateways`
    /// sees it.
    pub fn common_tokens(&self, now: Time, parts: &[Part], engines: usize, gateways: usize) -> u64 {
        let least = COMMON_RATE * engines.max(1) as f64 / gateways.max(1) as f64;
        let common = |p: &&Part| self.parts.get(&p.id).is_some_and(|u| u.at(now) >= least);
        parts.iter().take_while(common).map(|p| u64::from(p.tokens)).sum()
    }
}

impl Uses {
    /// Uses in a second, as of `now`.
    fn at(&self, now: Time) -> f64 {
        let ago = now.since(self.last).as_secs_f64();
        self.rate * (-ago / USES_OVER.as_secs_f64()).exp()
    }
}
