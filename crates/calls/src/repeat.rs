//! Retries of a call that may repeat.

use base::prelude::*;

/// The tokens that one retry takes from a [`Budget`]; a call gives as many as its percentage.
const RETRY_TOKENS: u32 = 100;

/// The most retries that a budget saves up.
const MAX_SAVED: u32 = 10;

/// What all calls of a service share: retries in proportion to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    tokens: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            tokens: MAX_SAVED * RETRY_TOKENS,
        }
    }
}

impl Budget {
    /// Counts a call, which earns this percentage of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.tokens = (self.tokens + percent).min(MAX_SAVED * RETRY_TOKENS);
    }

    /// Takes a retry, if there is one.
    pub fn take(&mut self) -> bool {
        let is_enough = self.tokens >= RETRY_TOKENS;
        if is_enough {
            self.tokens -= RETRY_TOKENS;
        }
        is_enough
    }
}

/// The tries of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Repeat {
    tries: u32,
    left: u32,
    limit: Millis,
    deadline: Millis,
    avoid: Vec<BackendId>,
    is_silent: bool,
}

/// How a try is to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// When it is given up.
    pub until: Millis,
    /// The servers that failed, taken only if there is no other.
    pub avoid: Vec<BackendId>,
    /// Whether no connection that was open before may be used.
    pub is_fresh: bool,
}

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The server refused, or the connection broke.
    Broke,
    /// Nothing came in time.
    Silent,
}

impl Repeat {
    /// A call with at most this many tries of at most this length.
    pub fn new(tries: u32, limit: Millis, deadline: Millis) -> Self {
        Self {
            tries: 0,
            left: tries.max(1),
            limit,
            deadline,
            avoid: Vec::new(),
            is_silent: false,
        }
    }

    /// The next try, if there is time and budget for one.
    pub fn next(&mut self, now: Millis, budget: &mut Budget) -> Option<Try> {
        if self.left == 0 || now >= self.deadline {
            return None;
        }
        if self.tries > 0 && !budget.take() {
            return None;
        }
        self.tries += 1;
        self.left -= 1;
        Some(Try {
            until: (now + self.limit).min(self.deadline),
            avoid: self.avoid.clone(),
            is_fresh: self.is_silent,
        })
    }

    /// Notes how a try at `backend` failed.
    pub fn fail(&mut self, backend: BackendId, failure: Failure) {
        self.is_silent |= failure == Failure::Silent;
        self.avoid.push(backend);
    }

    /// How many tries were made.
    pub fn tries(&self) -> u32 {
        self.tries
    }
}
