//! Batched writes of claims and outcomes to the platform's table.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use base::sorted::Sorted;
use cadence::prelude::*;
use calls::batch::{Batcher, Reply, Verdict, Write};
use calls::record::{Owner, Record, VersionedRecord};
use calls::submission::Expected;
use serde_json::{Value, json};
use store::client::Platform;
use store::wire::{Expect, Mismatch, Op, Outcome, Row, Transact, Write as Effect};
use tokio::sync::{mpsc, oneshot};
use web::client::CallError;

use crate::context::Router;

/// A write and the channel for its verdict.
struct QueuedWrite {
    write: Write,
    verdict_sender: oneshot::Sender<Verdict>,
}

/// Queue of writes to the task that runs [`write()`], with its counters.
#[derive(Debug)]
pub struct Claims {
    sender: mpsc::UnboundedSender<QueuedWrite>,
    receiver: Mutex<Option<mpsc::UnboundedReceiver<QueuedWrite>>>,
    next_number: AtomicU64,
    transactions: AtomicU64,
    failures: AtomicU64,
    waiting: AtomicU64,
}

impl Default for Claims {
    fn default() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            sender,
            receiver: Mutex::new(Some(receiver)),
            next_number: AtomicU64::new(0),
            transactions: AtomicU64::new(0),
            failures: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
        }
    }
}

impl Claims {
    /// Returns an owner that is unique to one submission.
    pub fn owner(&self, router: Incarnation) -> Owner {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        Owner { router, number }
    }

    /// Writes a row, or deletes it if `record` is `None`; waits for the verdict.
    pub async fn put(&self, key: String, expected: Expected, record: Option<Record>) -> Verdict {
        let (verdict_sender, verdict) = oneshot::channel();
        let write = Write {
            ticket: 0,
            key,
            expected,
            record,
        };
        if self
            .sender
            .send(QueuedWrite {
                write,
                verdict_sender,
            })
            .is_err()
        {
            return Verdict::Unconfirmed;
        }
        verdict.await.unwrap_or(Verdict::Unconfirmed)
    }

    /// Takes the receiving end of the queue; `None` after the first call.
    fn take_receiver(&self) -> Option<mpsc::UnboundedReceiver<QueuedWrite>> {
        let mut receiver = self.receiver.lock().unwrap_or_else(|e| e.into_inner());
        receiver.take()
    }

    /// Counters for the state dump.
    pub fn dump(&self) -> Value {
        json!({
            "submissions": self.next_number.load(Ordering::Relaxed),
            "transactions": self.transactions.load(Ordering::Relaxed),
            "failures": self.failures.load(Ordering::Relaxed),
            "waiting": self.waiting.load(Ordering::Relaxed),
        })
    }
}

/// Creates a client of the platform.
pub fn platform(router: &Router) -> Platform {
    Platform {
        addr: router.settings.platform,
        limit: Millis(router.settings.platform_ms).duration(),
    }
}

/// Reads the row at `key`; [`Verdict::Unconfirmed`] if that fails.
pub async fn read_row(router: &Router, key: &str) -> Verdict {
    let rows = platform(router).read(vec![key.to_owned()]).await;
    match rows.map(|rows| rows.into_iter().next().flatten()) {
        Ok(None) => Verdict::Found(None),
        Ok(Some(row)) => match parse_row(row) {
            Some(stored) => Verdict::Found(Some(stored)),
            None => Verdict::Unconfirmed,
        },
        Err(_) => Verdict::Unconfirmed,
    }
}

