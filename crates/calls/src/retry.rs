//! Attempts of an idempotent call and the retry budget of its service.

use base::prelude::*;

/// Tokens that one retry takes from a [`RetryBudget`]; a call adds its percentage in tokens.
const RETRY_TOKENS: u32 = 100;

/// Most retries that a budget holds, also when it is new.
const MAX_SAVED: u32 = 10;

/// Token bucket shared by all calls of a service; limits retries to a percentage of the calls.
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
    /// Adds the tokens for a call, which earns this percentage of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.tokens = (self.tokens + percent).min(MAX_SAVED * RETRY_TOKENS);
    }

    /// Takes the tokens of one retry; returns `false` if there are too few.
    pub fn spend(&mut self) -> bool {
        let is_allowed = self.tokens >= RETRY_TOKENS;
        if is_allowed {
            self.tokens -= RETRY_TOKENS;
        }
        is_allowed
    }
}

/// State of the attempts of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempts {
    count: u32,
    left: u32,
    time_limit: Millis,
    deadline: Millis,
    avoid: Vec<BackendId>,
    has_timeout: bool,
}

/// Parameters of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Time at which it times out.
    pub deadline: Millis,
    /// Backend servers whose attempts failed; selected only if there is no other.
    pub avoid: Vec<BackendId>,
    /// Whether it must not reuse an open connection, because an earlier attempt timed out.
    pub new_connection: bool,
}

/// Cause of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The server refused the call, no server was available, or the connection failed.
    Error,
    /// No answer arrived before the deadline of the attempt.
    Timeout,
}

impl Attempts {
    /// A call with at most `limit` attempts (at least one), each of at most `time_limit`.
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

    /// Next attempt; `None` if the attempts, the time or the retry budget is exhausted.
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

    /// Records that an attempt at `backend` failed.
    pub fn record_failure(&mut self, backend: BackendId, failure: Failure) {
        self.has_timeout |= failure == Failure::Timeout;
        self.avoid.push(backend);
    }

    /// Number of attempts made so far.
    pub fn count(&self) -> u32 {
        self.count
    }
}
