//! Limits retries to a share of the first attempts.
//!
//! Without a limit a failing group multiplies its own load: every failure causes a retry, and
//! retries cause further failures. The budget keeps the added load below a tenth of the first
//! attempts, except for an initial burst.

/// Retries earned by each first attempt.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Upper bound on saved retries, and their number at the start.
const MAX_TOKENS: f64 = 20.0;

/// Token bucket that is filled by first attempts and emptied by retries.
#[derive(Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { tokens: MAX_TOKENS }
    }
}

impl Budget {
    /// Adds the share of a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; `false` if none is left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
