//! State of a router for each flow (a workspace under a profile), profile and workspace.

use std::collections::VecDeque;

use base::prelude::*;
use serde::Serialize;

use crate::controller::{ProfileBounds, WorkspaceBounds};

/// Virtual time per unit of cost; keeps precision when it is divided by a share.
const COST_SCALE: u64 = 1_000;

/// Divisor of the moving average: the newest hold time has a weight of 1/8.
const SMOOTHING: u64 = 8;

/// Waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Waiting {
    pub(crate) ticket: u64,
    pub(crate) cost: u64,
    pub(crate) deadline: Millis,
}

/// Waiting requests of one workspace under one profile.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Flow {
    /// Start tag: the earliest virtual time at which its next request starts.
    #[serde(rename = "due")]
    pub(crate) next_start: u64,
    pub(crate) queue: VecDeque<Waiting>,
}

impl Flow {
    /// Advances the start tag by the cost of one request, and returns its virtual start time.
    pub(crate) fn charge(&mut self, virtual_time: u64, cost: u64, share: u32) -> u64 {
        let start = self.next_start.max(virtual_time);
        self.next_start = start + cost.max(1) * COST_SCALE / u64::from(share.max(1));
        start
    }
}

/// Counts of running and waiting requests of one profile.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ProfileState {
    pub(crate) bounds: ProfileBounds,
    pub(crate) running: u64,
    pub(crate) waiting: u64,
    /// Virtual time: the highest start tag among the started requests.
    #[serde(rename = "time")]
    pub(crate) virtual_time: u64,
    /// Moving average of the time for which a request occupies a slot; 0 until one has ended.
    #[serde(rename = "hold")]
    pub(crate) hold_time: Millis,
}

impl ProfileState {
    /// Records the end of a request that occupied a slot for `hold_time`.
    pub(crate) fn record_end(&mut self, hold_time: Millis) {
        self.running = self.running.saturating_sub(1);
        self.hold_time = match self.hold_time {
            Millis(0) => hold_time,
            Millis(old) => Millis((old * (SMOOTHING - 1) + hold_time.0) / SMOOTHING),
        };
    }

    /// Expected time until `ahead` more slots are freed.
    pub(crate) fn wait_time(&self, ahead: u64) -> Millis {
        Millis(self.hold_time.0 * ahead / self.bounds.capacity.max(1))
    }
}

/// Count of running requests of one workspace, under all profiles.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct WorkspaceState {
    pub(crate) bounds: WorkspaceBounds,
    pub(crate) running: u64,
}

impl WorkspaceState {
    /// Whether one more request may run.
    pub(crate) fn is_below_limit(&self) -> bool {
        self.bounds.limit == 0 || self.running < self.bounds.limit
    }
}
