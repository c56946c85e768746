//! The platform stand-in: table, object store and lagging host list.

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
    /// Where it listens.
    pub listen: SocketAddr,
    /// The time that a write takes, in milliseconds.
    pub write_ms: u64,
    /// The time that a read takes, in milliseconds.
    pub read_ms: u64,
    /// The most writes a second; more are refused.
    pub writes: u64,
    /// The most reads a second; more are refused.
    pub reads: u64,
    /// By how much the host list lags, in milliseconds.
    pub lag_ms: u64,
    /// The time that loading one model's weights takes, in milliseconds.
    pub weights_ms: u64,
    /// The most weight loads at once; more are refused.
    pub weight_loads: usize,
    /// The hosts known at the start.
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

/// What the platform has done; `GET /stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Transactions and objects written.
    pub writes: u64,
    /// Reads, scans and objects read.
    pub reads: u64,
    /// Calls refused for their rate.
    pub throttled: u64,
    /// Bytes of bodies that went out.
    pub bytes_out: u64,
}

/// All that the platform keeps.
#[derive(Debug, Default)]
struct State {
    table: Table,
    objects: Sorted<String, Value>,
    hosts: Vec<(Instant, HostList)>,
    stats: Stats,
    weight_loads: usize,
    /// The second for which calls are counted, and the calls in it.
    window: Option<(Instant, u64, u64)>,
}

/// The platform.
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

    /// Counts a call against its rate; returns whether it may go on.
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

    /// The host list as it was some time ago.
    fn hosts(&self) -> HostList {
        let lag = Duration::from_millis(self.settings.lag_ms);
        let state = self.lock();
        let is_visible = |(at, _): &&(Instant, HostList)| at.elapsed() >= lag;
        let newest = state.hosts.iter().rfind(is_visible).or(state.hosts.first());
        newest.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Puts an entry into the host list.
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

    /// Takes an entry out of the host list.
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
