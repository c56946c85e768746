//! Estimator of the time between tokens, from which the silence limit of a stream follows.

use serde::Serialize;

use crate::policy::Policy;

/// Divisor that gives the weight of one sample in the smoothed mean.
const MEAN_DIVISOR: u64 = 8;

/// Divisor that gives the weight of one sample in the smoothed deviation.
const DEVIATION_DIVISOR: u64 = 4;

/// Microseconds per millisecond; the estimate is finer than its samples, so that smoothing does not
/// round small gaps away.
const MICROS_PER_MS: u64 = 1_000;

/// Smoothed mean and deviation of the gaps between tokens, as TCP estimates round-trip times
/// (RFC 6298).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Gaps {
    mean_us: u64,
    deviation_us: u64,
    samples: u64,
}

impl Gaps {
    /// Adds the time between two tokens, in milliseconds.
    pub fn add(&mut self, gap_ms: u64) {
        let gap = gap_ms * MICROS_PER_MS;
        self.samples += 1;
        if self.samples == 1 {
            self.mean_us = gap;
            self.deviation_us = gap / 2;
            return;
        }
        let off = gap.abs_diff(self.mean_us);
        self.deviation_us =
            self.deviation_us - self.deviation_us / DEVIATION_DIVISOR + off / DEVIATION_DIVISOR;
        self.mean_us = self.mean_us - self.mean_us / MEAN_DIVISOR + gap / MEAN_DIVISOR;
    }

    /// The silence after which a stream is suspected, in milliseconds, within the policy's floor
    /// and ceiling.
    pub fn limit(&self, policy: &Policy) -> u64 {
        let expected = self.mean_us * u64::from(policy.gap_factor) + 4 * self.deviation_us;
        (expected / MICROS_PER_MS).clamp(policy.floor_ms, policy.ceiling_ms.max(policy.floor_ms))
    }
}
