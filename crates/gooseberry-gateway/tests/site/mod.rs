//! A deployment in one process: a store, backend servers and gateways on loopback addresses.
//!
//! Each test file is a crate of its own and uses only some of these helpers.
#![allow(dead_code)]

pub(crate) mod cut;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use gooseberry_gateway::link::Link;
use gooseberry_gateway::run::{self, Gateway};
use gooseberry_standin::site::documents;
use gooseberry_standin::site::store::{self, Put, Store};
use gooseberry_standin::site::worker::{self, Shared};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::Value;
use settings::common::Level;
use settings::gateway::{Gateway as Settings, Limits, Listen, Retries};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::{CancellationToken, DropGuard};

pub(crate) use gooseberry_standin::site::caller::{self, Answer};
pub(crate) use gooseberry_standin::site::documents::config;

/// How long a test waits for a condition that must become true; only a failing test waits so long.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The time limit that callers send with a request, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 8_000;

/// A deployment.
pub(crate) struct Site {
    pub(crate) store: Arc<Store>,
    pub(crate) shared: Shared,
    pub(crate) gateway: Gateway,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
    store_addr: SocketAddr,
    stop: CancellationToken,
    _guard: DropGuard,
}

impl Site {
    /// A deployment without backend servers or configuration.
    pub(crate) async fn bare() -> Self {
        let stop = CancellationToken::new();
        let store = Arc::new(Store::default());
        let listener = listener().await;
        let store_addr = listener.local_addr().unwrap();
        tokio::spawn(store::run(listener, Arc::clone(&store), stop.clone()));
        let settings = settings("host-1", store_addr);
        let gateway = run::start(&settings, || 0).await.unwrap();
        let listen = gateway.listen;
        Self {
            store,
            shared: Shared::default(),
            gateway,
            callers: listen.callers,
            ready: listen.ready,
            metrics: listen.metrics,
            store_addr,
            _guard: stop.clone().drop_guard(),
            stop,
        }
    }

    /// A deployment with two engines and two plain servers, ready to serve.
    pub(crate) async fn start() -> Self {
        let site = Self::bare().await;
        for (id, is_engine, centre) in [
            ("e-1", true, "a"),
            ("e-2", true, "b"),
            ("p-1", false, "a"),
            ("p-2", false, "b"),
        ] {
            site.server(id, is_engine, centre).await;
        }
        site.configure(1, &config(1));
        site.until("four servers are listed", || site.listed_count() == 4)
            .await;
        site.until("the configuration is in force", || site.version() == 1)
            .await;
        site
    }

    /// Starts further backend servers, so that there are `count` whose ids begin with `prefix`, in two data centres.
    pub(crate) async fn add_servers(&self, prefix: &str, is_engine: bool, count: usize) {
        for i in 3..=count {
            let centre = if i % 2 == 0 { "a" } else { "b" };
            self.server(&format!("{prefix}-{i}"), is_engine, centre)
                .await;
        }
    }

    /// Starts another gateway in the same data centre.
    pub(crate) async fn gateway(&self, host: &str) -> Gateway {
        run::start(&settings(host, self.store_addr), || 0)
            .await
            .unwrap()
    }

    /// Starts another gateway in the same data centre, and waits until it knows the servers, the configuration and the
    /// first gateway.
    pub(crate) async fn peer(&self, host: &str) -> Gateway {
        let peer = self.gateway(host).await;
        let servers = self.store.keys("servers").len();
        self.until("the gateway knows servers and configuration", || {
            let listed = peer.ctx.servers.lock().roster.len();
            listed == servers && version(&peer) == self.version()
        })
        .await;
        let has_members = |g: &Gateway| g.ctx.gossip().has_members();
        self.until("the gateways hear each other", || {
            has_members(&self.gateway) || has_members(&peer)
        })
        .await;
        peer
    }

