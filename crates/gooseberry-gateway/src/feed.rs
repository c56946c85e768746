//! The latest changes of the store's tables, for the other hosts of the data centre.
//!
//! Only a host that follows a table at the store tells its changes, so that no host waits for itself
//! through others.

use std::collections::VecDeque;
use std::sync::Arc;

use base::prelude::*;
use peer::host::Unserved;
use peer::serve::HostServer;
use platform::store::{Row, Rows, Table};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::context::Context;

/// The changes that are held at most, in bytes of their keys and values.
const MAX_BYTES: usize = 256 * 1024;

/// The latest changes of one table.
#[derive(Clone, Debug, Default)]
pub struct RecentChanges {
    /// Changes in the order of their revisions.
    rows: VecDeque<Row>,
    bytes: usize,
    /// The revision behind which all changes are held.
    floor: u64,
    /// The revision up to which the table is known.
    revision: u64,
    /// Whether the table is followed at the store, which answers.
    is_available: bool,
}

impl RecentChanges {
    /// The table was read whole.
    pub fn reset(&mut self, revision: u64) {
        *self = Self {
            floor: revision,
            revision,
            is_available: true,
            ..Self::default()
        };
    }

    /// The store has told the changes behind `since`.
    pub fn append(&mut self, rows: &[Row], since: u64, revision: u64) {
        if since != self.revision {
            // What came between was told by another host.
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

    /// The table is not followed at the store, or the store does not answer.
    pub fn set_unavailable(&mut self) {
        self.is_available = false;
    }

    /// The changes behind a revision.
    ///
    /// # Errors
    ///
    /// [`Unserved`] if they are not known here.
    pub fn changes_after(&self, since: u64) -> Result<Rows, Unserved> {
        if !self.is_available {
            return Err(Unserved::Away);
        }
        if since < self.floor {
            return Err(Unserved::Behind);
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

/// The tables that hosts follow.
#[derive(Debug, Default)]
pub struct Feeds {
    operator: watch::Sender<RecentChanges>,
    servers: watch::Sender<RecentChanges>,
}

impl Feeds {
    /// The feed of a table; `None` for a table that is not followed.
    fn table(&self, table: Table) -> Option<&watch::Sender<RecentChanges>> {
        match table {
            Table::Operator => Some(&self.operator),
            Table::Servers => Some(&self.servers),
            Table::Hosts => None,
        }
    }

    /// Changes what is held of a table.
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

/// Tells the other hosts of the data centre what has changed, for ever.
pub async fn serve(ctx: Arc<Context>, listener: TcpListener) {
    let changes = move |table, since, wait| {
        let ctx = Arc::clone(&ctx);
        async move { wait_for_changes(&ctx, table, since, wait).await }
    };
    // The process ends with this host's last request; no call has to be waited for.
    peer::serve::host(listener, CancellationToken::new(), HostServer { changes }).await;
}

/// Waits up to `wait` for changes of a table behind a revision.
///
/// # Errors
///
/// [`Unserved`] as soon as they cannot be told.
pub async fn wait_for_changes(
    ctx: &Context,
    table: Table,
    since: u64,
    wait: Millis,
) -> Result<Rows, Unserved> {
    let Some(feed) = ctx.feeds.table(table) else {
        return Err(Unserved::Away);
    };
    let mut feed = feed.subscribe();
    let timeout = ctx.timer.after(wait);
    tokio::pin!(timeout);
    loop {
        if ctx.stopped().is_some() {
            return Err(Unserved::Away);
        }
        let rows = feed.borrow_and_update().changes_after(since)?;
        if !rows.rows.is_empty() {
            return Ok(rows);
        }
        tokio::select! {
            changed = feed.changed() => {
                // The sender lives as long as the context, which is held here.
                changed.map_err(|_| Unserved::Away)?;
            }
            () = &mut timeout => return Ok(rows),
        }
    }
}
