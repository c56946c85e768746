//! An in-memory table with conditional writes and transactions over several rows.

use base::sorted::Sorted;
use serde_json::Value;
use store::wire::{Expect, Mismatch, Op, Outcome, Row, Scan, Write};

/// A value and its version.
#[derive(Clone, Debug)]
struct Cell {
    /// The number of the write that stored the value, counted over all rows.
    version: u64,
    value: Value,
}

/// The rows by key.
#[derive(Debug, Default)]
pub(super) struct Table {
    rows: Sorted<String, Cell>,
    /// The version given to the last value stored.
    last_version: u64,
}

impl Table {
    /// Applies all operations, or none if the condition of any is not met.
    ///
    /// Returns the version of each row after the transaction (0 if it is absent), or the rows
    /// whose condition was not met.
    pub(super) fn transact(&mut self, ops: &[Op]) -> Outcome {
        let failed: Vec<Mismatch> = ops
            .iter()
            .enumerate()
            .filter(|(_, op)| !self.is_met(op))
            .map(|(index, op)| Mismatch {
                index,
                row: self.read(&op.key),
            })
            .collect();
        if !failed.is_empty() {
            return Outcome::Conflict(failed);
        }
        Outcome::Committed(ops.iter().map(|op| self.apply(op)).collect())
    }

    /// The row at `key`; `None` if it is absent.
    pub(super) fn read(&self, key: &str) -> Option<Row> {
        self.rows.get(&key.to_owned()).map(|cell| Row {
            key: key.to_owned(),
            version: cell.version,
            value: cell.value.clone(),
        })
    }

    /// The rows of a scan, by key, up to its limit.
    pub(super) fn scan(&self, scan: &Scan) -> Vec<Row> {
        self.rows
            .iter()
            .filter(|(key, _)| key.starts_with(&scan.prefix) && **key > scan.after)
            .take(scan.limit)
            .filter_map(|(key, _)| self.read(key))
            .collect()
    }

    fn is_met(&self, op: &Op) -> bool {
        let version = self.rows.get(&op.key).map(|c| c.version);
        match op.expect {
            Expect::Any => true,
            Expect::Absent => version.is_none(),
            Expect::Version(expected) => version == Some(expected),
        }
    }

    /// Applies one operation; returns the version of the row after it, or 0 if it is absent.
    fn apply(&mut self, op: &Op) -> u64 {
        match &op.write {
            Write::Check => self.rows.get(&op.key).map_or(0, |c| c.version),
            Write::Delete => {
                self.rows.remove(&op.key);
                0
            }
            Write::Put(value) => {
                self.last_version += 1;
                let cell = Cell {
                    version: self.last_version,
                    value: value.clone(),
                };
                self.rows.insert(op.key.clone(), cell);
                self.last_version
            }
        }
    }
}