    /// Starts another gateway with a grace period of `grace_s` seconds, and waits until it is ready.
    pub(crate) async fn gateway_with_grace(&self, host: &str, grace_s: f64) -> Gateway {
        let settings = Settings {
            grace_s,
            ..settings(host, self.store_addr)
        };
        let gateway = run::start(&settings, || 0).await.unwrap();
        let servers = self.store.keys("servers").len();
        self.until("the gateway is ready", || {
            let listed = gateway.ctx.servers.lock().roster.len();
            listed == servers && version(&gateway) == self.version()
        })
        .await;
        gateway
    }

    /// Starts another gateway, whose way to the store can be cut by dropping the guard.
    pub(crate) async fn gateway_apart(&self, host: &str) -> (Gateway, DropGuard) {
        let listener = listener().await;
        let addr = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        let relay = relay(listener, self.store_addr);
        let cut = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = relay => {}
                () = cut.cancelled() => {}
            }
        });
        let gateway = run::start(&settings(host, addr), || 0).await.unwrap();
        (gateway, stop.drop_guard())
    }

    /// Starts a backend server and lists it.
    pub(crate) async fn server(&self, id: &str, is_engine: bool, centre: &str) -> SocketAddr {
        let listener = listener().await;
        let addr = listener.local_addr().unwrap();
        self.serve(listener, id, is_engine);
        self.list(id, addr, is_engine, centre, "ready");
        addr
    }

    /// Runs a backend server that is not listed yet.
    pub(crate) fn serve(&self, listener: TcpListener, id: &str, is_engine: bool) {
        self.serve_since(listener, id, is_engine, 1);
    }

    /// Runs a backend server that is not listed yet and started at `born`.
    pub(crate) fn serve_since(&self, listener: TcpListener, id: &str, is_engine: bool, born: u64) {
        let settings = worker::Settings {
            id: id.to_owned(),
            engine: is_engine,
            born,
            ..worker::Settings::default()
        };
        let shared = self.shared.clone();
        tokio::spawn(worker::run(listener, settings, shared, self.stop.clone()));
    }

    /// Writes the row of a backend server.
    pub(crate) fn list(
        &self,
        id: &str,
        addr: SocketAddr,
        is_engine: bool,
        centre: &str,
        state: &str,
    ) {
        let row = documents::row(addr, is_engine, centre, state, 1);
        self.put("servers", id, Some(row));
    }

    pub(crate) fn put(&self, table: &str, key: &str, value: Option<Value>) {
        self.store.put(&Put {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
        });
    }

    pub(crate) fn configure(&self, version: u64, config: &Value) {
        let mut config = config.clone();
        config["version"] = version.into();
        self.put("op", "config", Some(config));
    }

    pub(crate) fn version(&self) -> u64 {
        version(&self.gateway)
    }

    pub(crate) fn listed_count(&self) -> usize {
        self.gateway.ctx.servers.lock().roster.len()
    }

    /// The number of servers that may receive new requests.
    pub(crate) fn usable_count(&self) -> usize {
        let now = self.gateway.ctx.now();
        let fleet = self.gateway.ctx.servers.lock();
        fleet
            .roster
            .iter()
            .filter(|(_, m)| m.is_usable(now))
            .count()
    }

    /// Waits until `holds` returns true; `what` names the condition in the failure.
    pub(crate) async fn until(&self, what: &str, holds: impl Fn() -> bool) {
        let end = tokio::time::Instant::now() + TIMEOUT;
        while !holds() {
            assert!(
                tokio::time::Instant::now() < end,
                "timed out waiting for: {what}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends a request over a new connection and reads the whole answer.
    pub(crate) async fn send(&self, request: Request<Full<Bytes>>) -> Answer {
        send_to(&self.gateway, request).await
    }

    pub(crate) async fn open(&self) -> Link {
        open(&self.gateway).await
    }

    /// Whether the load balancer's readiness check succeeds.
    pub(crate) async fn is_ready(&self) -> bool {
        let mut link = Link::open(self.ready, Millis(5_000)).await.unwrap();
        let request = Request::get("/readyz").body(Full::default()).unwrap();
        exchange(&mut link, request).await.status == StatusCode::OK
    }
}

/// The version of the configuration that a gateway has in force.
pub(crate) fn version(gateway: &Gateway) -> u64 {
    let snapshot = gateway.ctx.snapshot.load();
    snapshot.as_ref().map_or(0, |s| s.version.0)
}

/// The address at which a gateway reaches a server.
pub(crate) fn server_addr(gateway: &Gateway, id: &str) -> SocketAddr {
    gateway
        .ctx
        .servers
        .addr(&BackendId::from(id))
        .expect("the server is listed")
}

/// Opens a connection to a gateway as a caller.
pub(crate) async fn open(gateway: &Gateway) -> Link {
    let addr = gateway.listen.callers;
    Link::open(addr, Millis(5_000)).await.unwrap()
}

/// Sends a request to a gateway over a new connection and reads the whole answer.
pub(crate) async fn send_to(gateway: &Gateway, request: Request<Full<Bytes>>) -> Answer {
    exchange(&mut open(gateway).await, request).await
}

/// Sends a request on `link` and reads the whole answer.
pub(crate) async fn exchange(link: &mut Link, request: Request<Full<Bytes>>) -> Answer {
    let response = tokio::time::timeout(TIMEOUT, link.send(request)).await;
    caller::read(response.unwrap().unwrap()).await
}

/// A request to `path` whose body is its id.
pub(crate) fn request(id: &str, path: &str) -> Request<Full<Bytes>> {
    caller::request(id, path, CALLER_TIMEOUT_MS)
}

/// A request for a stream.
pub(crate) fn generation(id: &str, path: &str) -> Request<Full<Bytes>> {
    caller::generation(id, path, CALLER_TIMEOUT_MS)
}

/// The events after the one with id `from` in the complete answer to the generation `id`.
pub(crate) fn events(id: &str, from: u64) -> String {
    caller::events(id, from, worker::Settings::default().events)
}

/// Passes connections on to `to` until it is dropped, which cuts them.
async fn relay(listener: TcpListener, to: SocketAddr) {
    let mut connections = JoinSet::new();
    while let Ok((mut from, _)) = listener.accept().await {
        connections.spawn(async move {
            let mut to = TcpStream::connect(to).await.unwrap();
            // An error here is the end of the connection on either side.
            let _ = tokio::io::copy_bidirectional(&mut from, &mut to).await;
        });
    }
}

fn settings(host: &str, store: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        host: HostId::from(host),
        data_centre: DataCentre::from("a"),
        listen: Listen {
            callers: any,
            ready: any,
            peers: any,
            metrics: any,
            tunnels: Some(any),
        },
        store,
        retries: Retries {
            window_s: 10.0,
            ratio: 1.0,
            extra: 320.0,
        },
        grace_s: 8.0,
        leave_ms: 2_000,
        limits: Limits::default(),
        log_level: Level::Off,
    }
}

/// Reads a request of a gateway to a server that a test plays on a plain socket; `None` at the end of the connection and
/// for a poll of the load, which gets no answer, so that the server is placed without its load.
pub(crate) async fn read_request(stream: &mut TcpStream) -> std::io::Result<Option<String>> {
    let mut buffer = vec![0; 16 << 10];
    let length = stream.read(&mut buffer).await?;
    let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
    let is_answered = length > 0 && !head.starts_with("GET /report");
    Ok(is_answered.then_some(head))
}

/// The value of the header whose line begins with `name`; empty if it is absent.
pub(crate) fn field<'a>(head: &'a str, name: &str) -> &'a str {
    let line = head.lines().find_map(|l| l.strip_prefix(name));
    line.map(str::trim).unwrap_or_default()
}

pub(crate) async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}
