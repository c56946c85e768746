//! The clearing of rows whose time of keeping is over.
//!
//! The rows are divided into parts, and each part is cleared by one host of those alive. Two hosts
//! that clear the same part do no harm: a row is taken away only at the version that was read.

use std::sync::Arc;

use base::hash::rendezvous;
use base::prelude::*;
use calls::record::{Body, PARTITIONS, State, VersionedRecord, partition_prefix};
use store::wire::{Expect, Op, Scan, Transact, Write};
use web::client::CallError;

use crate::claims::{parse_row, platform};
use crate::context::Router;
use crate::services::job::wall_ms;

/// The time between two reads of the table.
const SCAN_INTERVAL: Millis = Millis(1_000);

/// The most rows in one read.
const PAGE_ROWS: usize = 500;

/// Clears for ever.
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

/// Whether this host clears `part`.
fn is_assigned(router: &Router, part: u64) -> bool {
    let snapshot = router.snapshot();
    let key = partition_prefix(part);
    let live = snapshot.hosts.iter().filter(|h| h.alive && !h.leaving);
    let assigned = live.max_by_key(|h| rendezvous(&key, h.host.as_str()));
    assigned.is_some_and(|h| h.host == router.settings.host)
}

/// Clears the rows of one part.
pub async fn clear_part(router: &Router, part: u64) {
    let mut after = String::new();
    loop {
        match clear_page(router, partition_prefix(part), &after).await {
            Ok(Some(last)) => after = last,
            Ok(None) => return,
            Err(cause) => {
                log::warn!(
                    "old calls not cleared host={} part={part} cause=\"{cause}\"",
                    router.settings.host
                );
                return;
            }
        }
        router.timer.after(SCAN_INTERVAL).await;
    }
}

/// Clears one page; returns the key after which the next begins, if there is one.
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
        // A row that changed meanwhile keeps the page for the next round.
        platform(router).transact(&Transact { ops }).await?;
    }
    Ok(last.filter(|_| !is_last))
}

/// Takes away the body that a row names.
async fn delete_object(router: &Router, stored: &VersionedRecord) -> Result<(), CallError> {
    if let State::Done(outcome) = &stored.record.state
        && let Body::Object(name) = &outcome.body
    {
        platform(router).delete_object(name).await?;
    }
    Ok(())
}
