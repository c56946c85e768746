//! The work that engines have done, over their deaths.

use std::ops::{Add, Sub};

use futures_util::future::join_all;
use gooseberry_standin::engine::Stats;
use serde::Serialize;

use crate::harness::BenchError;
use crate::harness::fleet::Fleet;

/// Tokens computed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Work {
    /// Tokens of prompts and prefixes that were not found in a cache.
    pub(crate) prefill: u64,
    /// The part of them for later attempts.
    pub(crate) again: u64,
    /// Tokens given.
    pub(crate) decode: u64,
}

impl Work {
    /// All tokens.
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

/// The work of engines that have died.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    killed: Work,
}

impl Ledger {
    /// Notes what an engine has done; it is killed right after.
    pub(crate) async fn record_killed(
        &mut self,
        fleet: &Fleet,
        engine: usize,
    ) -> Result<(), BenchError> {
        self.killed = self.killed + fleet.engine_stats(engine).await?.into();
        Ok(())
    }

    /// What all engines have done so far; all must be alive.
    pub(crate) async fn total(&self, fleet: &Fleet) -> Result<Work, BenchError> {
        let stats = stats(fleet).await?;
        let sum = stats.into_iter().map(Work::from);
        Ok(sum.fold(self.killed, |a, b| a + b))
    }
}

/// The statistics of all engines.
pub(crate) async fn stats(fleet: &Fleet) -> Result<Vec<Stats>, BenchError> {
    let calls = (0..fleet.engines.len()).map(|i| fleet.engine_stats(i));
    join_all(calls).await.into_iter().collect()
}
