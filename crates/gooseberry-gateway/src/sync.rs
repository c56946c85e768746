//! Keeps the configuration and the backend servers in step with the store.
//!
//! A table is read whole from the store. Its changes come from the hub of the data centre, so that the
//! calls to the store do not grow with the number of hosts; or from the store, if this host is the hub or
//! the hub does not tell them.

use std::sync::Arc;

use base::prelude::*;
use membership::roster::Change;
use peer::link::HostLink;
use platform::store::{self, CONFIG_KEY, Row, Rows, StoreError, Table};
use platform::{config, servers};

use crate::context::Context;
use crate::feed::Recent;
use crate::store::{CallError, Store};

/// How long the store holds a call open until something changes.
const WAIT: Millis = Millis(2_200);

/// The longest wait for an answer beyond the time for which the call is held open; the two together
/// stay under 3 s, the time that a host has to recover from a connection that fell silent.
const LIMIT: Millis = Millis(600);

/// The pause after an answer with changes, during which further ones gather into one call, as a part
/// of the time within which a leaving server must get no more requests, in percent.
const GATHER_PERCENT: u64 = 45;

/// As [`WAIT`], at a host that others take changes from: a silent store is noticed, and the others ask it
/// themselves, within the 2 s that the users give a leaving server and a configuration.
const HUB_WAIT: Millis = Millis(500);

/// As [`GATHER_PERCENT`], at such a host; for the same reason.
const HUB_GATHER_PERCENT: u64 = 20;

/// How long the hub holds a call open; a hub that falls silent is noticed within 800 ms.
const ASK_WAIT: Millis = Millis(500);

/// The longest wait for the hub's answer beyond that; within a data centre it takes about a millisecond.
const ASK_LIMIT: Millis = Millis(300);

/// For how long the store is asked after the hub did not answer.
const DIRECT: Millis = Millis(3_000);

/// The pause after a call that failed; it doubles up to the second value.
const PAUSE: (Millis, Millis) = (Millis(100), Millis(800));

/// The watch of one table.
struct Watch {
    ctx: Arc<Context>,
    table: Table,
    store: Store,
    /// The revision up to which the table is known; `None` before it was read whole.
    revision: Option<u64>,
    is_lost: bool,
    /// The link to the hub that was asked last.
    hub: Option<HostLink>,
    /// Until when the store is asked although there is a hub.
    direct: Millis,
    /// Whether the changes come from the hub.
    is_served: bool,
}

/// Follows a table for ever.
pub async fn follow(ctx: Arc<Context>, table: Table, store: Store) {
    let mut watch = Watch {
        ctx,
        table,
        store,
        revision: None,
        is_lost: false,
        hub: None,
        direct: Millis(0),
        is_served: false,
    };
    let mut pause = PAUSE.0;
    loop {
        match watch.step().await {
            Ok(()) => pause = PAUSE.0,
            Err(CallError::Store(StoreError::Compacted)) => {
                watch.changed("compacted");
                watch.revision = None;
            }
            Err(error) => {
                watch.failed(&error);
                watch.ctx.timer.after(pause).await;
                pause = (pause + pause).min(PAUSE.1);
            }
        }
    }
}

impl Watch {
    /// Reads the table whole, or waits for its next changes.
    async fn step(&mut self) -> Result<(), CallError> {
        match self.revision {
            None => self.read().await,
            Some(revision) => {
                if !self.ask_hub(revision).await {
                    self.ask_store(revision).await?;
                }
                Ok(())
            }
        }
    }

    /// Waits for changes at the store.
    async fn ask_store(&mut self, revision: u64) -> Result<(), CallError> {
        let (wait, gather) = if self.ctx.gossip().has_members() {
            (HUB_WAIT, HUB_GATHER_PERCENT)
        } else {
            (WAIT, GATHER_PERCENT)
        };
        let path = store::watch_path(self.table, revision, wait);
        let rows = self.store.rows(&path, wait + LIMIT).await?;
        self.reached();
        self.source(false);
        self.changes(&rows, revision);
        let add = |f: &mut Recent| f.add(&rows.rows, revision, rows.revision);
        self.ctx.feeds.update(self.table, add);
        if !rows.rows.is_empty() {
            let gather = self.ctx.limits.leave.0 * gather / 100;
            self.ctx.timer.after(Millis(gather)).await;
        }
        Ok(())
    }

