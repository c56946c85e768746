//! Decisions of a host that has been told to stop.

use base::prelude::*;

/// Part of the grace period, in percent, in which requests may start whatever their time limit is: the load balancer and
/// callers with open connections do not know yet that the host stops.
const START_PERCENT: u64 = 30;

/// Part of the grace period, in percent, after which requests that are still running are answered, so that the answers are
/// written before the process ends.
const ANSWER_PERCENT: u64 = 85;

/// Time between the signal to stop and the end of the process by force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracePeriod {
    began: Millis,
    length: Millis,
}

impl GracePeriod {
    /// A period of `length` that began at `began`.
    pub fn new(began: Millis, length: Millis) -> Self {
        Self { began, length }
    }

    /// When all requests must have an answer.
    pub fn answers_due(&self) -> Millis {
        self.began + Millis(self.length.0 * ANSWER_PERCENT / 100)
    }

    /// Whether a request whose time limit ends at `deadline` may be sent to a server now.
    pub fn may_start(&self, now: Millis, deadline: Millis) -> bool {
        let early = Millis(self.length.0 * START_PERCENT / 100);
        now.since(self.began) <= early || deadline <= self.answers_due()
    }
}
