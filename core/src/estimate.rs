//! Learned output lengths.
//!
//! Output lengths are unknown in advance. The mean of what an organisation's requests of a class
//! produced lately is the estimate; the class's mean serves until the organisation has a record.

use std::collections::BTreeMap;

use crate::config::ClassKey;
use crate::config::OrgKey;

const INITIAL_TOKENS: f32 = 128.0;
const MIN_STEP: f32 = 0.05;
const MIN_SAMPLES: u32 = 8;

#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f32,
    count: u32,
}

impl Mean {
    fn add(&mut self, tokens: f32) {
        self.count = self.count.saturating_add(1);
        let step = (1.0 / self.count as f32).max(MIN_STEP);
        self.value += (tokens - self.value) * step;
    }
}

/// Mean output tokens by class and organisation.
#[derive(Debug, Default)]
pub struct Estimator {
    by_class: BTreeMap<ClassKey, Mean>,
    by_org: BTreeMap<(ClassKey, OrgKey), Mean>,
}

impl Estimator {
    /// Tokens that a request is expected to produce, at least 1.
    pub fn output_tokens(&self, class: ClassKey, org: OrgKey) -> u32 {
        let own = self.by_org.get(&(class, org)).filter(|m| m.count >= MIN_SAMPLES);
        let mean = own.or_else(|| self.by_class.get(&class));
        mean.map_or(INITIAL_TOKENS, |m| m.value).max(1.0) as u32
    }

    /// Takes the length of a whole answer in.
    pub fn add(&mut self, class: ClassKey, org: OrgKey, tokens: u32) {
        let first = Mean { value: INITIAL_TOKENS, count: 0 };
        self.by_class.entry(class).or_insert(first).add(tokens as f32);
        self.by_org.entry((class, org)).or_insert(first).add(tokens as f32);
    }
}
