//! Limit on retries as a percentage of first attempts.

/// Most retries that a budget holds, also when it is new.
const MAX_SAVED: u64 = 10;

/// Tokens that one retry costs; a first attempt adds its percentage in tokens.
const RETRY_TOKENS: u64 = 100;

/// Token bucket that first attempts fill and retries drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    tokens: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: MAX_SAVED * RETRY_TOKENS,
        }
    }
}

impl RetryBudget {
    /// Adds the tokens for a first attempt, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.tokens = (self.tokens + u64::from(percent)).min(MAX_SAVED * RETRY_TOKENS);
    }

    /// Takes the tokens of one retry; returns `false` if there are too few.
    pub fn spend(&mut self) -> bool {
        match self.tokens.checked_sub(RETRY_TOKENS) {
            Some(rest) => {
                self.tokens = rest;
                true
            }
            None => false,
        }
    }
}
