//! Batches of conditional row writes, one table transaction each.
//!
//! A transaction is atomic: if the conditions of some writes do not hold, these are answered from
//! the reported conflict, and the others are queued again. A row has at most one write in
//! flight: two claims of one key in one transaction would both find the row absent.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::record::{Record, VersionedRecord};
use crate::submission::Expected;

/// Limits on the delay, size and number of transactions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Time that the first write of a batch waits for others, in milliseconds.
    pub delay_ms: u64,
    /// Maximum number of writes in one transaction.
    pub size: usize,
    /// Maximum number of transactions in flight.
    pub inflight: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            delay_ms: 20,
            size: 200,
            inflight: 2,
        }
    }
}

/// Conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Number under which [`Batcher::reply`] reports the verdict.
    pub ticket: u64,
    /// Row key.
    pub key: String,
    /// Condition on the current row.
    pub expected: Expected,
    /// New value; `None` deletes the row.
    pub record: Option<Record>,
}

/// Result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect; carries the new row version.
    Committed(u64),
    /// Its condition did not hold; carries the current row, if any.
    Found(Option<VersionedRecord>),
    /// It may have taken effect, or may still do so.
    Unconfirmed,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It took effect; carries the new row versions in the order of the writes.
    Committed(Vec<u64>),
    /// It had no effect; carries the index and current row of each write that conflicts.
    Conflict(Vec<(usize, Option<VersionedRecord>)>),
    /// It may have taken effect, or may still do so.
    Unconfirmed,
}

/// Queued writes and transactions in flight.
#[derive(Clone, Debug)]
pub struct Batcher {
    policy: Policy,
    queue: Vec<(Millis, Write)>,
    in_flight: Vec<(u64, Vec<Write>)>,
    last_number: u64,
}

impl Batcher {
    /// A batcher with an empty queue.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            queue: Vec::new(),
            in_flight: Vec::new(),
            last_number: 0,
        }
    }

    /// Queues a write, which is due after [`Policy::delay_ms`].
    pub fn push(&mut self, now: Millis, write: Write) {
        self.queue.push((now + Millis(self.policy.delay_ms), write));
    }

    /// Removes the queued writes for whose ticket `is_wanted` is false; those in flight stay.
    pub fn withdraw(&mut self, mut is_wanted: impl FnMut(u64) -> bool) {
        self.queue.retain(|(_, write)| is_wanted(write.ticket));
    }

    /// Time at which to call [`Batcher::next`]; `Millis::MAX` until a push or reply.
    pub fn due(&self) -> Millis {
        if self.in_flight.len() >= self.policy.inflight.max(1) {
            return Millis::MAX;
        }
        let ready = || {
            self.queue
                .iter()
                .filter(|(_, w)| !self.is_in_flight(&w.key))
        };
        if ready().count() >= self.policy.size.max(1) {
            return Millis(0);
        }
        ready().map(|(at, _)| *at).min().unwrap_or(Millis::MAX)
    }

    /// Number and writes of the transaction to send now, if one is due.
    pub fn next(&mut self, now: Millis) -> Option<(u64, Vec<Write>)> {
        if self.due() > now {
            return None;
        }
        let mut writes: Vec<Write> = Vec::new();
        let mut rest = Vec::new();
        for (at, write) in std::mem::take(&mut self.queue) {
            let is_duplicate = writes.iter().any(|w| w.key == write.key);
            if is_duplicate
                || self.is_in_flight(&write.key)
                || writes.len() >= self.policy.size.max(1)
            {
                rest.push((at, write));
            } else {
                writes.push(write);
            }
        }
        self.queue = rest;
        self.last_number += 1;
        self.in_flight.push((self.last_number, writes.clone()));
        Some((self.last_number, writes))
    }

    /// Handles the result of a transaction; returns verdicts by ticket.
    ///
    /// Writes that had no effect only because others conflicted are queued again, due at once.
    pub fn reply(&mut self, now: Millis, number: u64, reply: Reply) -> Vec<(u64, Verdict)> {
        let Some(i) = self.in_flight.iter().position(|(n, _)| *n == number) else {
            return Vec::new();
        };
        let (_, writes) = self.in_flight.remove(i);
        match reply {
            Reply::Committed(versions) if versions.len() == writes.len() => writes
                .iter()
                .zip(versions)
                .map(|(w, version)| (w.ticket, Verdict::Committed(version)))
                .collect(),
            Reply::Conflict(conflicts) if !conflicts.is_empty() => {
                self.resolve_conflict(now, writes, conflicts)
            }
            _ => writes
                .iter()
                .map(|w| (w.ticket, Verdict::Unconfirmed))
                .collect(),
        }
    }

    /// Number of writes that are queued or in flight.
    pub fn len(&self) -> usize {
        let in_flight: usize = self.in_flight.iter().map(|(_, w)| w.len()).sum();
        self.queue.len() + in_flight
    }

    /// Whether no write is queued or in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn resolve_conflict(
        &mut self,
        now: Millis,
        writes: Vec<Write>,
        mut conflicts: Vec<(usize, Option<VersionedRecord>)>,
    ) -> Vec<(u64, Verdict)> {
        let mut verdicts = Vec::new();
        let mut retried = Vec::new();
        for (index, write) in writes.into_iter().enumerate() {
            match conflicts.iter().position(|(i, _)| *i == index) {
                Some(at) => {
                    let (_, row) = conflicts.swap_remove(at);
                    verdicts.push((write.ticket, Verdict::Found(row)));
                }
                None => retried.push((now, write)),
            }
        }
        retried.append(&mut self.queue);
        self.queue = retried;
        verdicts
    }

    fn is_in_flight(&self, key: &str) -> bool {
        let has_key = |(_, writes): &(u64, Vec<Write>)| writes.iter().any(|w| w.key == key);
        self.in_flight.iter().any(has_key)
    }
}
