//! A table with conditional writes and transactions over several rows.

use base::sorted::Sorted;
use serde_json::Value;
use store::wire::{Expect, Mismatch, Op, Outcome, Row, Scan, Write};

/// A value and the number of the write that made it.
#[derive(Clone, Debug)]
struct Cell {
    version: u64,
    value: Value,
}

/// The rows.
#[derive(Debug, Default)]
pub(super) struct Table {
    rows: Sorted<String, Cell>,
    writes: u64,
}

impl Table {
    /// Carries out all operations, or none if a condition does not hold.
    pub(super) fn transact(&mut self, ops: &[Op]) -> Outcome {
        let unmet: Vec<Mismatch> = ops
            .iter()
            .enumerate()
            .filter(|(_, op)| !self.holds(op))
            .map(|(index, op)| Mismatch {
                index,
                row: self.read(&op.key),
            })
            .collect();
        if !unmet.is_empty() {
            return Outcome::Conflict(unmet);
        }
        Outcome::Committed(ops.iter().map(|op| self.apply(op)).collect())
    }

    /// The row at `key`.
    pub(super) fn read(&self, key: &str) -> Option<Row> {
        self.rows.get(&key.to_owned()).map(|cell| Row {
            key: key.to_owned(),
            version: cell.version,
            value: cell.value.clone(),
        })
    }

    /// The rows of a scan.
    pub(super) fn scan(&self, scan: &Scan) -> Vec<Row> {
        self.rows
            .iter()
            .filter(|(key, _)| key.starts_with(&scan.prefix) && **key > scan.after)
            .take(scan.limit)
            .filter_map(|(key, _)| self.read(key))
            .collect()
    }

    fn holds(&self, op: &Op) -> bool {
        let version = self.rows.get(&op.key).map(|c| c.version);
        match op.expect {
            Expect::Any => true,
            Expect::Absent => version.is_none(),
            Expect::Version(wanted) => version == Some(wanted),
        }
    }

    fn apply(&mut self, op: &Op) -> u64 {
        match &op.write {
            Write::Check => self.rows.get(&op.key).map_or(0, |c| c.version),
            Write::Delete => {
                self.rows.remove(&op.key);
                0
            }
            Write::Put(value) => {
                self.writes += 1;
                let cell = Cell {
                    version: self.writes,
                    value: value.clone(),
                };
                self.rows.insert(op.key.clone(), cell);
                self.writes
            }
        }
    }
}
