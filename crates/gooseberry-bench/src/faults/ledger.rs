//! Work done by all engines, including processes that were killed.

use std::ops::{Add, Sub};

use futures_util::future::join_all;
use gooseberry_standin::engine::Stats;
use serde::Serialize;

use crate::harness::BenchError;
use crate::harness::fleet::Fleet;

/// Tokens computed by engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Work {
    /// Prompt and prefix tokens that were not cached.
    pub(crate) prefill: u64,
    /// The part of `prefill` that was for a second or later attempt of a stream.
    pub(crate) again: u64,
    /// Output tokens.
    pub(crate) decode: u64,
}

impl Work {
    /// Prefill and output tokens.
    pub(crate) fn total(self) -> u64 {
        self.prefill + self.decode
    }
}

impl Add for Work {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            prefill: self.prefill + other.prefill,
            again: self.again + other.again,
            decode: self.decode + other.decode,
        }
    }
}

impl Sub for Work {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            prefill: self.prefill.saturating_sub(other.prefill),
            again: self.again.saturating_sub(other.again),
            decode: self.decode.saturating_sub(other.decode),
        }
    }
}

impl From<Stats> for Work {
    fn from(stats: Stats) -> Self {
        Self {
            prefill: stats.prefill,
            again: stats.again,
            decode: stats.decode,
        }
    }
}

/// Keeps the counters of killed engine processes, which a restart sets to 0.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    killed: Work,
}

impl Ledger {
    /// Adds the counters of an engine; to be called right before it is killed.
    pub(crate) async fn record_killed(
        &mut self,
        fleet: &Fleet,
        engine: usize,
    ) -> Result<(), BenchError> {
        self.killed = self.killed + fleet.engine_stats(engine).await?.into();
        Ok(())
    }

    /// Work of all engines since the start of the run; fails unless all answer.
    pub(crate) async fn total(&self, fleet: &Fleet) -> Result<Work, BenchError> {
        let stats = stats(fleet).await?;
        let sum = stats.into_iter().map(Work::from);
        Ok(sum.fold(self.killed, |a, b| a + b))
    }
}

/// Fetches the counters of all engines; fails unless all answer.
pub(crate) async fn stats(fleet: &Fleet) -> Result<Vec<Stats>, BenchError> {
    let calls = (0..fleet.engines.len()).map(|i| fleet.engine_stats(i));
    join_all(calls).await.into_iter().collect()
}
