//! A small deployment within one test: each process has its own runtime and can be killed.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use base::hash::key_digest;
use base::prelude::*;
use bytes::Bytes;
use gooseberry_standin::faults::Switch;
use gooseberry_standin::{engine, platform, sequence};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use platform_client::client::Platform;
use platform_client::config::commit_ops;
use platform_client::wire::{Host, HostKind};
use profiles::change::{Revision, diff};
use profiles::document::Document;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use store as platform_client;

/// Time limit of [`Fleet::wait_until`] and [`bind`].
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time limit of one call.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Bearer keys of callers and of operators.
pub(crate) const BEARER: &str = "caller-key";
pub(crate) const OPERATOR: &str = "operator-key";

/// Data centre of all hosts and engines.
const DATA_CENTRE: &str = "vn-south-a";

/// A simulated process: a runtime that can be shut down at any time.
pub(crate) struct Process {
    runtime: Mutex<Option<Runtime>>,
    stop: CancellationToken,
    ended: tokio::sync::watch::Receiver<Option<bool>>,
}

impl Process {
    fn start<F>(run: impl FnOnce(CancellationToken) -> F) -> Self
    where
        F: Future<Output = bool> + Send + 'static,
    {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let stop = CancellationToken::new();
        let (sender, ended) = tokio::sync::watch::channel(None);
        let running = run(stop.clone());
        runtime.spawn(async move {
            let is_success = running.await;
            sender.send_replace(Some(is_success));
        });
        let runtime = Mutex::new(Some(runtime));
        Self {
            runtime,
            stop,
            ended,
        }
    }

    /// Kills the process without a graceful shutdown.
    pub(crate) fn kill(&self) {
        let runtime = self
            .runtime
            .lock()
            .expect("the lock is not poisoned")
            .take();
        if let Some(runtime) = runtime {
            runtime.shutdown_background();
        }
    }

    /// Starts a graceful shutdown, as SIGTERM does.
    pub(crate) fn terminate(&self) {
        self.stop.cancel();
    }

    /// Whether the process has exited by itself and successfully.
    pub(crate) fn has_exited(&self) -> bool {
        *self.ended.borrow() == Some(true)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All processes of one test.
pub(crate) struct Fleet {
    net: u8,
    pub(crate) platform: Platform,
    pub(crate) routers: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    pub(crate) engines: Vec<Process>,
    _platform: Process,
}

impl Fleet {
    /// Starts `hosts` entry hosts and `engines` engines; `net` must be unique among the tests that
    /// run at the same time, as it selects the loopback addresses.
    pub(crate) async fn start(net: u8, hosts: u8, engines: u8) -> Self {
        let addr = address(net, 0, 7020);
        let mut settings = platform::Settings {
            lag_ms: 0,
            ..platform::Settings::default()
        };
        let entries = (0..hosts).map(|i| entry(net, i));
        settings.hosts = entries
            .chain((0..engines).map(|i| backend(net, i)))
            .collect();
        let listener = TcpListener::bind(addr).await.expect("a free address");
        let listener = listener.into_std().expect("a listener");
        let _platform = Process::start(move |stop| async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            platform::run(listener, settings, stop).await;
            true
        });
        let platform = Platform {
            addr,
            limit: CALL_LIMIT,
        };
        let mut fleet = Self {
            net,
            platform,
            routers: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            _platform,
        };
        fleet.configure(1).await;
        for i in 0..engines {
            let process = fleet.engine(i).await;
            fleet.engines.push(process);
        }
        for i in 0..hosts {
            let agent = fleet.agent(i);
            fleet.agents.push(agent);
            let router = fleet.router(i);
            fleet.routers.push(router);
        }
        for i in 0..hosts {
            fleet
                .wait_until("all members are alive", || async {
                    let state = fleet.state(i).await;
                    let alive = |list: &Value, field: &str| {
                        let of = |v: &Value| {
                            if field.is_empty() {
                                v.clone()
                            } else {
                                v[field].clone()
                            }
                        };
                        let all = list.as_array().cloned().unwrap_or_default();
                        all.iter()
                            .filter(|v| of(v)["alive"] == true && !of(v)["incarnation"].is_null())
                            .count()
                    };
                    alive(&state["hosts"], "") == usize::from(hosts)
                        && alive(&state["backends"], "seen") == usize::from(engines)
                })
                .await;
        }
        fleet
    }

    /// Commits a configuration of this version to the platform's table.
    pub(crate) async fn configure(&self, version: u64) {
        let document: Document = serde_json::from_value(json!({
            "version": version,
            "profiles": [{ "name": "drafts", "priority": version }],
            "services": [{
                "name": "draft-model", "kind": "model", "profile": "drafts",
                "models": engine::Settings::default().models, "checks_fence": true,
            }],
            "workspaces": [{ "name": "tests", "keys": [key_digest(BEARER)] }],
        }))
        .expect("a document");
        let head = self.platform.head().await.expect("a read");
        let revision = Revision {
            version: Version(version),
            operation: OperationId(format!("change-{version}")),
            changes: diff(&Document::default(), &document),
        };
        let body = commit_ops(&head, &revision);
        self.platform.transact(&body).await.expect("a write");
    }

    /// Starts an engine that generates one token every 10 ms.
    pub(crate) async fn engine(&self, i: u8) -> Process {
        let addr = address(self.net, 100 + i, 7010);
        let listener = bind(addr).await;
        let settings = engine::Settings {
            listen: addr,
            load_lag_ms: 0,
            ..engine::Settings::default()
        };
        Process::start(move |stop| async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            engine::run(listener, settings, stop).await;
            true
        })
    }

