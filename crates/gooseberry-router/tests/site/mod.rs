//! Routers, a platform and plain services on loopback addresses, in one process.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::hash::key_digest;
use base::prelude::*;
use bytes::Bytes;
use gooseberry_router::backends::Backend;
use gooseberry_router::config::Snapshot;
use gooseberry_router::context::Router;
use gooseberry_router::{claims, http};
use gooseberry_standin::faults::Switch;
use gooseberry_standin::{platform, service};
use http_body_util::{BodyExt, Full};
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request};
use peer::agent::{BackendView, HostView};
use profiles::document::Document;
use serde_json::{Value, json};
use timer::Timer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Time limit of one request of a test.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);

/// Data centre of all hosts and backend servers.
const DATA_CENTRE: &str = "vn-south-a";

/// A deployment; dropping it stops its routers and platform.
pub(crate) struct Site {
    pub(crate) platform: SocketAddr,
    pub(crate) routers: Vec<Arc<Router>>,
    callers: Vec<SocketAddr>,
    stop: CancellationToken,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Response to a call, as the caller receives it.
#[derive(Clone, Debug)]
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) text: String,
}

impl CallAnswer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    pub(crate) fn key(&self) -> String {
        let key = self.headers.get("idempotency-key").expect("a key");
        key.to_str().expect("a plain key").to_owned()
    }
}

impl Site {
    /// Starts a platform and routers that use these backend servers.
    pub(crate) async fn start(
        routers: usize,
        backends: &[SocketAddr],
        document: &Document,
    ) -> Self {
        let stop = CancellationToken::new();
        let (listener, platform) = listen().await;
        let settings = platform::Settings {
            writes: 100_000,
            reads: 100_000,
            ..platform::Settings::default()
        };
        tokio::spawn(platform::run(listener, settings, stop.clone()));
        let mut site = Self {
            platform,
            routers: Vec::new(),
            callers: Vec::new(),
            stop,
        };
        for i in 0..routers {
            site.add_router(i, backends, document).await;
        }
        site
    }

    async fn add_router(&mut self, i: usize, backends: &[SocketAddr], document: &Document) {
        let settings = json!({
            "host": format!("entry-{i}"),
            "data_centre": DATA_CENTRE,
            "listen": { "callers": "127.0.0.1:1", "peers": "127.0.0.1:1", "admin": "127.0.0.1:1" },
            "agent": "127.0.0.1:1",
            "platform": self.platform,
            "platform_ms": 200,
        });
        let settings = serde_json::from_value(settings).expect("settings");
        let metrics = telemetry::metrics::start("router", "test", None).expect("metrics");
        let router = Arc::new(Router::new(settings, Timer::start(), metrics));
        let adopt = |(n, addr): (usize, &SocketAddr)| {
            Arc::new(Backend::adopt(Millis(0), backend(n, *addr), &[]))
        };
        router.swap(Snapshot {
            document: Arc::new(document.clone()),
            hosts: vec![host(i)],
            backends: backends.iter().enumerate().map(adopt).collect(),
            drain: false,
            agent: None,
        });
        let (listener, addr) = listen().await;
        tokio::spawn(claims::write(router.clone()));
        let r = router.clone();
        tokio::spawn(web::server::serve(
            listener,
            self.stop.clone(),
            move |request| http::handle(r.clone(), request),
        ));
        self.routers.push(router);
        self.callers.push(addr);
    }

    /// Calls the service `booking-app` through one router.
    pub(crate) async fn call(
        &self,
        router: usize,
        method: Method,
        path: &str,
        key: &str,
        body: &str,
    ) -> CallAnswer {
        let addr = self.callers[router];
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/v1/services/booking-app{path}"))
            .header(AUTHORIZATION, "Bearer site-key")
            .header("host", addr.to_string());
        if !key.is_empty() {
            request = request.header("idempotency-key", key);
        }
        let request = request
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a request");
        let response = web::client::send(addr, request, LIMIT)
            .await
            .expect("an answer");
        let (parts, body) = response.into_parts();
        let bytes = body.collect().await.expect("a complete body").to_bytes();
        CallAnswer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            text: String::from_utf8_lossy(&bytes).into_owned(),
        }
    }

    /// Confirms a booking: a call that is not idempotent.
    pub(crate) async fn confirm(&self, router: usize, key: &str) -> CallAnswer {
        self.call(router, Method::POST, "/confirm", key, "gaffer, Tuesday")
            .await
    }

    /// Sets or clears faults of the platform.
    pub(crate) async fn switch(&self, switch: Switch) {
        let _: Value = web::client::call(self.platform, Method::POST, "/faults", &switch, LIMIT)
            .await
            .expect("a switch");
    }
}

