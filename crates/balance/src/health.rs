//! What the outcomes of its requests tell of a server.

use base::prelude::*;
use serde::Serialize;

/// The failures in a row from which a server is left out for a while.
const EJECT_FAILURES: u64 = 2;

/// The first time for which a failing server is left out; it doubles with each further failure.
const EJECT: Millis = Millis(500);

/// The longest time for which a failing server is left out.
const MAX_EJECT: Millis = Millis(16_000);

/// The time over which a server that has returned comes to its whole share.
const RAMP: Millis = Millis(5_000);

/// The least share of a server that has just returned, in thousandths.
const RAMP_FLOOR: u64 = 50;

/// The weight of the newest measurement of the time to the first token, as a divisor.
const SMOOTHING: u64 = 4;

/// The deviations above the mean within which almost every first token comes.
const SPREADS: u64 = 4;

/// After this time without a measurement the last one counts half.
const HALF_LIFE: Millis = Millis(5_000);

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
    pub fn first_token(&mut self, now: Millis, took: Millis) {
        let held = self.latency(now);
        if held == 0 {
            self.first_ms = took.0.max(1);
            self.spread_ms = took.0 / 2;
        } else {
            let off = held.abs_diff(took.0);
            self.first_ms = (held * (SMOOTHING - 1) + took.0) / SMOOTHING;
            self.spread_ms = (self.spread_ms * (SMOOTHING - 1) + off) / SMOOTHING;
        }
        self.measured = now;
        self.failures = 0;
    }

    /// A request failed before its first token.
    pub fn failed(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures < EJECT_FAILURES {
            return;
        }
        let doublings = (self.failures - EJECT_FAILURES).min(8);
        let span = Millis(EJECT.0 << doublings).min(MAX_EJECT);
        self.ejected = now + span;
        self.returned = self.ejected;
    }

    /// The server is not reachable, or fell silent with all that it ran.
    pub fn lost(&mut self, now: Millis) {
        self.failures = self.failures.max(EJECT_FAILURES - 1);
        self.failed(now);
    }

    /// The server answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// The server is back after a death, or is new.
    pub fn came_back(&mut self, now: Millis) {
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
    pub fn ramp(&self, now: Millis) -> u64 {
        if self.returned == Millis(0) {
            return 1_000;
        }
        let grown = now.since(self.returned).0 * 1_000 / RAMP.0;
        grown.clamp(RAMP_FLOOR, 1_000)
    }

    /// The time within which almost every first token comes; 0 if not measured.
    pub fn bound(&self, now: Millis) -> u64 {
        match self.latency(now) {
            0 => 0,
            latency => latency + SPREADS * self.spread_ms,
        }
    }

    /// The time to the first token, less the longer ago it was measured.
    pub fn latency(&self, now: Millis) -> u64 {
        let halvings = now.since(self.measured).0 / HALF_LIFE.0;
        self.first_ms >> halvings.min(63)
    }
}
