//! Serves the latest changes of the store's tables to the other hosts of the data centre.
//!
//! A host serves the changes of a table only while it polls the store for them itself. A host that got them
//! from another host serves none, so that hosts never poll each other in a cycle.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use peer::host::FeedError;
use peer::serve::HostServer;
use platform::store::{Row, Rows, Table};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::context::Context;

/// The maximum size of the changes held per table, in bytes of keys and values.
const MAX_BYTES: usize = 256 * 1024;

/// The latest changes of one table.
#[derive(Clone, Debug, Default)]
pub struct RecentChanges {
    /// Changes in order of revision.
    rows: VecDeque<Row>,
    /// Total size of `rows`, in bytes of keys and values.
    bytes: usize,
    /// All changes after this revision are held.
    floor: u64,
    /// The revision up to which the changes are complete.
    revision: u64,
    /// Whether this host polls the store for the table, and the store answers.
    is_available: bool,
}

impl RecentChanges {
    /// Starts an empty log of changes after `revision`, at which the table was read in full.
    pub fn reset(&mut self, revision: u64) {
        *self = Self {
            floor: revision,
            revision,
            is_available: true,
            ..Self::default()
        };
    }

    /// Appends the changes that the store returned for a poll after `since`, complete up to `revision`.
    pub fn append(&mut self, rows: &[Row], since: u64, revision: u64) {
        if since != self.revision {
            // The changes in between came from the hub and are not held here.
            self.reset(since);
        }
        for row in rows.iter().filter(|r| r.revision > self.revision) {
            self.bytes += size(row);
            self.rows.push_back(row.clone());
        }
        self.revision = revision.max(self.revision);
        self.is_available = true;
        while self.bytes > MAX_BYTES
            && let Some(row) = self.rows.pop_front()
        {
            self.bytes -= size(&row);
            self.floor = row.revision;
        }
    }

    /// Stops serving changes: the table is polled at the hub, or the store does not answer.
    pub fn set_unavailable(&mut self) {
        self.is_available = false;
    }

    /// The held changes with a revision greater than `since`.
    ///
    /// # Errors
    ///
    /// [`FeedError::Unavailable`] if the host does not poll the store for them or the store does not answer;
    /// [`FeedError::Evicted`] if some of them have been evicted.
    pub fn changes_after(&self, since: u64) -> Result<Rows, FeedError> {
        if !self.is_available {
            return Err(FeedError::Unavailable);
        }
        if since < self.floor {
            return Err(FeedError::Evicted);
        }
        let first = self.rows.partition_point(|r| r.revision <= since);
        Ok(Rows {
            rows: self.rows.range(first..).cloned().collect(),
            revision: self.revision.max(since),
            is_partial: false,
        })
    }
}

fn size(row: &Row) -> usize {
    row.key.len() + row.value.as_ref().map_or(0, Vec::len)
}

/// The latest changes of each table that hosts poll.
#[derive(Debug, Default)]
pub struct Feeds {
    operator: watch::Sender<RecentChanges>,
    servers: watch::Sender<RecentChanges>,
    /// When another host last polled this one for any table, plus 1; 0 if none ever did.
    last_poll: AtomicU64,
}

impl Feeds {
    /// `None` for a table that is not polled for changes.
    fn table(&self, table: Table) -> Option<&watch::Sender<RecentChanges>> {
        match table {
            Table::Operator => Some(&self.operator),
            Table::Servers => Some(&self.servers),
            Table::Hosts | Table::Quarantine => None,
        }
    }

    /// Whether another host has polled this one since `since`.
    pub fn is_polled_since(&self, since: Millis) -> bool {
        self.last_poll.load(Ordering::Relaxed) > since.0
    }

    /// Updates the changes of a table and wakes the polls that wait for them.
    pub fn update(&self, table: Table, change: impl FnOnce(&mut RecentChanges)) {
        if let Some(feed) = self.table(table) {
            feed.send_if_modified(|recent| {
                let before = (recent.is_available, recent.rows.len(), recent.revision);
                change(recent);
                before != (recent.is_available, recent.rows.len(), recent.revision)
            });
        }
    }
}

/// Answers the polls of the other hosts of the data centre until the task is aborted.
pub async fn serve(ctx: Arc<Context>, listener: TcpListener) {
    let changes = move |table, since, wait| {
        let ctx = Arc::clone(&ctx);
        async move { wait_for_changes(&ctx, table, since, wait).await }
    };
    // The calls need no graceful shutdown: the process ends with this host's last request.
    peer::serve::host(listener, CancellationToken::new(), HostServer { changes }).await;
}

/// Waits up to `wait` for changes of a table after the revision `since`; returns none if there are none.
///
/// # Errors
///
/// [`FeedError`] as soon as this host cannot provide them, or is stopping.
pub async fn wait_for_changes(
    ctx: &Context,
    table: Table,
    since: u64,
    wait: Millis,
) -> Result<Rows, FeedError> {
    let Some(feed) = ctx.feeds.table(table) else {
        return Err(FeedError::Unavailable);
    };
    ctx.feeds
        .last_poll
        .store(ctx.now().0 + 1, Ordering::Relaxed);
    let mut feed = feed.subscribe();
    let timeout = ctx.timer.after(wait);
    tokio::pin!(timeout);
    loop {
        if ctx.grace_period().is_some() {
            return Err(FeedError::Unavailable);
        }
        let rows = feed.borrow_and_update().changes_after(since)?;
        if !rows.rows.is_empty() {
            return Ok(rows);
        }
        tokio::select! {
            changed = feed.changed() => {
                // Cannot fail: the sender lives as long as the context, which is borrowed here.
                changed.map_err(|_| FeedError::Unavailable)?;
            }
            () = &mut timeout => return Ok(rows),
        }
    }
}
