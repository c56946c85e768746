//! The requests of one workspace under one profile, and what a router keeps of each of the two.

use std::collections::VecDeque;

use base::prelude::*;
use serde::Serialize;

use crate::controller::{ProfileBounds, WorkspaceBounds};

/// The unit of the virtual time, so that a share divides it without loss.
const COST_SCALE: u64 = 1_000;

/// The weight of the newest holding time, as a divisor.
const SMOOTHING: u64 = 8;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Waiting {
    pub(crate) ticket: u64,
    pub(crate) cost: u64,
    pub(crate) deadline: Millis,
}

/// The requests of one workspace under one profile.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Flow {
    /// The virtual time at which its next request is due.
    #[serde(rename = "due")]
    pub(crate) next_start: u64,
    pub(crate) queue: VecDeque<Waiting>,
}

impl Flow {
    /// Moves the lane on by one request and returns the virtual time at which it started.
    pub(crate) fn charge(&mut self, virtual_time: u64, cost: u64, share: u32) -> u64 {
        let start = self.next_start.max(virtual_time);
        self.next_start = start + cost.max(1) * COST_SCALE / u64::from(share.max(1));
        start
    }
}

/// All that runs or waits under one profile.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ProfileState {
    pub(crate) bounds: ProfileBounds,
    pub(crate) running: u64,
    pub(crate) waiting: u64,
    /// The virtual time.
    #[serde(rename = "time")]
    pub(crate) virtual_time: u64,
    /// How long a request holds its place, smoothed; 0 if none has ended.
    #[serde(rename = "hold")]
    pub(crate) hold_time: Millis,
}

impl ProfileState {
    /// A request has ended after holding its place so long.
    pub(crate) fn record_end(&mut self, hold_time: Millis) {
        self.running = self.running.saturating_sub(1);
        self.hold_time = match self.hold_time {
            Millis(0) => hold_time,
            Millis(old) => Millis((old * (SMOOTHING - 1) + hold_time.0) / SMOOTHING),
        };
    }

    /// The time until `ahead` more places have been freed.
    pub(crate) fn wait_time(&self, ahead: u64) -> Millis {
        Millis(self.hold_time.0 * ahead / self.bounds.capacity.max(1))
    }
}

/// All that runs in one workspace.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct WorkspaceState {
    pub(crate) bounds: WorkspaceBounds,
    pub(crate) running: u64,
}

impl WorkspaceState {
    /// Whether it may run one more.
    pub(crate) fn is_below_limit(&self) -> bool {
        self.bounds.limit == 0 || self.running < self.bounds.limit
    }
}
