//! What experiments measure and how they say it.

use hdrhistogram::Histogram;
use serde::Serialize;

/// The significant digits that a histogram keeps.
const DIGITS: u8 = 3;

/// The largest time that a histogram holds, in microseconds.
const MAX_US: u64 = 600_000_000;

/// Times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Times {
    /// How many were measured.
    pub(crate) count: u64,
    /// The median.
    pub(crate) p50: f64,
    /// 95 in 100 are at most this.
    pub(crate) p95: f64,
    /// 99 in 100 are at most this.
    pub(crate) p99: f64,
    /// The largest.
    pub(crate) max: f64,
}

/// Summarises durations.
pub(crate) fn times(durations: impl IntoIterator<Item = std::time::Duration>) -> Times {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_US, DIGITS) else {
        return Times::default();
    };
    for duration in durations {
        let us = u64::try_from(duration.as_micros()).unwrap_or(MAX_US);
        histogram.saturating_record(us);
    }
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Times {
        count: histogram.len(),
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        max: histogram.max() as f64 / 1_000.0,
    }
}