    /// Starts the agent of a host.
    pub(crate) fn agent(&self, i: u8) -> Process {
        let settings = serde_json::from_value(json!({
            "host": format!("entry-{i}"), "data_centre": DATA_CENTRE,
            "listen": { "peers": address(self.net, 1 + i, 7004), "admin": address(self.net, 1 + i, 7005) },
            "platform": self.platform.addr, "poll_ms": 200,
            "operator_digest": key_digest(OPERATOR),
        }))
        .expect("settings");
        Process::start(
            |stop| async move { gooseberry_agent::run::run(settings, stop).await.is_ok() },
        )
    }

    /// Starts the router of a host.
    pub(crate) fn router(&self, i: u8) -> Process {
        let at = |port| address(self.net, 1 + i, port);
        let settings = serde_json::from_value(json!({
            "host": format!("entry-{i}"), "data_centre": DATA_CENTRE,
            "listen": { "callers": at(7001), "peers": at(7002), "admin": at(7003) },
            "agent": at(7004), "platform": self.platform.addr,
            "operator_digest": key_digest(OPERATOR),
        }))
        .expect("settings");
        Process::start(
            |stop| async move { gooseberry_router::run::run(settings, stop).await.is_ok() },
        )
    }

    /// Marks a host or engine in the platform's list as leaving or not.
    pub(crate) async fn set_leaving(&self, mut host: Host, leaving: bool) {
        host.leaving = leaving;
        self.platform.put_host(&host).await.expect("a list entry");
    }

    /// Entry of an engine in the platform's list.
    pub(crate) fn backend(&self, i: u8) -> Host {
        backend(self.net, i)
    }

    /// Sets or clears faults of an engine.
    pub(crate) async fn switch(&self, i: u8, fault: &Switch) {
        let addr = address(self.net, 100 + i, 7010);
        let done: Result<Value, _> =
            web::client::call(addr, Method::POST, "/faults", fault, CALL_LIMIT).await;
        done.expect("a switch");
    }

    /// Number of streams that an engine has started.
    pub(crate) async fn streams(&self, i: u8) -> u64 {
        let addr = address(self.net, 100 + i, 7010);
        let stats: engine::Stats = web::client::get(addr, "/stats", CALL_LIMIT)
            .await
            .expect("stats");
        stats.streams
    }

    /// State dump of a router, or null if it does not answer.
    pub(crate) async fn state(&self, i: u8) -> Value {
        let admin = address(self.net, 1 + i, 7003);
        web::client::get(admin, "/v1/state", CALL_LIMIT)
            .await
            .unwrap_or_default()
    }

    /// View of an engine in the state dump of a router, or null.
    pub(crate) async fn backend_view(&self, host: u8, engine: u8) -> Value {
        let state = self.state(host).await;
        let name = format!("engine-{engine}");
        let all = state["backends"].as_array().cloned().unwrap_or_default();
        let found = all
            .into_iter()
            .find(|b| b["seen"]["backend"] == name.as_str());
        found.map(|b| b["seen"].clone()).unwrap_or_default()
    }

    /// Index of the host that is the witness of the only request in flight at a router.
    pub(crate) async fn witness(&self, host: u8) -> Option<u8> {
        let state = self.state(host).await;
        let name = state["requests"][0]["state"]["witness"]["witness"].clone();
        let name = name.as_str()?;
        name.strip_prefix("entry-")?.parse().ok()
    }

    /// `POST /v1/drain` on a router (port 7003) or an agent (port 7005); returns the status.
    pub(crate) async fn drain(&self, host: u8, port: u16, key: Option<&str>) -> u16 {
        let addr = address(self.net, 1 + host, port);
        let mut request = web::client::json_request(addr, Method::POST, "/v1/drain", &());
        if let Some(key) = key {
            let value = format!("Bearer {key}").parse().expect("a header");
            request.headers_mut().insert("authorization", value);
        }
        let answer = web::client::send(addr, request, CALL_LIMIT)
            .await
            .expect("an answer");
        answer.status().as_u16()
    }

