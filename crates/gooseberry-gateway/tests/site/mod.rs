//! A deployment in one process: a store, backend servers and gateways on loopback addresses.
//!
//! Each test file uses its own part of this.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::hash::stable;
use base::prelude::*;
use bytes::Bytes;
use gooseberry_gateway::link::Link;
use gooseberry_gateway::run::{self, Gateway};
use gooseberry_standin::site::store::{self, Put, Store};
use gooseberry_standin::site::worker::{self, Shared};
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};
use settings::common::Level;
use settings::gateway::{Gateway as Settings, Listen, Retries};
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

/// How long a test waits for what must come; only a failure takes so long.
const PATIENCE: Duration = Duration::from_secs(20);

/// The host name of all routes.
pub(crate) const HOST: &str = "site.example";

/// The key of the workspace `crew`.
pub(crate) const KEY: &str = "k1";

/// A deployment.
pub(crate) struct Site {
    pub(crate) store: Arc<Store>,
    pub(crate) shared: Shared,
    pub(crate) gateway: Gateway,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
    stop: CancellationToken,
    _guard: DropGuard,
}

/// An answer, read whole.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the body came to its end.
    pub(crate) is_whole: bool,
}

impl Answer {
    pub(crate) fn text(&self) -> &str {
        str::from_utf8(&self.body).unwrap()
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }
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
        site.until("the gateway knows four servers", || site.listed() == 4)
            .await;
        site.until("the configuration is in force", || site.version() == 1)
            .await;
        site
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
        let settings = worker::Settings {
            id: id.to_owned(),
            engine: is_engine,
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
        let service = if is_engine { "draft" } else { "crew" };
        let row = json!({
            "service": service, "addr": addr, "zone": centre, "version": "v1", "slots": 8,
            "state": state, "cold-left-ms": 0, "seq": 1, "born": 1,
        });
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
        let snapshot = self.gateway.ctx.snapshot.load();
        snapshot.as_ref().map_or(0, |s| s.version.0)
    }

    pub(crate) fn listed(&self) -> usize {
        self.gateway.ctx.servers.lock().roster.len()
    }

    /// The servers that may take new requests.
    pub(crate) fn usable(&self) -> usize {
        let now = self.gateway.ctx.now();
        let fleet = self.gateway.ctx.servers.lock();
        fleet
            .roster
            .iter()
            .filter(|(_, m)| m.is_usable(now))
            .count()
    }

    /// Waits until something holds.
    pub(crate) async fn until(&self, what: &str, holds: impl Fn() -> bool) {
        let end = tokio::time::Instant::now() + PATIENCE;
        while !holds() {
            assert!(tokio::time::Instant::now() < end, "in vain: {what}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends a request over a new connection and reads the answer.
    pub(crate) async fn ask(&self, request: Request<Full<Bytes>>) -> Answer {
        let mut link = self.open().await;
        exchange(&mut link, request).await
    }

    pub(crate) async fn open(&self) -> Link {
        Link::open(self.callers, Millis(5_000)).await.unwrap()
    }

    /// Asks the balancer's question.
    pub(crate) async fn is_ready(&self) -> bool {
        let mut link = Link::open(self.ready, Millis(5_000)).await.unwrap();
        let request = Request::get("/readyz").body(Full::default()).unwrap();
        exchange(&mut link, request).await.status == StatusCode::OK
    }
}

/// Sends a request and reads the answer.
pub(crate) async fn exchange(link: &mut Link, request: Request<Full<Bytes>>) -> Answer {
    let response = tokio::time::timeout(PATIENCE, link.send(request)).await;
    let (parts, mut body) = response.unwrap().unwrap().into_parts();
    let mut bytes = Vec::new();
    let mut is_whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().unwrap()),
            Err(_) => {
                is_whole = false;
                break;
            }
        }
    }
    Answer {
        status: parts.status,
        headers: parts.headers,
        body: bytes.into(),
        is_whole,
    }
}

/// A request to `path`; its body is its id.
pub(crate) fn request(id: &str, path: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", HOST)
        .header("attempt-id", id)
        .header("deadline-ms", "8000")
        .header("x-api-key", KEY)
        .body(Full::new(Bytes::from(id.to_owned())))
        .unwrap()
}

/// A request for a stream.
pub(crate) fn generation(id: &str, path: &str) -> Request<Full<Bytes>> {
    let mut request = request(id, path);
    let tokens = "1000,210".parse().unwrap();
    request.headers_mut().insert("token-count", tokens);
    request
}

/// The events behind `from` of the whole answer to the generation of this id.
pub(crate) fn events(id: &str, from: u64) -> String {
    let content = stable(id.as_bytes());
    let last = worker::Settings::default().events;
    (from + 1..=last)
        .map(|n| worker::event(content, n))
        .collect()
}

/// The configuration with idempotent calls, calls that run once, streams, and a public route.
pub(crate) fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout-ms": 6000, "slo-ms": 300, "priority": 1, "service": service, "attempts": 3,
            "public": name == "open", "sticky": false, "resumable": kind == "streaming",
        })
    };
    json!({
        "version": version,
        "routes": [
            route("safe", "idempotent", "crew"),
            route("once", "non_idempotent", "crew"),
            route("draft", "streaming", "draft"),
            route("open", "idempotent", "crew"),
        ],
        "services": [
            {"name": "draft", "health-path": "/healthz", "max-conns": 100, "engine": {
                "slots": 64, "kv-capacity": 55000, "stride": 7, "backups": true}},
            {"name": "crew", "health-path": "/healthz", "max-conns": 100},
        ],
        "limits": {"max-header-bytes": 4000, "max-body-bytes": 10000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "crew", "api-keys": [KEY], "priority": 1}],
    })
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
        },
        store,
        retries: Retries {
            window_s: 10.0,
            ratio: 1.0,
            extra: 320.0,
        },
        grace_s: 8.0,
        log_level: Level::Off,
    }
}

pub(crate) async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}