    /// Waits for changes at the hub; returns whether it told them, or that there are none.
    async fn ask_hub(&mut self, revision: u64) -> bool {
        let now = self.ctx.now();
        let addr = self.ctx.gossip().hub().map(|h| h.addr);
        let Some(addr) = addr.filter(|_| now >= self.direct) else {
            return false;
        };
        self.ctx.feeds.update(self.table, Recent::lost);
        let hub = match self.hub.take() {
            Some(hub) if hub.addr() == addr => hub,
            _ => HostLink::new(addr),
        };
        let limit = (ASK_WAIT + ASK_LIMIT).duration();
        let told = hub.changes(self.table, revision, ASK_WAIT, limit).await;
        self.hub = Some(hub);
        let table: &'static str = self.table.into();
        match told {
            Ok(Ok(rows)) => {
                self.ctx.metrics.hub_call("answered");
                self.reached();
                self.source(true);
                self.changes(&rows, revision);
                true
            }
            Ok(Err(reason)) => {
                self.ctx.metrics.hub_call(reason.into());
                tracing::debug!(table, %addr, %reason, "hub does not tell changes; the store is asked");
                false
            }
            Err(error) => {
                self.ctx.metrics.hub_call("silent");
                tracing::info!(table, %error, "hub does not answer; the store is asked for a while");
                self.direct = self.ctx.now() + DIRECT;
                false
            }
        }
    }

    /// Notes where the changes come from.
    fn source(&mut self, is_served: bool) {
        if std::mem::replace(&mut self.is_served, is_served) != is_served {
            let table: &'static str = self.table.into();
            let source = if is_served { "hub" } else { "store" };
            let revision = self.revision.unwrap_or(0);
            tracing::info!(
                table,
                source,
                revision,
                "changes of a table come from elsewhere"
            );
        }
    }

    async fn read(&mut self) -> Result<(), CallError> {
        let mut all: Vec<Row> = Vec::new();
        let mut first = None;
        loop {
            let after = all.last().map(|r| r.key.clone());
            let path = store::read_path(self.table, after.as_deref());
            let rows = self.store.rows(&path, LIMIT).await?;
            // Changes made while the pages are read are told by the watch that follows.
            let revision = *first.get_or_insert(rows.revision);
            let is_last = !rows.is_partial || rows.rows.is_empty();
            all.extend(rows.rows);
            if is_last {
                self.reached();
                self.whole(&all, revision);
                self.ctx.feeds.update(self.table, |f| f.read(revision));
                self.revision = Some(revision);
                return Ok(());
            }
        }
    }

    /// Takes in a whole reading of the table.
    fn whole(&self, rows: &[Row], revision: u64) {
        let now = self.ctx.now();
        for row in rows {
            self.row(row, now);
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
                tracing::info!(server = %id, revision, "server is missing from a whole reading");
            }
        }
        let table: &'static str = self.table.into();
        tracing::info!(table, revision, rows = rows.len(), "table read");
    }

    fn changes(&mut self, rows: &Rows, since: u64) {
        let now = self.ctx.now();
        for row in &rows.rows {
            self.row(row, now);
        }
        self.revision = Some(rows.revision.max(since));
    }

    fn row(&self, row: &Row, now: Millis) {
        match self.table {
            Table::Operator if row.key == CONFIG_KEY => self.config(row),
            Table::Operator => {}
            Table::Servers => self.server(row, now),
            // The hosts are read by `hosts`, which needs no watch.
            Table::Hosts => {}
        }
    }

    fn config(&self, row: &Row) {
        let Some(value) = &row.value else {
            tracing::warn!(
                revision = row.revision,
                "the configuration's row is gone; the version before stays in force"
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
        let held = self.ctx.snapshot.load().as_ref().map(|s| s.version);
        if held.is_some_and(|v| v >= snapshot.version) {
            return;
        }
        tracing::info!(
            version = snapshot.version.0,
            before = held.map_or(0, |v| v.0),
            revision = row.revision,
            routes = snapshot.route_count(),
            "configuration in force"
        );
        self.ctx
            .metrics
            .version
            .set(snapshot.version.0.cast_signed());
        self.ctx.snapshot.store(Some(Arc::new(snapshot)));
    }

    fn server(&self, row: &Row, now: Millis) {
        let id = BackendId::from(row.key.as_str());
        let entry = match row.value.as_deref().map(servers::decode) {
            None => None,
            Some(Ok(entry)) => Some(entry),
            Some(Err(error)) => {
                tracing::warn!(server = %id, revision = row.revision, %error, "row passed over");
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

    fn failed(&mut self, error: &CallError) {
        self.ctx.feeds.update(self.table, Recent::lost);
        let table: &'static str = self.table.into();
        if !self.is_lost {
            self.is_lost = true;
            tracing::warn!(table, %error, "store lost; what is held stays in force");
        }
        if self.table == Table::Servers {
            self.ctx.servers.lock().roster.registry_unavailable();
        }
    }

    fn reached(&mut self) {
        let now = self.ctx.now();
        if self.table == Table::Servers {
            let mut fleet = self.ctx.servers.lock();
            fleet.roster.registry_available(now);
            fleet.sweep(now);
        }
        if std::mem::take(&mut self.is_lost) {
            self.changed("regained");
        }
    }

    fn changed(&self, change: &'static str) {
        let table: &'static str = self.table.into();
        tracing::info!(
            table,
            change,
            revision = self.revision.unwrap_or(0),
            "store"
        );
    }
}
