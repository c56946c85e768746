//! Synchronises the configuration and the registry of backend servers with the store by long polling.
//!
//! A table is first read in full from the store. Its changes are then polled from the hub of the data
//! centre, or from the host that stands in for it, so that the number of store calls does not grow with the
//! number of hosts. They are polled from the store if this host is the hub, or if neither can provide them.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use membership::roster::Change;
use membership::sources::{MAX_SOURCES, Sources};
use peer::link::HostLink;
use platform::store::{self, CONFIG_KEY, Row, Rows, StoreError, Table};
use platform::{config, servers};

use crate::backoff::Backoff;
use crate::context::Context;
use crate::feed::RecentChanges;
use crate::store::{CallError, Store};

/// How long the store holds a poll open while there are no changes.
const STORE_HOLD: Millis = Millis(2_200);

/// Time limit for a response of the store, in addition to the time for which a poll is held open.
/// [`STORE_HOLD`] and this add up to less than 3 s, the bound for recovering from a stalled connection.
const STORE_TIMEOUT: Millis = Millis(600);

/// The pause after a response with changes, so that the next poll returns further ones as one batch. In
/// percent of the time after which a leaving server must receive no more requests.
const BATCH_PERCENT: u64 = 45;

/// [`STORE_HOLD`] of a host that others poll, in percent of the time after which a leaving server must receive
/// no more requests. It is shorter, so that the host detects an unresponsive store and the others poll the
/// store themselves within that time.
const HOLD_PERCENT_AS_HUB: u64 = 25;

/// [`BATCH_PERCENT`] of a host that others poll; shorter for the same reason.
const BATCH_PERCENT_AS_HUB: u64 = 20;

/// A host that was polled within this time is still in use; hosts poll at least every 800 ms.
const RECENT_POLL: Millis = Millis(2_000);

/// How long the hub holds a poll open. With [`HUB_TIMEOUT`], an unresponsive hub is detected within 800 ms.
const HUB_HOLD: Millis = Millis(500);

/// Time limit for the hub's response in addition to [`HUB_HOLD`]; within a data centre a call takes about
/// 1 ms.
const HUB_TIMEOUT: Millis = Millis(300);

/// The first and the longest pause between failed calls, see [`Backoff`].
const STORE_BACKOFF: (Millis, Millis) = (Millis(100), Millis(800));

/// [`STORE_BACKOFF`] of a host that has a hub, which detects the return of the store for it.
const MEMBER_BACKOFF: (Millis, Millis) = (Millis(500), Millis(2_000));

/// How long a host that has just started waits for the list of hosts before it polls for changes. Hosts that
/// start together would otherwise all poll the store.
const LIST_WAIT: Millis = Millis(1_000);

/// How often it checks whether the list has been read.
const LIST_CHECK: Millis = Millis(50);

/// Synchronisation state of one table.
struct TableWatch {
    ctx: Arc<Context>,
    table: Table,
    store: Store,
    /// The revision up to which changes have been applied; `None` until the table has been read in full.
    revision: Option<u64>,
    /// Whether the last call to the store failed, and since then neither it nor the hub has answered.
    is_unavailable: bool,
    /// Links to the hosts that were polled.
    links: Vec<HostLink>,
    /// The hosts to poll before the store.
    sources: Sources,
    /// Whether the last changes came from another host.
    is_from_hub: bool,
    /// The era of the store in which the table was last read in full.
    era: Option<u64>,
}

/// Keeps the host's state of a table synchronised until the task is aborted.
pub async fn follow(ctx: Arc<Context>, table: Table, store: Store) {
    let mut watch = TableWatch {
        ctx,
        table,
        store,
        revision: None,
        is_unavailable: false,
        links: Vec::new(),
        sources: Sources::default(),
        is_from_hub: false,
        era: None,
    };
    let mut backoff = Backoff::default();
    loop {
        let started = watch.ctx.now();
        match watch.step().await {
            Ok(()) => backoff.reset(),
            Err(CallError::Store(StoreError::Compacted)) => {
                watch.log_change("compacted");
                watch.revision = None;
            }
            Err(CallError::Store(StoreError::Restored)) => {
                watch.log_change("restored");
                watch.revision = None;
            }
            Err(error) => {
                watch.call_failed(&error);
                let took = watch.ctx.now().since(started);
                let pause = backoff.next(watch.backoff_range(), took);
                watch.ctx.timer.after(pause).await;
            }
        }
    }
}

impl TableWatch {
    /// Reads the table in full the first time and after a compaction; otherwise polls for its next changes.
    async fn step(&mut self) -> Result<(), CallError> {
        match self.revision {
            None => {
                self.read_table().await?;
                self.until_listed().await;
                Ok(())
            }
            Some(revision) => {
                if !self.poll_hubs(revision).await {
                    self.poll_store(revision).await?;
                }
                Ok(())
            }
        }
    }

