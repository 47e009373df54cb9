//! Estimates which prompt prefixes engines have cached, from the prompts that were sent to them.

use std::collections::BTreeMap;

use crate::gateway::submission::Part;
use crate::time::Span;
use crate::time::Time;

/// Time for which a part is assumed to stay cached after its last use. Engines evict the least
/// recently used parts; at twice the usual load of long prompts, a cache of 380,000 tokens is
/// replaced in about half a minute.
const CACHE_LIFETIME: Span = Span::secs(25);
/// Upper bound on the parts stored per engine, and on those whose popularity is estimated.
const MAX_PARTS: usize = 2_048;

/// Parts that one engine has prefilled for this gateway, with the time of their last use.
#[derive(Debug, Default)]
pub struct Cache {
    parts: BTreeMap<u64, Time>,
}

impl Cache {
    /// Records that the parts of a prompt are sent to the engine.
    pub fn record(&mut self, now: Time, parts: &[Part]) {
        for part in parts {
            self.parts.insert(part.id, now);
        }
        if self.parts.len() > MAX_PARTS {
            self.prune();
        }
    }

    /// Drops the less recently used half.
    fn prune(&mut self) {
        let mut times: Vec<Time> = self.parts.values().copied().collect();
        times.sort();
        let median = times[times.len() / 2];
        self.parts.retain(|_, at| *at > median);
    }

    /// Length of the prefix of a prompt that is assumed to be cached, in tokens.
    pub fn cached_tokens(&self, now: Time, parts: &[Part]) -> u64 {
        self.tokens_used_within(now, CACHE_LIFETIME, parts)
    }

    /// Length of the prefix of a prompt whose parts were all sent within the last `age`, in tokens.
    pub fn tokens_used_within(&self, now: Time, age: Span, parts: &[Part]) -> u64 {
        let is_cached = |p: &&Part| self.parts.get(&p.id).is_some_and(|at| now.since(*at) < age);
        parts.iter().take_while(is_cached).map(|p| u64::from(p.tokens)).sum()
    }
}

/// Rates of use of prompt parts, from which the parts that every engine has cached are derived.
#[derive(Debug, Default)]
pub struct Popularity {
    parts: BTreeMap<u64, Uses>,
}

#[derive(Clone, Copy, Debug)]
struct Uses {
    /// Moving average of the uses per second, as of the last use.
    rate: f64,
    last: Time,
}

/// Time constant of the moving average of uses.
const USES_TIME_CONSTANT: Span = Span::secs(4);
/// Uses per engine and second, over all gateways, from which a part counts as common. At one use in
/// two seconds, it stays cached even on the engines that evict fastest.
const COMMON_RATE: f64 = 0.5;

impl Popularity {
    /// Records a use of each part.
    pub fn record(&mut self, now: Time, parts: &[Part]) {
        for part in parts {
            let uses = self.parts.entry(part.id).or_insert(Uses { rate: 0.0, last: now });
            uses.rate = uses.rate_at(now) + 1.0 / USES_TIME_CONSTANT.as_secs_f64();
            uses.last = now;
        }
        if self.parts.len() > MAX_PARTS {
            self.parts.retain(|_, uses| uses.rate_at(now) > 0.1);
        }
        if self.parts.len() > MAX_PARTS {
            self.parts.clear();
        }
    }

    /// Length of the prefix of a prompt that each of the `engines` is assumed to have cached, in
    /// tokens. Each of the `gateways` is assumed to record an equal share of all uses.
    pub fn common_tokens(&self, now: Time, parts: &[Part], engines: usize, gateways: usize) -> u64 {
        let min_rate = COMMON_RATE * engines.max(1) as f64 / gateways.max(1) as f64;
        let is_common =
            |p: &&Part| self.parts.get(&p.id).is_some_and(|u| u.rate_at(now) >= min_rate);
        parts.iter().take_while(is_common).map(|p| u64::from(p.tokens)).sum()
    }
}

impl Uses {
    /// Uses per second, decayed to `now`.
    fn rate_at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.last).as_secs_f64();
        self.rate * (-elapsed / USES_TIME_CONSTANT.as_secs_f64()).exp()
    }
}
