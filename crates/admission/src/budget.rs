//! A bound on retries as a part of the first tries.

/// The retries allowed at once, besides those earned.
const MAX_SAVED: u64 = 10;

/// The price of one retry, in the unit in which first tries earn.
const RETRY_TOKENS: u64 = 100;

/// Retries earned by first tries.
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
    /// A first try earns `percent` of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.tokens = (self.tokens + u64::from(percent)).min(MAX_SAVED * RETRY_TOKENS);
    }

    /// Takes one retry, if there is one.
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