    /// Waits for the list of hosts, in which the hub is found, for at most [`LIST_WAIT`].
    async fn until_listed(&self) {
        let end = self.ctx.now() + LIST_WAIT;
        while !self.ctx.gossip().is_listed() && self.ctx.now() < end {
            self.ctx.timer.after(LIST_CHECK).await;
        }
    }

    /// The first and the longest pause between failed calls.
    fn backoff_range(&self) -> (Millis, Millis) {
        if self.ctx.gossip().is_hub() {
            STORE_BACKOFF
        } else {
            MEMBER_BACKOFF
        }
    }

    /// Polls the store for changes and publishes them to the hosts that poll this one.
    async fn poll_store(&mut self, revision: u64) -> Result<(), CallError> {
        let leave = self.ctx.limits.leave.0;
        let short_hold = Millis(leave * HOLD_PERCENT_AS_HUB / 100);
        let (hold, percent) = if self.ctx.feeds.is_polled_since(self.ctx.now() - RECENT_POLL) {
            (short_hold, BATCH_PERCENT_AS_HUB)
        } else if self.is_unavailable {
            // The store may still be silent, and its return is to be noticed soon.
            (short_hold, BATCH_PERCENT)
        } else {
            (STORE_HOLD, BATCH_PERCENT)
        };
        let path = store::watch_path(self.table, revision, hold);
        let rows = self.store.rows(&path, hold + STORE_TIMEOUT).await?;
        if store::era(rows.revision) != store::era(revision) {
            // The store gives out numbers again, so the changes after this one are not all that the host lacks.
            return Err(StoreError::Restored.into());
        }
        self.call_succeeded();
        self.set_source(false);
        self.apply_changes(&rows, revision);
        let add = |f: &mut RecentChanges| f.append(&rows.rows, revision, rows.revision);
        self.ctx.feeds.update(self.table, add);
        if !rows.rows.is_empty() {
            self.ctx.timer.after(Millis(leave * percent / 100)).await;
        }
        Ok(())
    }

    /// Polls the hub, and then the host that stands in for it, for changes; returns whether one answered, possibly
    /// with none. If not, the caller polls the store.
    async fn poll_hubs(&mut self, revision: u64) -> bool {
        let hubs: Vec<SocketAddr> = {
            let gossip = self.ctx.gossip();
            gossip.hubs().take(MAX_SOURCES).map(|h| h.addr).collect()
        };
        self.links.retain(|l| hubs.contains(&l.addr()));
        while let Some(addr) = self.sources.next(self.ctx.now(), &hubs) {
            if self.poll_hub(addr, revision).await {
                return true;
            }
        }
        false
    }

    /// The link to the host at `addr`.
    fn link(&mut self, addr: SocketAddr) -> &HostLink {
        let index = self.links.iter().position(|l| l.addr() == addr);
        let index = index.unwrap_or_else(|| {
            self.links.push(HostLink::new(addr));
            self.links.len() - 1
        });
        &self.links[index]
    }

    /// Polls the host at `addr` for changes; returns whether it answered, possibly with none.
    async fn poll_hub(&mut self, addr: SocketAddr, revision: u64) -> bool {
        let table = self.table;
        let limit = (HUB_HOLD + HUB_TIMEOUT).duration();
        let link = self.link(addr);
        let response = link.changes(table, revision, HUB_HOLD, limit).await;
        let now = self.ctx.now();
        let table: &'static str = self.table.into();
        match response {
            Ok(Ok(rows)) => {
                self.ctx.metrics.count_hub_call("answered");
                self.ctx
                    .feeds
                    .update(self.table, RecentChanges::set_unavailable);
                self.call_succeeded();
                self.set_source(true);
                self.apply_changes(&rows, revision);
                true
            }
            Ok(Err(reason)) => {
                self.ctx.metrics.count_hub_call(reason.into());
                tracing::debug!(table, %addr, %reason, "hub cannot provide changes; polling another source");
                self.sources.record_unavailable(now, addr);
                false
            }
            Err(error) => {
                self.ctx.metrics.count_hub_call("silent");
                tracing::info!(table, %error, "hub did not answer; polling another source for a while");
                self.sources.record_silent(now, addr);
                false
            }
        }
    }

    /// Records the source of the changes and logs when it switches.
    fn set_source(&mut self, is_from_hub: bool) {
        if std::mem::replace(&mut self.is_from_hub, is_from_hub) != is_from_hub {
            let table: &'static str = self.table.into();
            let source = if is_from_hub { "hub" } else { "store" };
            let revision = self.revision.unwrap_or(0);
            tracing::info!(table, source, revision, "source of table changes switched");
        }
    }

