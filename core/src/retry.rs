//! The retry budget: retries may add only a share to the first tries.
//!
//! Without a budget a failing group multiplies its own load: every failure brings a retry, and
//! retries bring failures. The budget keeps the added load under a tenth.

const TOKENS_PER_REQUEST: f64 = 0.1;
const MAX_TOKENS: f64 = 20.0;

/// Tokens earned by first tries and spent by retries.
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
    /// Counts a first try.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes one retry out; `false` if the budget is spent.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
