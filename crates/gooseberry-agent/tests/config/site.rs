//! Runs agents and a platform in the test process, on loopback addresses of this test run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use base::hash::key_digest;
use gooseberry_agent::run::run;
use gooseberry_standin::platform as standin;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use settings::agent::Agent as Settings;
use store::wire::{Host, HostKind};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Operator key accepted by the agents.
pub(crate) const KEY: &str = "operator-key";

/// Maximum wait for an outcome; generous, because no test asserts a time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit of a call; longer than the agent's time limit for a proposal.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A TCP relay that can be cut: it then closes its connections and accepts no new ones.
pub(crate) struct Relay {
    is_cut: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Relay {
    pub(crate) async fn start(from: SocketAddr, to: SocketAddr) -> Self {
        let is_cut = Arc::new(AtomicBool::new(false));
        let listener = TcpListener::bind(from).await.expect("a free address");
        let cut = is_cut.clone();
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let (mut near, _) = accepted.expect("a connection");
                        if !cut.load(Ordering::Relaxed) {
                            connections.spawn(async move {
                                let mut far = TcpStream::connect(to).await?;
                                tokio::io::copy_bidirectional(&mut near, &mut far).await
                            });
                        }
                    }
                    () = sleep(Duration::from_millis(10)) => {
                        if cut.load(Ordering::Relaxed) {
                            connections.abort_all();
                        }
                    }
                }
            }
        });
        Self { is_cut, task }
    }

    pub(crate) fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A running agent.
pub(crate) struct RunningAgent {
    pub(crate) settings: Settings,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl RunningAgent {
    pub(crate) async fn stop(self) -> Settings {
        self.stop.cancel();
        self.task.await.expect("an orderly end");
        self.settings
    }

    pub(crate) fn admin(&self) -> SocketAddr {
        self.settings.listen.admin
    }

    pub(crate) async fn state(&self) -> Value {
        get(self.admin(), "/v1/state").await
    }

    pub(crate) async fn version(&self) -> u64 {
        let state = self.state().await;
        state["view"]["version"].as_u64().expect("a version")
    }

    /// Waits until the agent has `version` or a later one.
    pub(crate) async fn wait_version(&self, version: u64) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.version().await < version {
            let host = &self.settings.host;
            assert!(
                Instant::now() < deadline,
                "{host} did not get version {version} in time"
            );
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Proposes to put workspace `name`, based on version `base`.
    pub(crate) async fn put(&self, base: u64, name: &str) -> (StatusCode, Value) {
        // Waits for the agent, which may still be starting.
        self.state().await;
        let change = json!({ "put_workspace": { "name": name, "keys": [] } });
        let body =
            json!({ "base": base, "operation": format!("{name}-{base}"), "changes": [change] });
        self.post("/v1/config/apply", &body, Some(KEY)).await
    }

    pub(crate) async fn post(
        &self,
        path: &str,
        body: &Value,
        key: Option<&str>,
    ) -> (StatusCode, Value) {
        let addr = self.admin();
        let mut request = web::client::json_request(addr, Method::POST, path, body);
        if let Some(key) = key {
            let value = format!("Bearer {key}").parse().expect("a header");
            request.headers_mut().insert("authorization", value);
        }
        let response = web::client::send(addr, request, CALL_TIMEOUT)
            .await
            .expect("an answer");
        let status = response.status();
        let body = match web::client::read_whole(addr, response).await {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(web::client::CallError::Status { body, .. }) => body,
            Err(e) => panic!("{e}"),
        };
        (status, serde_json::from_str(&body).expect("JSON"))
    }
}

/// Platform and loopback addresses of one test.
pub(crate) struct Site {
    group: u8,
    hosts: Vec<Host>,
    pub(crate) platform: SocketAddr,
}

impl Site {
    /// Starts a platform that lists one agent per entry of `data_centres`; `group` is unique to the
    /// test.
    pub(crate) async fn start(group: u8, data_centres: &[&str]) -> Self {
        Self::with(group, data_centres, &[]).await
    }

    /// Like `start`, with the agents of index `relayed` listed under the addresses of their relays.
    pub(crate) async fn with(group: u8, data_centres: &[&str], relayed: &[usize]) -> Self {
        let hosts: Vec<Host> = data_centres
            .iter()
            .enumerate()
            .map(|(i, data_centre)| Host {
                name: format!("entry-{i}"),
                data_centre: (*data_centre).into(),
                kind: HostKind::Entry {
                    router: address(group, i, 7002),
                    agent: address(group, i, if relayed.contains(&i) { 7006 } else { 7004 }),
                },
                leaving: false,
            })
            .collect();
        let platform = address(group, 200, 7020);
        let listener = TcpListener::bind(platform).await.expect("a free address");
        let settings = standin::Settings {
            lag_ms: 0,
            hosts: hosts.clone(),
            ..standin::Settings::default()
        };
        tokio::spawn(standin::run(listener, settings, CancellationToken::new()));
        Self {
            group,
            hosts,
            platform,
        }
    }

    /// The loopback address of agent `i`, with this port.
    pub(crate) fn address(&self, i: usize, port: u16) -> SocketAddr {
        address(self.group, i, port)
    }

    /// The settings of agent `i`.
    pub(crate) fn settings(&self, i: usize) -> Settings {
        let value = json!({
            "host": self.hosts[i].name,
            "data_centre": self.hosts[i].data_centre,
            "listen": { "peers": self.address(i, 7004), "admin": self.address(i, 7005) },
            "platform": self.platform,
            "platform_ms": 500,
            "poll_ms": 50,
            "operator_digest": key_digest(KEY),
        });
        serde_json::from_value(value).expect("settings")
    }

    pub(crate) fn agents(&self) -> Vec<RunningAgent> {
        (0..self.hosts.len())
            .map(|i| agent(self.settings(i)))
            .collect()
    }

    pub(crate) async fn faults(&self, switch: Value) {
        let _: Value = web::client::call(
            self.platform,
            Method::POST,
            "/faults",
            &switch,
            CALL_TIMEOUT,
        )
        .await
        .expect("a switch");
    }
}

/// Starts an agent.
pub(crate) fn agent(settings: Settings) -> RunningAgent {
    let stop = CancellationToken::new();
    let (own, token) = (settings.clone(), stop.clone());
    let task = tokio::spawn(async move {
        run(own, token).await.expect("free addresses");
    });
    RunningAgent {
        settings,
        stop,
        task,
    }
}

/// Gets `path`, retrying while the process is still starting.
pub(crate) async fn get(addr: SocketAddr, path: &str) -> Value {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        match web::client::get(addr, path, CALL_TIMEOUT).await {
            Ok(value) => return value,
            Err(e) => assert!(Instant::now() < deadline, "{e}"),
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// A loopback address derived from the process id, so that concurrent test runs do not collide.
fn address(group: u8, i: usize, port: u16) -> SocketAddr {
    let run = std::process::id();
    let octet = |n: u32| u8::try_from(n).expect("below 256");
    let second = octet(run % 250 + 1);
    let third = octet(run / 250 % 10) * 25 + group;
    SocketAddr::from((
        [
            127,
            second,
            third,
            u8::try_from(i + 1).expect("a small number"),
        ],
        port,
    ))
}
