//! The times by which members are judged.

use base::prelude::*;

/// The times by which members are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The least time between two heartbeats to one peer.
    pub beat: Millis,
    /// What each peer of the data centre adds to that time, so that the traffic stays bounded.
    pub beat_each: Millis,
    /// The least time between two questions to one backend server.
    pub poll: Millis,
    /// What each watched backend server adds to that time.
    pub poll_each: Millis,
    /// A peer not heard of for so many of its own periods is suspect.
    pub suspect_beats: u64,
    /// A peer not heard of for so many of its own periods is dead.
    pub dead_beats: u64,
    /// A backend server that left so many questions unanswered is dead.
    pub dead_polls: u32,
    /// By how much the host list lags at most.
    pub list_lag: Millis,
    /// What a watcher says of a backend server is no longer believed after this silence.
    pub stale: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            beat: Millis(500),
            beat_each: Millis(70),
            poll: Millis(250),
            poll_each: Millis(100),
            suspect_beats: 3,
            dead_beats: 8,
            dead_polls: 3,
            list_lag: Millis(10_000),
            stale: Millis(10_000),
        }
    }
}

impl Policy {
    /// The time between two heartbeats to one peer among `peers`.
    pub fn beat_period(&self, peers: usize) -> Millis {
        self.beat.max(times(self.beat_each, peers as u64))
    }

    /// The time between two questions to one of `watched` backend servers.
    pub fn poll_period(&self, watched: usize) -> Millis {
        self.poll.max(times(self.poll_each, watched as u64))
    }

    /// The silence after which a peer with this period is suspect.
    pub fn suspect_after(&self, period: Millis) -> Millis {
        times(period, self.suspect_beats)
    }

    /// The silence after which a peer with this period is dead.
    pub fn dead_after(&self, period: Millis) -> Millis {
        times(period, self.dead_beats)
    }
}

/// A span taken `count` times.
pub(crate) fn times(span: Millis, count: u64) -> Millis {
    Millis(span.0.saturating_mul(count))
}
