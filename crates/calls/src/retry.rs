//! Retries of a call that may repeat.

use base::prelude::*;

/// The tokens that one retry takes from a [`RetryBudget`]; a call gives as many as its percentage.
const RETRY_TOKENS: u32 = 100;

/// The most retries that a budget saves up.
const MAX_SAVED: u32 = 10;

/// What all calls of a service share: retries in proportion to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: MAX_SAVED * RETRY_TOKENS,
        }
    }
}

impl RetryBudget {
    /// Counts a call, which earns this percentage of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.tokens = (self.tokens + percent).min(MAX_SAVED * RETRY_TOKENS);
    }

    /// Takes a retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let is_allowed = self.tokens >= RETRY_TOKENS;
        if is_allowed {
            self.tokens -= RETRY_TOKENS;
        }
        is_allowed
    }
}

/// The attempts of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempts {
    count: u32,
    left: u32,
    time_limit: Millis,
    deadline: Millis,
    avoid: Vec<BackendId>,
    has_timeout: bool,
}

/// How a try is to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// When it is given up.
    pub deadline: Millis,
    /// The servers that failed, taken only if there is no other.
    pub avoid: Vec<BackendId>,
    /// Whether no connection that was open before may be used.
    pub new_connection: bool,
}

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The server refused, or the connection broke.
    Error,
    /// Nothing came in time.
    Timeout,
}

impl Attempts {
    /// A call with at most this many attempts of at most this length.
    pub fn new(limit: u32, time_limit: Millis, deadline: Millis) -> Self {
        Self {
            count: 0,
            left: limit.max(1),
            time_limit,
            deadline,
            avoid: Vec::new(),
            has_timeout: false,
        }
    }

    /// The next try, if there is time and budget for one.
    pub fn next(&mut self, now: Millis, budget: &mut RetryBudget) -> Option<Attempt> {
        if self.left == 0 || now >= self.deadline {
            return None;
        }
        if self.count > 0 && !budget.spend() {
            return None;
        }
        self.count += 1;
        self.left -= 1;
        Some(Attempt {
            deadline: (now + self.time_limit).min(self.deadline),
            avoid: self.avoid.clone(),
            new_connection: self.has_timeout,
        })
    }

    /// Notes how a try at `backend` failed.
    pub fn record_failure(&mut self, backend: BackendId, failure: Failure) {
        self.has_timeout |= failure == Failure::Timeout;
        self.avoid.push(backend);
    }

    /// How many attempts were made.
    pub fn count(&self) -> u32 {
        self.count
    }
}
