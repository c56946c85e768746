//! Deletion of call rows whose retention period has expired.
//!
//! The rows are partitioned, and rendezvous hashing assigns each partition to one live host. Two
//! hosts that scan the same partition do no harm: a row is deleted only at the version that was
//! read.

use std::sync::Arc;

use base::hash::rendezvous;
use base::prelude::*;
use calls::record::{Body, PARTITIONS, State, VersionedRecord, partition_prefix};
use store::wire::{Expect, Op, Scan, Transact, Write};
use web::client::CallError;

use crate::claims::{parse_row, platform};
use crate::context::Router;
use crate::services::job::wall_ms;

/// Delay between two reads of the table.
const SCAN_INTERVAL: Millis = Millis(1_000);

/// Maximum number of rows in one read.
const PAGE_ROWS: usize = 500;

/// Scans the partitions of this host forever.
pub async fn run(router: Arc<Router>) {
    loop {
        for part in 0..PARTITIONS {
            if is_assigned(&router, part) {
                clear_part(&router, part).await;
                router.timer.after(SCAN_INTERVAL).await;
            }
        }
        router.timer.after(SCAN_INTERVAL).await;
    }
}

/// Whether partition `part` is assigned to this host.
fn is_assigned(router: &Router, part: u64) -> bool {
    let snapshot = router.snapshot();
    let key = partition_prefix(part);
    let live = snapshot.hosts.iter().filter(|h| h.alive && !h.leaving);
    let assigned = live.max_by_key(|h| rendezvous(&key, h.host.as_str()));
    assigned.is_some_and(|h| h.host == router.settings.host)
}

/// Deletes the expired rows of one partition.
pub async fn clear_part(router: &Router, part: u64) {
    let mut after = String::new();
    loop {
        match clear_page(router, partition_prefix(part), &after).await {
            Ok(Some(last)) => after = last,
            Ok(None) => return,
            Err(cause) => {
                log::warn!(
                    "expired call rows not deleted host={} part={part} cause=\"{cause}\"",
                    router.settings.host
                );
                return;
            }
        }
        router.timer.after(SCAN_INTERVAL).await;
    }
}

/// Deletes the expired rows of one page; returns its last key, or `None` if it is the last page.
async fn clear_page(
    router: &Router,
    prefix: String,
    after: &str,
) -> Result<Option<String>, CallError> {
    let scan = Scan {
        prefix,
        after: after.to_owned(),
        limit: PAGE_ROWS,
    };
    let rows = platform(router).scan(&scan).await?;
    let last = rows.last().map(|r| r.key.clone());
    let is_last = rows.len() < PAGE_ROWS;
    let now = wall_ms();
    let mut ops = Vec::new();
    for row in rows {
        let key = row.key.clone();
        let Some(stored) = parse_row(row).filter(|s| s.record.until_ms < now) else {
            continue;
        };
        delete_object(router, &stored).await?;
        ops.push(Op {
            key,
            expect: Expect::Version(stored.version),
            write: Write::Delete,
        });
    }
    if !ops.is_empty() {
        // If a row changed since the read, the whole transaction fails, and the next scan retries.
        platform(router).transact(&Transact { ops }).await?;
    }
    Ok(last.filter(|_| !is_last))
}

/// Deletes the stored body that a row refers to, if any.
async fn delete_object(router: &Router, stored: &VersionedRecord) -> Result<(), CallError> {
    if let State::Done(outcome) = &stored.record.state
        && let Body::Object(name) = &outcome.body
    {
        platform(router).delete_object(name).await?;
    }
    Ok(())
}