    /// Requests a completion through a host.
    pub(crate) async fn complete(&self, host: u8, key: &str, tokens: u64) -> Answer {
        let mut answer = Answer::default();
        self.resume(host, key, tokens, &mut answer).await;
        answer
    }

    /// Requests the rest of a completion through a host and appends it to `answer`; keeps what was
    /// received if the connection breaks.
    pub(crate) async fn resume(&self, host: u8, key: &str, tokens: u64, answer: &mut Answer) {
        let addr = address(self.net, 1 + host, 7001);
        let request = request(addr, key, tokens, answer);
        let Ok(mut response) = web::client::send(addr, request, CALL_LIMIT).await else {
            return;
        };
        answer.status = response.status().as_u16();
        let mut text = String::new();
        while let Some(Ok(frame)) = response.body_mut().frame().await {
            let data = frame.into_data().unwrap_or_default();
            text.push_str(&String::from_utf8_lossy(&data));
            while let Some((event, rest)) = text.split_once("\n\n") {
                answer.apply_event(event);
                text = rest.to_owned();
            }
        }
    }

    /// Waits until a condition holds; panics with `what` after [`WAIT_LIMIT`].
    pub(crate) async fn wait_until<F>(&self, what: &str, mut holds: impl FnMut() -> F)
    where
        F: Future<Output = bool>,
    {
        let deadline = Instant::now() + WAIT_LIMIT;
        while !holds().await {
            assert!(Instant::now() < deadline, "timed out waiting until {what}");
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// The part of a streamed completion that a caller has received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) text: String,
    pub(crate) is_done: bool,
    pub(crate) restarts: u64,
    id: Option<String>,
}

impl Answer {
    /// Applies one server-sent event.
    fn apply_event(&mut self, event: &str) {
        let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
        if field("event: ") == Some("restart") {
            self.restarts += 1;
            self.text.clear();
        }
        let Some(data) = field("data: ") else { return };
        self.is_done |= data == "[DONE]";
        if let Some(id) = field("id: ") {
            self.id = Some(id.to_owned());
        }
        let body: Value = serde_json::from_str(data).unwrap_or_default();
        self.text += body["choices"][0]["text"].as_str().unwrap_or_default();
    }

    /// Whether it is the complete output of one generation.
    pub(crate) fn is_complete(&self, key: &str, tokens: u64) -> bool {
        let (length, _) = sequence::length(&prompt(key), tokens);
        self.is_done && sequence::check(&prompt(key), &self.text) == Ok(length)
    }
}

fn request(addr: SocketAddr, key: &str, tokens: u64, received: &Answer) -> Request<Full<Bytes>> {
    let body = json!({
        "model": "draft-model", "prompt": prompt(key), "max_tokens": tokens, "stream": true,
    });
    let mut request = web::client::json_request(addr, Method::POST, "/v1/completions", &body);
    let mut put = |name: &'static str, value: &str| {
        let value = value.parse().expect("a header");
        request.headers_mut().insert(name, value);
    };
    put("authorization", &format!("Bearer {BEARER}"));
    put("idempotency-key", key);
    if let Some(id) = &received.id {
        put("last-event-id", id);
    }
    request
}

fn prompt(key: &str) -> String {
    format!("Scene {key}: break the script down.")
}

/// Binds an address, with retries while a killed process still holds it.
async fn bind(addr: SocketAddr) -> std::net::TcpListener {
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener.into_std().expect("a listener"),
            Err(e) => assert!(Instant::now() < deadline, "{addr}: {e}"),
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn entry(net: u8, i: u8) -> Host {
    Host {
        name: format!("entry-{i}"),
        data_centre: DataCentre::from(DATA_CENTRE),
        kind: HostKind::Entry {
            router: address(net, 1 + i, 7002),
            agent: address(net, 1 + i, 7004),
        },
        leaving: false,
    }
}

fn backend(net: u8, i: u8) -> Host {
    Host {
        name: format!("engine-{i}"),
        data_centre: DataCentre::from(DATA_CENTRE),
        kind: HostKind::Backend {
            service: ServiceName::from("draft-model"),
            addr: address(net, 100 + i, 7010),
        },
        leaving: false,
    }
}

/// Loopback address that is specific to this test process.
fn address(net: u8, host: u8, port: u16) -> SocketAddr {
    let run = u8::try_from(std::process::id() % 200).unwrap_or(0) + 20;
    SocketAddr::from(([127, run, net, host + 1], port))
}
