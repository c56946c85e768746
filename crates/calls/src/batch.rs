//! Writes of many calls in one transaction.
//!
//! A transaction takes effect whole or not at all, so a row whose condition does not hold is
//! answered from the conflict and the rest goes again without it. A row stands at most once in a
//! transaction: two claims of one key in one transaction would both see it absent.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::record::{Record, VersionedRecord};
use crate::submission::Expected;

/// When a transaction is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How long the first write waits for others, in milliseconds.
    pub delay_ms: u64,
    /// The most writes in one transaction.
    pub size: usize,
    /// The most transactions under way.
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

/// One write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Whose write it is.
    pub ticket: u64,
    /// The row.
    pub key: String,
    /// What the row must be.
    pub expected: Expected,
    /// The new value; none takes the row away.
    pub record: Option<Record>,
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect and made this version.
    Committed(u64),
    /// It had no effect; the row is as given.
    Found(Option<VersionedRecord>),
    /// It may have taken effect, or may yet.
    Unconfirmed,
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It took effect; the versions in order of the writes.
    Committed(Vec<u64>),
    /// It had no effect; the writes whose condition did not hold, by index, and their rows.
    Conflict(Vec<(usize, Option<VersionedRecord>)>),
    /// There is no certain answer.
    Unconfirmed,
}

/// Writes that wait and transactions under way.
#[derive(Clone, Debug)]
pub struct Batcher {
    policy: Policy,
    queue: Vec<(Millis, Write)>,
    in_flight: Vec<(u64, Vec<Write>)>,
    last_number: u64,
}

impl Batcher {
    /// An empty batcher.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            queue: Vec::new(),
            in_flight: Vec::new(),
            last_number: 0,
        }
    }

    /// Adds a write.
    pub fn push(&mut self, now: Millis, write: Write) {
        self.queue.push((now + Millis(self.policy.delay_ms), write));
    }

    /// Withdraws writes that are not under way yet and that nobody wants, by ticket.
    pub fn withdraw(&mut self, mut is_wanted: impl FnMut(u64) -> bool) {
        self.queue.retain(|(_, write)| is_wanted(write.ticket));
    }

    /// When the next transaction is due, as far as is known now.
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

    /// The transaction to send now, with its number.
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

    /// Takes in the answer to a transaction; returns what became of writes, by ticket.
    ///
    /// Writes that failed only for the sake of others go again at once.
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

    /// How many writes wait or are under way.
    pub fn len(&self) -> usize {
        let in_flight: usize = self.in_flight.iter().map(|(_, w)| w.len()).sum();
        self.queue.len() + in_flight
    }

    /// Whether there are none.
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