    async fn read_table(&mut self) -> Result<(), CallError> {
        let all = self.store.table(self.table, STORE_TIMEOUT).await?;
        self.call_succeeded();
        self.apply_snapshot(&all.rows, all.revision);
        self.ctx.feeds.update(self.table, |f| f.reset(all.revision));
        self.revision = Some(all.revision);
        Ok(())
    }

    /// Applies a full read of the table. Servers that it does not contain are treated as removed.
    fn apply_snapshot(&mut self, rows: &[Row], revision: u64) {
        let now = self.ctx.now();
        let era = store::era(revision);
        let is_restored = self.era.replace(era).is_some_and(|before| before < era);
        if is_restored && self.table == Table::Servers {
            self.ctx
                .servers
                .lock()
                .roster
                .registry_restored(revision, now);
        }
        for row in rows {
            self.apply_row(row, now);
        }
        if self.table == Table::Servers {
            let mut listed: Vec<BackendId> = rows
                .iter()
                .map(|r| BackendId::from(r.key.as_str()))
                .collect();
            listed.sort();
            let missing = self
                .ctx
                .servers
                .lock()
                .roster
                .retain_listed(&listed, revision, now);
            for id in missing {
                tracing::info!(server = %id, revision, "listed server is missing from the full table read");
            }
        }
        let table: &'static str = self.table.into();
        tracing::info!(table, revision, rows = rows.len(), "table read in full");
    }

    fn apply_changes(&mut self, rows: &Rows, since: u64) {
        let now = self.ctx.now();
        for row in &rows.rows {
            self.apply_row(row, now);
        }
        self.revision = Some(rows.revision.max(since));
    }

    fn apply_row(&self, row: &Row, now: Millis) {
        match self.table {
            Table::Operator if row.key == CONFIG_KEY => self.apply_config(row),
            Table::Operator => {}
            Table::Servers => self.apply_server(row, now),
            // Read by `hosts` and `quarantine`, without polling for changes.
            Table::Hosts | Table::Quarantine => {}
        }
    }

    fn apply_config(&self, row: &Row) {
        let Some(value) = &row.value else {
            tracing::warn!(
                revision = row.revision,
                "the configuration row was removed; the previous version stays in force"
            );
            return;
        };
        let snapshot = match config::decode(value) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                tracing::warn!(revision = row.revision, %error, "configuration rejected");
                return;
            }
        };
        let current = self.ctx.snapshot.load().as_ref().map(|s| s.version);
        if current.is_some_and(|v| v >= snapshot.version) {
            return;
        }
        tracing::info!(
            version = snapshot.version.0,
            before = current.map_or(0, |v| v.0),
            revision = row.revision,
            routes = snapshot.route_count(),
            "configuration in force"
        );
        self.ctx
            .metrics
            .config_version
            .set(snapshot.version.0.cast_signed());
        self.ctx.snapshot.store(Some(Arc::new(snapshot)));
    }

    fn apply_server(&self, row: &Row, now: Millis) {
        let id = BackendId::from(row.key.as_str());
        let decode = |value| servers::decode(&row.key, value);
        let entry = match row.value.as_deref().map(decode) {
            None => None,
            Some(Ok(entry)) => Some(entry),
            Some(Err(error)) => {
                tracing::warn!(
                    server = %id, revision = row.revision, %error,
                    "malformed server row; treated as removed"
                );
                None
            }
        };
        let mut fleet = self.ctx.servers.lock();
        let change = match entry {
            Some(entry) => fleet.roster.put(id.clone(), entry, row.revision),
            None => fleet.roster.remove(&id, row.revision, now),
        };
        if change == Change::Restarted {
            fleet.record_restart(&id);
        }
        self.ctx.metrics.servers.set(fleet.roster.len() as i64);
        drop(fleet);
        if change != Change::None {
            let change: &'static str = change.into();
            tracing::info!(server = %id, revision = row.revision, change, "server changed");
        }
    }

    /// Records that a call to the store failed.
    fn call_failed(&mut self, error: &CallError) {
        self.ctx
            .feeds
            .update(self.table, RecentChanges::set_unavailable);
        let table: &'static str = self.table.into();
        if !self.is_unavailable {
            self.is_unavailable = true;
            tracing::warn!(table, %error, "store unavailable; the last known state stays in force");
        }
        if self.table == Table::Servers {
            self.ctx.servers.lock().roster.registry_unavailable();
        }
    }

    /// Records that the store or the hub answered.
    fn call_succeeded(&mut self) {
        let now = self.ctx.now();
        if self.table == Table::Servers {
            let mut fleet = self.ctx.servers.lock();
            fleet.roster.registry_available(now);
            fleet.sweep(now);
        }
        if std::mem::take(&mut self.is_unavailable) {
            self.log_change("regained");
        }
    }

    fn log_change(&self, change: &'static str) {
        let table: &'static str = self.table.into();
        tracing::info!(
            table,
            change,
            revision = self.revision.unwrap_or(0),
            "store"
        );
    }
}
