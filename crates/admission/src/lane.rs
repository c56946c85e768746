//! The requests of one workspace under one profile, and what a router keeps of each of the two.

use std::collections::VecDeque;

use base::prelude::*;
use serde::Serialize;

use crate::gate::{ClassBounds, SpaceBounds};

/// The unit of the virtual time, so that a share divides it without loss.
const UNIT: u64 = 1_000;

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
pub(crate) struct Lane {
    /// The virtual time at which its next request is due.
    pub(crate) due: u64,
    pub(crate) queue: VecDeque<Waiting>,
}

impl Lane {
    /// Moves the lane on by one request and returns the virtual time at which it started.
    pub(crate) fn charge(&mut self, time: u64, cost: u64, share: u32) -> u64 {
        let start = self.due.max(time);
        self.due = start + cost.max(1) * UNIT / u64::from(share.max(1));
        start
    }
}

/// All that runs or waits under one profile.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Class {
    pub(crate) bounds: ClassBounds,
    pub(crate) running: u64,
    pub(crate) waiting: u64,
    /// The virtual time.
    pub(crate) time: u64,
    /// How long a request holds its place, smoothed; 0 if none has ended.
    pub(crate) hold: Millis,
}

impl Class {
    /// A request has ended after holding its place so long.
    pub(crate) fn ended(&mut self, held: Millis) {
        self.running = self.running.saturating_sub(1);
        self.hold = match self.hold {
            Millis(0) => held,
            Millis(old) => Millis((old * (SMOOTHING - 1) + held.0) / SMOOTHING),
        };
    }

    /// The time until `ahead` more places have been freed.
    pub(crate) fn wait(&self, ahead: u64) -> Millis {
        Millis(self.hold.0 * ahead / self.bounds.capacity.max(1))
    }
}

/// All that runs in one workspace.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Space {
    pub(crate) bounds: SpaceBounds,
    pub(crate) running: u64,
}

impl Space {
    /// Whether it may run one more.
    pub(crate) fn has_room(&self) -> bool {
        self.bounds.limit == 0 || self.running < self.bounds.limit
    }
}
