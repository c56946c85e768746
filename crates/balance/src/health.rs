//! Outlier ejection, slow start and latency of one server, from the outcomes of its requests.

use base::prelude::*;
use serde::Serialize;

/// Consecutive failures from which a server is ejected.
const EJECTION_FAILURES: u64 = 2;

/// Duration of the first ejection; it doubles with each further failure.
const FIRST_EJECTION: Millis = Millis(500);

/// Longest duration of an ejection.
const MAX_EJECTION: Millis = Millis(16_000);

/// Time over which the load of a returned server grows to its full share (slow start).
const RAMP_TIME: Millis = Millis(5_000);

/// Share of the load of a server that has just returned, in thousandths.
const MIN_RAMP_PERMILLE: u64 = 50;

/// Weight of a new measurement in the moving averages, as a divisor.
const SMOOTHING_DIVISOR: u64 = 4;

/// Deviations above the mean within which almost every first token arrives.
const BOUND_DEVIATIONS: u64 = 4;

/// Time without a measurement after which the latency estimate is halved.
const LATENCY_HALF_LIFE: Millis = Millis(5_000);

/// Health of one server; few enough integers to be stored in atomics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Health {
    /// Moving average of the time to the first token, in milliseconds; 0 if not measured.
    pub first_ms: u64,
    /// Moving average of the deviation from it, in milliseconds.
    pub spread_ms: u64,
    /// Time of the last measurement.
    pub measured: Millis,
    /// Consecutive failures.
    pub failures: u64,
    /// Time at which the last ejection ends; 0 if there was none.
    pub ejected: Millis,
    /// Beginning of the slow start: the return of the server or the end of its last ejection; 0 if it
    /// was there from the beginning and never ejected.
    pub returned: Millis,
}

impl Health {
    /// Records a first token, which arrived `took` after the request was placed.
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

    /// Records a request that failed before its first token; may eject the server.
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

    /// Ejects a server that is unreachable, or that stopped responding to all of its requests.
    pub fn record_unreachable(&mut self, now: Millis) {
        self.failures = self.failures.max(EJECTION_FAILURES - 1);
        self.record_failure(now);
    }

    /// Records an answer, which ends the row of consecutive failures.
    pub fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Resets the state of a server that has restarted or is new, and begins its slow start.
    pub fn record_return(&mut self, now: Millis) {
        *self = Self {
            returned: now,
            ..Self::default()
        };
    }

    /// Whether the server is ejected for its failures.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected
    }

    /// Share of its usual load that the server may receive, in thousandths.
    pub fn ramp_permille(&self, now: Millis) -> u64 {
        if self.returned == Millis(0) {
            return 1_000;
        }
        let share = now.since(self.returned).0 * 1_000 / RAMP_TIME.0;
        share.clamp(MIN_RAMP_PERMILLE, 1_000)
    }

    /// Time within which almost every first token arrives, in milliseconds; 0 if not measured.
    pub fn latency_bound(&self, now: Millis) -> u64 {
        match self.latency(now) {
            0 => 0,
            latency => latency + BOUND_DEVIATIONS * self.spread_ms,
        }
    }

    /// Estimated time to the first token, in milliseconds; 0 if not measured.
    ///
    /// Decays without measurements, so that a server that was slow gets requests again.
    pub fn latency(&self, now: Millis) -> u64 {
        let halvings = now.since(self.measured).0 / LATENCY_HALF_LIFE.0;
        self.first_ms >> halvings.min(63)
    }
}
