//! Monotonic clock of a process, with timers and periodic ticks.
//!
//! Built on the clock of the Tokio runtime, so that tests can pause and advance it.

use base::prelude::*;
use tokio::time::{Instant, Interval, MissedTickBehavior, interval, sleep_until};

/// Clock that starts at zero; copies share their start.
#[derive(Clone, Copy, Debug)]
pub struct Timer {
    start: Instant,
}

impl Timer {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start of the clock.
    pub fn now(&self) -> Millis {
        let elapsed = self.start.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Waits until the clock reaches `at`; never completes for [`Millis::MAX`].
    pub async fn at(&self, at: Millis) {
        if at == Millis::MAX {
            return std::future::pending().await;
        }
        sleep_until(self.start + at.duration()).await;
    }

    /// Waits for `span`.
    pub async fn after(&self, span: Millis) {
        tokio::time::sleep(span.duration()).await;
    }

    /// Ticks every `period`; after a late tick the next is due a full `period` later, and missed
    /// ticks are not made up for.
    pub fn every(&self, period: Millis) -> Ticks {
        let mut interval = interval(period.duration());
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ticks {
            timer: *self,
            interval,
        }
    }
}

/// Periodic ticks of a [`Timer`].
#[derive(Debug)]
pub struct Ticks {
    timer: Timer,
    interval: Interval,
}

impl Ticks {
    /// Waits for the next tick and returns the current time; the first tick is immediate.
    pub async fn next(&mut self) -> Millis {
        self.interval.tick().await;
        self.timer.now()
    }
}
