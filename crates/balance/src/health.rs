//! What the outcomes of its requests tell of a server.

use base::prelude::*;
use serde::Serialize;

/// The failures in a row from which a server is left out for a while.
const EJECTION_FAILURES: u64 = 2;

/// The first time for which a failing server is left out; it doubles with each further failure.
const FIRST_EJECTION: Millis = Millis(500);

/// The longest time for which a failing server is left out.
const MAX_EJECTION: Millis = Millis(16_000);

/// The time over which a server that has returned comes to its whole share.
const RAMP_TIME: Millis = Millis(5_000);

/// The least share of a server that has just returned, in thousandths.
const MIN_RAMP_PERMILLE: u64 = 50;

/// The weight of the newest measurement of the time to the first token, as a divisor.
const SMOOTHING_DIVISOR: u64 = 4;

/// The deviations above the mean within which almost every first token comes.
const BOUND_DEVIATIONS: u64 = 4;

/// After this time without a measurement the last one counts half.
const LATENCY_HALF_LIFE: Millis = Millis(5_000);

/// The state of one server; small enough to be held in atomics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Health {
    /// The smoothed time to the first token in milliseconds; 0 if not measured.
    pub first_ms: u64,
    /// The smoothed deviation from it in milliseconds.
    pub spread_ms: u64,
    /// When it was last measured.
    pub measured: Millis,
    /// The failures in a row.
    pub failures: u64,
    /// Until when the server is left out.
    pub ejected: Millis,
    /// When the server returned; 0 if it was there from the start.
    pub returned: Millis,
}

impl Health {
    /// A first token came, so long after the request was placed.
    pub fn record_first_token(&mut self, now: Millis, took: Millis) {
        let smoothed = self.latency(now);
        if smoothed == 0 {
            self.first_ms = took.0.max(1);
            self.spread_ms = took.0 / 2;
        } else {
            let deviation = smoothed.abs_diff(took.0);
            self.first_ms = (smoothed * (SMOOTHING_DIVISOR - 1) + took.0) / SMOOTHING_DIVISOR;
            self.spread_ms =
                (self.spread_ms * (SMOOTHING_DIVISOR - 1) + deviation) / SMOOTHING_DIVISOR;
        }
        self.measured = now;
        self.failures = 0;
    }

    /// A request failed before its first token.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures < EJECTION_FAILURES {
            return;
        }
        let doublings = (self.failures - EJECTION_FAILURES).min(8);
        let duration = Millis(FIRST_EJECTION.0 << doublings).min(MAX_EJECTION);
        self.ejected = now + duration;
        self.returned = self.ejected;
    }

    /// The server is not reachable, or fell silent with all that it ran.
    pub fn record_unreachable(&mut self, now: Millis) {
        self.failures = self.failures.max(EJECTION_FAILURES - 1);
        self.record_failure(now);
    }

    /// The server answered.
    pub fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// The server is back after a death, or is new.
    pub fn record_return(&mut self, now: Millis) {
        *self = Self {
            returned: now,
            ..Self::default()
        };
    }

    /// Whether the server is left out for its failures.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected
    }

    /// The share of its usual work that the server is given, in thousandths.
    pub fn ramp_permille(&self, now: Millis) -> u64 {
        if self.returned == Millis(0) {
            return 1_000;
        }
        let share = now.since(self.returned).0 * 1_000 / RAMP_TIME.0;
        share.clamp(MIN_RAMP_PERMILLE, 1_000)
    }

    /// The time within which almost every first token comes; 0 if not measured.
    pub fn latency_bound(&self, now: Millis) -> u64 {
        match self.latency(now) {
            0 => 0,
            latency => latency + BOUND_DEVIATIONS * self.spread_ms,
        }
    }

    /// The time to the first token, less the longer ago it was measured.
    pub fn latency(&self, now: Millis) -> u64 {
        let halvings = now.since(self.measured).0 / LATENCY_HALF_LIFE.0;
        self.first_ms >> halvings.min(63)
    }
}
