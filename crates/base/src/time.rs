//! Monotonic time in milliseconds.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on a process's monotonic clock, or a span of time, in milliseconds.
///
/// Each process counts from its own start, so points of two processes cannot be compared. Addition
/// and subtraction saturate.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The latest point in time, which stands for "never"; adding a span leaves it as it is.
    pub const MAX: Self = Self(u64::MAX);

    /// The span since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The span as a [`Duration`].
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, span: Self) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
