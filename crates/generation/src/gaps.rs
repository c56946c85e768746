//! An estimate of the time between tokens.

use serde::Serialize;

use crate::policy::Policy;

/// The weight of one sample in the mean, as a divisor.
const MEAN_SHIFT: u64 = 8;

/// The weight of one sample in the deviation, as a divisor.
const DEVIATION_SHIFT: u64 = 4;

/// Microseconds in a millisecond; the estimate is kept finer than its samples.
const MICROS: u64 = 1_000;

/// A smoothed mean and deviation, as TCP keeps of round trips (RFC 6298).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Gaps {
    mean_us: u64,
    deviation_us: u64,
    samples: u64,
}

impl Gaps {
    /// Takes in one time between tokens, in milliseconds.
    pub fn add(&mut self, gap_ms: u64) {
        let gap = gap_ms * MICROS;
        self.samples += 1;
        if self.samples == 1 {
            self.mean_us = gap;
            self.deviation_us = gap / 2;
            return;
        }
        let off = gap.abs_diff(self.mean_us);
        self.deviation_us =
            self.deviation_us - self.deviation_us / DEVIATION_SHIFT + off / DEVIATION_SHIFT;
        self.mean_us = self.mean_us - self.mean_us / MEAN_SHIFT + gap / MEAN_SHIFT;
    }

    /// The silence from which a stream is suspected, in milliseconds.
    pub fn limit(&self, policy: &Policy) -> u64 {
        let expected = self.mean_us * u64::from(policy.gap_factor) + 4 * self.deviation_us;
        (expected / MICROS).clamp(policy.floor_ms, policy.ceiling_ms.max(policy.floor_ms))
    }
}
