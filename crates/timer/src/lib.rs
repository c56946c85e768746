//! The timer service: one monotonic clock a process, to which its parts subscribe.
//!
//! Built on the runtime's clock, so that tests can pause and advance it.

use base::prelude::*;
use tokio::time::{Instant, Interval, MissedTickBehavior, interval, sleep_until};

/// The clock of a process and the source of its ticks.
#[derive(Clone, Copy, Debug)]
pub struct Timer {
    start: Instant,
}

impl Timer {
    /// A timer whose clock starts at zero now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time since the start.
    pub fn now(&self) -> Millis {
        let elapsed = self.start.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Waits until the clock shows `at`; for [`Millis::MAX`], for ever.
    pub async fn at(&self, at: Millis) {
        if at == Millis::MAX {
            return std::future::pending().await;
        }
        sleep_until(self.start + at.duration()).await;
    }

    /// Waits for a span of time.
    pub async fn after(&self, span: Millis) {
        tokio::time::sleep(span.duration()).await;
    }

    /// Subscribes to a tick each `period`; ticks missed during a pause are not made up for.
    pub fn every(&self, period: Millis) -> Ticks {
        let mut interval = interval(period.duration());
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ticks {
            timer: *self,
            interval,
        }
    }
}

/// A subscription to regular ticks.
#[derive(Debug)]
pub struct Ticks {
    timer: Timer,
    interval: Interval,
}

impl Ticks {
    /// Waits for the next tick and returns the time; the first comes at once.
    pub async fn next(&mut self) -> Millis {
        self.interval.tick().await;
        self.timer.now()
    }
}
