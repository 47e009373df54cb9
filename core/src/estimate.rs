//! Estimates the output lengths of requests.
//!
//! Output lengths are unknown in advance. The estimate is a moving average over the recent answers
//! of an organisation in a class, or of the whole class until the organisation has enough answers.

use std::collections::BTreeMap;

use crate::config::ClassKey;
use crate::config::OrgKey;

/// Mean output tokens assumed before the first answer.
const INITIAL_TOKENS: f32 = 128.0;
/// Lower bound on the weight of a new sample.
const MIN_STEP: f32 = 0.05;
/// Number of answers from which an organisation's own mean is used.
const MIN_SAMPLES: u32 = 8;

/// Moving average with its number of samples.
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
    /// Expected output tokens of a request, at least 1.
    pub fn output_tokens(&self, class: ClassKey, org: OrgKey) -> u32 {
        let own = self.by_org.get(&(class, org)).filter(|m| m.count >= MIN_SAMPLES);
        let mean = own.or_else(|| self.by_class.get(&class));
        mean.map_or(INITIAL_TOKENS, |m| m.value).max(1.0) as u32
    }

    /// Adds the length of a whole answer, in tokens.
    pub fn add(&mut self, class: ClassKey, org: OrgKey, tokens: u32) {
        let first = Mean { value: INITIAL_TOKENS, count: 0 };
        self.by_class.entry(class).or_insert(first).add(tokens as f32);
        self.by_org.entry((class, org)).or_insert(first).add(tokens as f32);
    }
}