/// Writes queued rows in batches until the queue is closed.
pub async fn write(router: Arc<Router>) {
    let Some(mut items) = router.claims.take_receiver() else {
        return;
    };
    let (reply_sender, mut replies) = mpsc::unbounded_channel();
    let mut batcher = Batcher::new(router.settings.claims);
    let mut waiting: Sorted<u64, oneshot::Sender<Verdict>> = Sorted::default();
    let mut ticket = 0;
    loop {
        let now = router.timer.now();
        if batcher.due() <= now {
            // A write that its submission no longer awaits must not take effect much later.
            waiting.retain(|_, verdict_sender| !verdict_sender.is_closed());
            batcher.withdraw(|ticket| waiting.get(&ticket).is_some());
        }
        while let Some((number, writes)) = batcher.next(now) {
            let (router, reply_sender) = (router.clone(), reply_sender.clone());
            tokio::spawn(async move {
                // The receiver is dropped only when the process ends.
                let _ = reply_sender.send((number, transact(&router, writes).await));
            });
        }
        tokio::select! {
            item = items.recv() => {
                let Some(QueuedWrite { mut write, verdict_sender }) = item else { return };
                ticket += 1;
                write.ticket = ticket;
                waiting.insert(ticket, verdict_sender);
                batcher.push(router.timer.now(), write);
            }
            Some((number, reply)) = replies.recv() => {
                for (ticket, verdict) in batcher.reply(router.timer.now(), number, reply) {
                    if let Some(verdict_sender) = waiting.remove(&ticket) {
                        // The submission may have stopped waiting for the verdict.
                        let _ = verdict_sender.send(verdict);
                    }
                }
            }
            () = router.timer.at(batcher.due()) => {}
        }
        let count = batcher.len() as u64;
        router.claims.waiting.store(count, Ordering::Relaxed);
    }
}

/// Runs one transaction and reports its metrics.
async fn transact(router: &Router, writes: Vec<Write>) -> Reply {
    let start = router.timer.now();
    let count = writes.len() as u64;
    let ops = writes.into_iter().map(op).collect();
    let answer = platform(router).transact(&Transact { ops }).await;
    router.claims.transactions.fetch_add(1, Ordering::Relaxed);
    // A metric that cannot be sent must not affect the request.
    let _ = router.metrics.count("claims.transactions", 1);
    let _ = router.metrics.gauge("claims.batch", count);
    let _ = router
        .metrics
        .time("claims.transact", router.timer.now().since(start).0);
    reply(router, answer)
}

/// Converts the answer of the platform to the result of the transaction.
fn reply(router: &Router, answer: Result<Outcome, CallError>) -> Reply {
    match answer {
        Ok(Outcome::Committed(versions)) => Reply::Committed(versions),
        Ok(Outcome::Conflict(found)) => match found.into_iter().map(conflicting_row).collect() {
            Some(rows) => Reply::Conflict(rows),
            None => Reply::Unconfirmed,
        },
        Err(cause) => {
            router.claims.failures.fetch_add(1, Ordering::Relaxed);
            let _ = router.metrics.count("claims.failures", 1);
            log::warn!(
                "claim writes unconfirmed host={} cause=\"{cause}\"",
                router.settings.host
            );
            Reply::Unconfirmed
        }
    }
}

/// Converts a row that failed its condition; `None` if its value is not a [`Record`].
fn conflicting_row(found: Mismatch) -> Option<(usize, Option<VersionedRecord>)> {
    match found.row {
        None => Some((found.index, None)),
        Some(row) => Some((found.index, Some(parse_row(row)?))),
    }
}

/// Parses a row; `None` if its value is not a [`Record`].
pub fn parse_row(row: Row) -> Option<VersionedRecord> {
    let record = serde_json::from_value(row.value).ok()?;
    Some(VersionedRecord {
        version: row.version,
        record,
    })
}

/// Converts a write to an operation of the platform.
fn op(write: Write) -> Op {
    let expect = match write.expected {
        Expected::Absent => Expect::Absent,
        Expected::Version(version) => Expect::Version(version),
    };
    let effect = match write.record {
        Some(record) => Effect::Put(serde_json::to_value(record).unwrap_or_default()),
        None => Effect::Delete,
    };
    Op {
        key: write.key,
        expect,
        write: effect,
    }
}
