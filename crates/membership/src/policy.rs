//! Intervals and timeouts of heartbeats, polls and reports.

use base::prelude::*;

/// Intervals and timeouts of heartbeats, polls and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Minimum period of heartbeats to one peer.
    pub heartbeat_min: Millis,
    /// The heartbeat period is at least this times the peers of the data centre, which bounds the traffic.
    pub per_peer: Millis,
    /// Minimum period of polls of one backend server.
    pub poll_min: Millis,
    /// The poll period is at least this times the backend servers that the agent polls.
    pub per_backend: Millis,
    /// Heartbeat periods without a message after which a peer is suspect.
    pub suspect_periods: u64,
    /// Heartbeat periods without a message after which a peer is dead.
    pub dead_periods: u64,
    /// Consecutive unanswered polls after which a backend server is dead.
    pub dead_polls: u32,
    /// Maximum lag of the host list.
    pub list_lag: Millis,
    /// Minimum time without confirmation before an agent's claim on a backend server is disregarded.
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
    /// The heartbeat period of an agent with `peers` peers in its data centre.
    pub fn heartbeat_period(&self, peers: usize) -> Millis {
        self.heartbeat_min.max(scaled(self.per_peer, peers as u64))
    }

    /// The poll period of an agent that polls `watched` backend servers.
    pub fn poll_period(&self, watched: usize) -> Millis {
        self.poll_min.max(scaled(self.per_backend, watched as u64))
    }

    /// Time without a message after which a peer with this heartbeat period is suspect.
    pub fn suspect_after(&self, period: Millis) -> Millis {
        scaled(period, self.suspect_periods)
    }

    /// Time without a message after which a peer with this heartbeat period is dead.
    pub fn dead_after(&self, period: Millis) -> Millis {
        scaled(period, self.dead_periods)
    }
}

/// `span` times `count`, saturating.
pub(crate) fn scaled(span: Millis, count: u64) -> Millis {
    Millis(span.0.saturating_mul(count))
}
