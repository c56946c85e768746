//! Whether one request is the cause of the ends of its servers.

/// Servers that may end as they begin to answer a request before it is abandoned.
const MAX_BEGUN: u32 = 2;

/// After this number of servers that ended before they began to answer a request, it is taken for the cause.
const MAX_WAITING: u32 = 2;

/// The servers that ended with attempts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Servers that ended as they began to answer.
    begun: u32,
    /// Servers that ended before they began to answer.
    waiting: u32,
    /// Whether an answer got past its beginning, so that the request is not the cause of any end.
    is_cleared: bool,
}

impl Suspicion {
    /// Records that an answer got past its beginning.
    pub fn clear(&mut self) {
        self.is_cleared = true;
    }

    /// Whether an answer got past its beginning.
    pub fn is_cleared(&self) -> bool {
        self.is_cleared
    }

    /// Records a server that ended with an attempt; returns whether that is evidence against the request's prompt.
    pub fn record_lost(&mut self, has_begun: bool) -> bool {
        if self.is_cleared {
            return false;
        }
        if has_begun {
            self.begun += 1;
        } else {
            self.waiting += 1;
        }
        has_begun || self.waiting > MAX_WAITING
    }

    /// Whether the request is not to be sent again.
    pub fn is_convincing(&self) -> bool {
        self.begun >= MAX_BEGUN
    }
}