/// Starts a stand-in of a plain service.
pub(crate) async fn stand_in(stop: &CancellationToken) -> SocketAddr {
    let (listener, addr) = listen().await;
    tokio::spawn(service::run(
        listener,
        service::Settings::default(),
        stop.clone(),
    ));
    addr
}

/// Number of times that a stand-in ran the call with `key`.
pub(crate) async fn runs(addr: SocketAddr, key: &str) -> u64 {
    let runs: Vec<service::RunCount> = web::client::get(addr, "/runs", LIMIT).await.expect("runs");
    runs.iter().find(|r| r.key == key).map_or(0, |r| r.count)
}

/// Fake backend server with a fixed behaviour, which records the key of each call.
#[derive(Clone, Default)]
pub(crate) struct Fake {
    /// The keys of the calls that ran.
    pub(crate) ran: Arc<Mutex<Vec<String>>>,
    /// The keys of the calls whose connection the caller closed before the answer.
    pub(crate) closed: Arc<Mutex<Vec<String>>>,
}

/// Behaviour of a [`Fake`] after it has run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Closes the connection without an answer.
    Disconnect,
    /// Answers the first call after this many milliseconds, the others at once.
    SlowFirst(u64),
}

impl Fake {
    /// Serves until the end of the test.
    pub(crate) async fn serve(&self, behaviour: Behaviour) -> SocketAddr {
        let (listener, addr) = listen().await;
        let fake = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(fake.clone().connection(stream, behaviour));
            }
        });
        addr
    }

    async fn connection(self, mut stream: TcpStream, behaviour: Behaviour) {
        let mut head = vec![0; 4_096];
        loop {
            let Ok(count @ 1..) = stream.read(&mut head).await else {
                return;
            };
            let text = String::from_utf8_lossy(&head[..count]).to_lowercase();
            let key = text.split("idempotency-key: ").nth(1).unwrap_or_default();
            let key = key.lines().next().unwrap_or_default().to_owned();
            let is_first = {
                let mut ran = self.ran.lock().expect("the lock is not poisoned");
                ran.push(key.clone());
                ran.len() == 1
            };
            match behaviour {
                Behaviour::Disconnect => return,
                Behaviour::SlowFirst(ms) if is_first => {
                    let mut byte = [0];
                    let wait =
                        tokio::time::timeout(Duration::from_millis(ms), stream.read(&mut byte));
                    if wait.await.is_ok() {
                        self.closed
                            .lock()
                            .expect("the lock is not poisoned")
                            .push(key);
                        return;
                    }
                }
                Behaviour::SlowFirst(_) => {}
            }
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{key}",
                key.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Configuration with one plain service; only `GET /status` is idempotent.
pub(crate) fn document(deadline_ms: u64) -> Document {
    let document = json!({
        "version": 1,
        "profiles": [{ "name": "bookings", "deadline_ms": deadline_ms,
            "retry": { "tries": 3, "percent": 10, "try_ms": 300 } }],
        "services": [{ "name": "booking-app", "kind": "plain", "profile": "bookings",
            "may_repeat": [{ "method": "GET", "path": "/status" }], "retain_ms": 60_000 }],
        "workspaces": [{ "name": "crew", "keys": [key_digest("site-key")] }],
    });
    serde_json::from_value(document).expect("a document")
}

/// Returns an address on which nothing listens.
pub(crate) async fn unused_address() -> SocketAddr {
    let (listener, addr) = listen().await;
    drop(listener);
    addr
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

fn host(i: usize) -> HostView {
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    HostView {
        host: HostId(format!("entry-{i}")),
        data_centre: DataCentre::from(DATA_CENTRE),
        router: unused,
        agent: unused,
        incarnation: None,
        leaving: false,
        alive: true,
    }
}

fn backend(n: usize, addr: SocketAddr) -> BackendView {
    BackendView {
        backend: BackendId(format!("booking-{n}")),
        service: ServiceName::from("booking-app"),
        data_centre: DataCentre::from(DATA_CENTRE),
        addr,
        incarnation: None,
        leaving: false,
        alive: true,
        // The first server has the least load, so that each call goes there first.
        running: n as u64 * 10,
        queued: 0,
        slots: 0,
        models: Vec::new(),
        age_ms: 0,
        blocks: Vec::new(),
    }
}
