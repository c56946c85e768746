//! Percentiles of durations, as the reports print them.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant decimal digits that the histogram keeps.
const DIGITS: u8 = 3;

/// The largest duration that the histogram holds, in microseconds; longer ones count as this.
const MAX_US: u64 = 600_000_000;

/// Percentiles of a set of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Times {
    /// Number of durations.
    pub(crate) count: u64,
    /// The median.
    pub(crate) p50: f64,
    /// The 95th percentile.
    pub(crate) p95: f64,
    /// The 99th percentile.
    pub(crate) p99: f64,
    /// The maximum.
    pub(crate) max: f64,
}

/// Computes the percentiles of `durations`; all zero if there are none.
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
