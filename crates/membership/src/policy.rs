//! The times by which members are judged.

use base::prelude::*;

/// The times by which members are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The least time between two heartbeats to one peer.
    pub heartbeat_min: Millis,
    /// What each peer of the data centre adds to that time, so that the traffic stays bounded.
    pub per_peer: Millis,
    /// The least time between two questions to one backend server.
    pub poll_min: Millis,
    /// What each watched backend server adds to that time.
    pub per_backend: Millis,
    /// A peer not heard of for so many of its own periods is suspect.
    pub suspect_periods: u64,
    /// A peer not heard of for so many of its own periods is dead.
    pub dead_periods: u64,
    /// A backend server that left so many questions unanswered is dead.
    pub dead_polls: u32,
    /// By how much the host list lags at most.
    pub list_lag: Millis,
    /// What a watcher says of a backend server is no longer believed after this silence.
    pub claim_ttl: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            heartbeat_min: Millis(500),
            per_peer: Millis(70),
            poll_min: Millis(250),
            per_backend: Millis(100),
            suspect_periods: 3,
            dead_periods: 8,
            dead_polls: 3,
            list_lag: Millis(10_000),
            claim_ttl: Millis(10_000),
        }
    }
}

impl Policy {
    /// The time between two heartbeats to one peer among `peers`.
    pub fn heartbeat_period(&self, peers: usize) -> Millis {
        self.heartbeat_min.max(scaled(self.per_peer, peers as u64))
    }

    /// The time between two questions to one of `watched` backend servers.
    pub fn poll_period(&self, watched: usize) -> Millis {
        self.poll_min.max(scaled(self.per_backend, watched as u64))
    }

    /// The silence after which a peer with this period is suspect.
    pub fn suspect_after(&self, period: Millis) -> Millis {
        scaled(period, self.suspect_periods)
    }

    /// The silence after which a peer with this period is dead.
    pub fn dead_after(&self, period: Millis) -> Millis {
        scaled(period, self.dead_periods)
    }
}

/// A span taken `count` times.
pub(crate) fn scaled(span: Millis, count: u64) -> Millis {
    Millis(span.0.saturating_mul(count))
}
