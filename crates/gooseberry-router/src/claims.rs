//! The writes of claims and outcomes to the platform's table, many in one transaction.

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

/// One write and where its verdict goes.
struct Item {
    write: Write,
    done: oneshot::Sender<Verdict>,
}

/// The way to the task that writes.
#[derive(Debug)]
pub struct Claims {
    to: mpsc::UnboundedSender<Item>,
    from: Mutex<Option<mpsc::UnboundedReceiver<Item>>>,
    last: AtomicU64,
    transactions: AtomicU64,
    failures: AtomicU64,
    waiting: AtomicU64,
}

impl Default for Claims {
    fn default() -> Self {
        let (to, from) = mpsc::unbounded_channel();
        Self {
            to,
            from: Mutex::new(Some(from)),
            last: AtomicU64::new(0),
            transactions: AtomicU64::new(0),
            failures: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
        }
    }
}

impl Claims {
    /// A token that no other submission has.
    pub fn owner(&self, router: Incarnation) -> Owner {
        let number = self.last.fetch_add(1, Ordering::Relaxed);
        Owner { router, number }
    }

    /// Writes a row, or takes it away.
    pub async fn put(&self, key: String, expected: Expected, record: Option<Record>) -> Verdict {
        let (done, verdict) = oneshot::channel();
        let write = Write {
            ticket: 0,
            key,
            expected,
            record,
        };
        if self.to.send(Item { write, done }).is_err() {
            return Verdict::Unconfirmed;
        }
        verdict.await.unwrap_or(Verdict::Unconfirmed)
    }

    /// The receiving end; the task that writes takes it once.
    fn take(&self) -> Option<mpsc::UnboundedReceiver<Item>> {
        let mut from = self.from.lock().unwrap_or_else(|e| e.into_inner());
        from.take()
    }

    /// What was written, for a state dump.
    pub fn dump(&self) -> Value {
        json!({
            "submissions": self.last.load(Ordering::Relaxed),
            "transactions": self.transactions.load(Ordering::Relaxed),
            "failures": self.failures.load(Ordering::Relaxed),
            "waiting": self.waiting.load(Ordering::Relaxed),
        })
    }
}

/// The router's client of the platform.
pub fn platform(router: &Router) -> Platform {
    Platform {
        addr: router.settings.platform,
        limit: Millis(router.settings.platform_ms).duration(),
    }
}

/// Reads the row at `key`.
pub async fn look(router: &Router, key: &str) -> Verdict {
    let rows = platform(router).read(vec![key.to_owned()]).await;
    match rows.map(|rows| rows.into_iter().next().flatten()) {
        Ok(None) => Verdict::Found(None),
        Ok(Some(row)) => match held(row) {
            Some(held) => Verdict::Found(Some(held)),
            None => Verdict::Unconfirmed,
        },
        Err(_) => Verdict::Unconfirmed,
    }
}

/// Writes for ever.
pub async fn write(router: Arc<Router>) {
    let Some(mut items) = router.claims.take() else {
        return;
    };
    let (to, mut replies) = mpsc::unbounded_channel();
    let mut batcher = Batcher::new(router.settings.claims);
    let mut waiting: Sorted<u64, oneshot::Sender<Verdict>> = Sorted::default();
    let mut ticket = 0;
    loop {
        let now = router.timer.now();
        if batcher.due() <= now {
            // What a submission has given up must not take effect much later.
            waiting.retain(|_, done| !done.is_closed());
            batcher.withdraw(|ticket| waiting.get(&ticket).is_some());
        }
        while let Some((number, writes)) = batcher.next(now) {
            let (router, to) = (router.clone(), to.clone());
            tokio::spawn(async move {
                // The receiver lives as long as the process.
                let _ = to.send((number, transact(&router, writes).await));
            });
        }
        tokio::select! {
            item = items.recv() => {
                let Some(Item { mut write, done }) = item else { return };
                ticket += 1;
                write.ticket = ticket;
                waiting.insert(ticket, done);
                batcher.push(router.timer.now(), write);
            }
            Some((number, reply)) = replies.recv() => {
                for (ticket, verdict) in batcher.reply(router.timer.now(), number, reply) {
                    if let Some(done) = waiting.remove(&ticket) {
                        // A submission that no longer waits has other work by now.
                        let _ = done.send(verdict);
                    }
                }
            }
            () = router.timer.at(batcher.due()) => {}
        }
        let count = batcher.len() as u64;
        router.claims.waiting.store(count, Ordering::Relaxed);
    }
}

/// Carries out one transaction.
async fn transact(router: &Router, writes: Vec<Write>) -> Reply {
    let start = router.timer.now();
    let count = writes.len() as u64;
    let ops = writes.into_iter().map(op).collect();
    let answer = platform(router).transact(&Transact { ops }).await;
    router.claims.transactions.fetch_add(1, Ordering::Relaxed);
    // Metrics that cannot be sent are no concern of the caller.
    let _ = router.metrics.count("claims.transactions", 1);
    let _ = router.metrics.gauge("claims.batch", count);
    let _ = router
        .metrics
        .time("claims.transact", router.timer.now().since(start).0);
    reply(router, answer)
}

/// What an answer of the platform means for the batch.
fn reply(router: &Router, answer: Result<Outcome, CallError>) -> Reply {
    match answer {
        Ok(Outcome::Committed(versions)) => Reply::Committed(versions),
        Ok(Outcome::Conflict(found)) => match found.into_iter().map(unmet).collect() {
            Some(unmet) => Reply::Conflict(unmet),
            None => Reply::Unconfirmed,
        },
        Err(cause) => {
            router.claims.failures.fetch_add(1, Ordering::Relaxed);
            let _ = router.metrics.count("claims.failures", 1);
            log::warn!(
                "claims not certain host={} cause=\"{cause}\"",
                router.settings.host
            );
            Reply::Unconfirmed
        }
    }
}

/// A row that did not meet its condition; `None` if it is not of this system's shape.
fn unmet(found: Mismatch) -> Option<(usize, Option<VersionedRecord>)> {
    match found.row {
        None => Some((found.index, None)),
        Some(row) => Some((found.index, Some(held(row)?))),
    }
}

/// Reads a row.
pub fn held(row: Row) -> Option<VersionedRecord> {
    let record = serde_json::from_value(row.value).ok()?;
    Some(VersionedRecord {
        version: row.version,
        record,
    })
}

/// The platform's shape of a write.
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
