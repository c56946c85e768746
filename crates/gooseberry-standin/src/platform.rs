//! The platform stand-in: a transactional table, an object store, and a host list with a lag.

mod http;
mod table;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::sorted::Sorted;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use store::wire::{Host, HostList};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::faults::Faults;
use table::Table;

/// The settings of a platform stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// The time that a write takes, in milliseconds.
    pub write_ms: u64,
    /// The time that a read takes, in milliseconds.
    pub read_ms: u64,
    /// The rate limit on writes, per second; more are refused.
    pub writes: u64,
    /// The rate limit on reads, per second; more are refused.
    pub reads: u64,
    /// The delay until a change of the host list is visible to readers, in milliseconds.
    pub lag_ms: u64,
    /// The time that loading one model's weights takes, in milliseconds.
    pub weights_ms: u64,
    /// The maximum number of concurrent weight loads; more are refused.
    pub weight_loads: usize,
    /// The host list at the start.
    pub hosts: Vec<Host>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            write_ms: 5,
            read_ms: 2,
            writes: 500,
            reads: 2_000,
            lag_ms: 1_000,
            weights_ms: 500,
            weight_loads: 2,
            hosts: Vec::new(),
        }
    }
}

/// Counters of the platform since its start, returned by `GET /stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Writes admitted: transactions, and objects or hosts written or deleted by PUT or DELETE.
    pub writes: u64,
    /// All other calls admitted.
    pub reads: u64,
    /// Calls refused by the rate limits.
    pub throttled: u64,
    /// Bytes of response bodies; always 0, as they are not counted.
    pub bytes_out: u64,
}

/// The mutable state of the platform, under one lock.
#[derive(Debug, Default)]
struct State {
    table: Table,
    objects: Sorted<String, Value>,
    /// All revisions of the host list and when they were made, oldest first.
    hosts: Vec<(Instant, HostList)>,
    stats: Stats,
    /// The number of weight loads in progress.
    weight_loads: usize,
    /// The current one-second window of the rate limits: its start, its reads and its writes.
    window: Option<(Instant, u64, u64)>,
}

/// The platform, shared by its request handlers.
#[derive(Debug)]
struct Platform {
    settings: Settings,
    faults: Faults,
    state: Mutex<State>,
}

impl Platform {
    fn new(settings: Settings) -> Self {
        let mut state = State::default();
        let mut hosts = settings.hosts.clone();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        state
            .hosts
            .push((Instant::now(), HostList { revision: 1, hosts }));
        Self {
            settings,
            faults: Faults::default(),
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Counts a call against its rate limit; returns whether it is admitted.
    fn admit(&self, is_write: bool) -> bool {
        let mut state = self.lock();
        let now = Instant::now();
        let is_current = |w: &(Instant, u64, u64)| now.duration_since(w.0) < Duration::from_secs(1);
        let (start, reads, writes) = state.window.filter(is_current).unwrap_or((now, 0, 0));
        let (reads, writes) = if is_write {
            (reads, writes + 1)
        } else {
            (reads + 1, writes)
        };
        state.window = Some((start, reads, writes));
        let is_over = reads > self.settings.reads || writes > self.settings.writes;
        match (is_over, is_write) {
            (true, _) => state.stats.throttled += 1,
            (false, true) => state.stats.writes += 1,
            (false, false) => state.stats.reads += 1,
        }
        !is_over
    }

    /// The newest host list that is older than the lag, or the first one if none is.
    fn hosts(&self) -> HostList {
        let lag = Duration::from_millis(self.settings.lag_ms);
        let state = self.lock();
        let is_visible = |(at, _): &&(Instant, HostList)| at.elapsed() >= lag;
        let newest = state.hosts.iter().rfind(is_visible).or(state.hosts.first());
        newest.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Adds or replaces an entry of the host list, in a new revision.
    fn put_host(&self, host: Host) {
        let mut state = self.lock();
        let mut list = state
            .hosts
            .last()
            .map(|(_, l)| l.clone())
            .unwrap_or_default();
        list.revision += 1;
        match list.hosts.binary_search_by(|h| h.name.cmp(&host.name)) {
            Ok(i) => list.hosts[i] = host,
            Err(i) => list.hosts.insert(i, host),
        }
        state.hosts.push((Instant::now(), list));
    }

    /// Removes an entry of the host list, in a new revision.
    fn remove_host(&self, name: &str) {
        let mut state = self.lock();
        let mut list = state
            .hosts
            .last()
            .map(|(_, l)| l.clone())
            .unwrap_or_default();
        list.revision += 1;
        list.hosts.retain(|h| h.name != name);
        state.hosts.push((Instant::now(), list));
    }
}

/// Runs a platform on `listener` until `stop` is cancelled.
pub async fn run(listener: TcpListener, settings: Settings, stop: CancellationToken) {
    let platform = Arc::new(Platform::new(settings));
    let handler = move |request| http::handle(platform.clone(), request);
    web::server::serve(listener, stop, handler).await;
}
