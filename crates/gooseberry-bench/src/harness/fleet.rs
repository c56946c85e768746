//! A deployment of real processes on loopback addresses.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use base::prelude::*;
use gooseberry_standin::{engine, platform as standin};
use hyper::Method;
use platform::client::Platform;
use platform::wire::{Expect, Host, HostKind, Op, Transact, Write};
use profiles::document::Document;
use serde_json::Value;
use settings::agent::{Agent, Listen as AgentListen};
use settings::common::Log;
use settings::router::{Listen as RouterListen, Router};
use tokio::time::{Instant, sleep};

use super::BenchError;
use super::child::{Child, write_settings};

/// The longest wait for a process to become ready.
const READY: Duration = Duration::from_secs(10);

/// The time between looks at whether a process is ready.
const LOOK: Duration = Duration::from_millis(50);

/// The time limit of a call of the bench to a process.
pub(crate) const CALL: Duration = Duration::from_secs(2);

/// The ports of the processes; each host has an address of its own.
const CALLERS: u16 = 7001;
const ROUTER_PEERS: u16 = 7002;
const ROUTER_ADMIN: u16 = 7003;
const AGENT_PEERS: u16 = 7004;
const AGENT_ADMIN: u16 = 7005;
const BACKEND: u16 = 7010;
const PLATFORM: u16 = 7020;

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// The data centre of each entry host.
    pub(crate) hosts: Vec<DataCentre>,
    /// The data centre of each engine.
    pub(crate) engines: Vec<DataCentre>,
    /// The service that the engines form.
    pub(crate) service: ServiceName,
    /// What the engines are like.
    pub(crate) engine: engine::Settings,
    /// What the platform is like.
    pub(crate) platform: standin::Settings,
    /// The configuration.
    pub(crate) document: Document,
}

/// An entry host.
#[derive(Debug)]
pub(crate) struct EntryHost {
    /// Where callers come in.
    pub(crate) callers: SocketAddr,
    /// Where operators ask its router.
    pub(crate) admin: SocketAddr,
    /// The router.
    pub(crate) router: Child,
    /// The agent.
    pub(crate) agent: Child,
}

/// An engine.
#[derive(Debug)]
pub(crate) struct Engine {
    /// Its name.
    pub(crate) name: String,
    /// Its address.
    pub(crate) addr: SocketAddr,
    /// Its process.
    pub(crate) process: Child,
    file: PathBuf,
}

/// A running deployment; everything ends with it.
#[derive(Debug)]
pub(crate) struct Fleet {
    programs: PathBuf,
    folder: PathBuf,
    /// The platform.
    pub(crate) platform: Child,
    /// The platform's address.
    pub(crate) platform_addr: SocketAddr,
    /// The entry hosts.
    pub(crate) hosts: Vec<EntryHost>,
    /// The engines.
    pub(crate) engines: Vec<Engine>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // What is left behind in the temporary folder harms nobody.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts all processes and waits until every router takes requests.
    pub(crate) async fn start(programs: &Path, plan: &Plan) -> Result<Self, BenchError> {
        let folder = folder()?;
        let platform_addr = address(0, 1, PLATFORM);
        let mut settings = plan.platform.clone();
        settings.listen = platform_addr;
        settings.hosts = host_list(plan);
        let file = folder.join("platform.json");
        write_settings(&file, &settings)?;
        let platform = Child::start(programs, "gooseberry-standin", &["platform"], &file)?;
        let mut fleet = Self {
            programs: programs.to_owned(),
            folder,
            platform,
            platform_addr,
            hosts: Vec::new(),
            engines: Vec::new(),
        };
        fleet.put_document(&plan.document).await?;
        for i in 0..plan.engines.len() {
            fleet.start_engine(plan, i)?;
        }
        for i in 0..plan.hosts.len() {
            fleet.start_host(plan, i)?;
        }
        for host in &fleet.hosts {
            until_ready(host.admin, &host.callers.to_string()).await?;
        }
        fleet.until_seen(plan.engines.len()).await?;
        Ok(fleet)
    }

    /// Ends all processes and waits for them, so that their addresses are free again.
    pub(crate) async fn stop(mut self) {
        let hosts = self
            .hosts
            .iter_mut()
            .flat_map(|h| [&mut h.router, &mut h.agent]);
        let engines = self.engines.iter_mut().map(|e| &mut e.process);
        let platform = std::iter::once(&mut self.platform);
        for child in hosts.chain(engines).chain(platform) {
            child.kill();
            // A killed process never ends with success.
            let _ = child.wait().await;
        }
    }

    /// Starts an engine again at its old address.
    pub(crate) fn restart_engine(&mut self, i: usize) -> Result<(), BenchError> {
        let file = self.engines[i].file.clone();
        self.engines[i].process =
            Child::start(&self.programs, "gooseberry-standin", &["engine"], &file)?;
        Ok(())
    }

    /// The state dump of a router.
    pub(crate) async fn state(&self, host: usize) -> Result<Value, BenchError> {
        Ok(web::client::get(self.hosts[host].admin, "/v1/state", CALL).await?)
    }

    /// What an engine has done.
    pub(crate) async fn engine_stats(&self, i: usize) -> Result<engine::Stats, BenchError> {
        Ok(web::client::get(self.engines[i].addr, "/stats", CALL).await?)
    }

    /// Switches a fault of a stand-in.
    pub(crate) async fn switch(
        &self,
        addr: SocketAddr,
        fault: &gooseberry_standin::faults::Switch,
    ) -> Result<(), BenchError> {
        let _: Value = web::client::call(addr, Method::POST, "/faults", fault, CALL).await?;
        Ok(())
    }

    /// Puts the first configuration into the platform's table.
    async fn put_document(&self, document: &Document) -> Result<(), BenchError> {
        let platform = Platform {
            addr: self.platform_addr,
            limit: CALL,
        };
        let op = Op {
            key: "config/head".to_owned(),
            expect: Expect::Any,
            write: Write::Put(serde_json::to_value(document).unwrap_or_default()),
        };
        let body = Transact { ops: vec![op] };
        let deadline = Instant::now() + READY;
        loop {
            match platform.transact(&body).await {
                Ok(_) => return Ok(()),
                Err(e) if Instant::now() > deadline => return Err(e.into()),
                Err(_) => sleep(LOOK).await,
            }
        }
    }

    fn start_engine(&mut self, plan: &Plan, i: usize) -> Result<(), BenchError> {
        let mut settings = plan.engine.clone();
        settings.listen = engine_address(i);
        settings.seed += i as u64;
        let name = engine_name(i);
        let file = self.folder.join(format!("{name}.json"));
        write_settings(&file, &settings)?;
        let process = Child::start(&self.programs, "gooseberry-standin", &["engine"], &file)?;
        self.engines.push(Engine {
            name,
            addr: settings.listen,
            process,
            file,
        });
        Ok(())
    }

    fn start_host(&mut self, plan: &Plan, i: usize) -> Result<(), BenchError> {
        let router = router_settings(plan, i, self.platform_addr);
        let agent = agent_settings(plan, i, self.platform_addr);
        let router_file = self.folder.join(format!("{}-router.json", router.host));
        let agent_file = self.folder.join(format!("{}-agent.json", agent.host));
        write_settings(&router_file, &router)?;
        write_settings(&agent_file, &agent)?;
        self.hosts.push(EntryHost {
            callers: router.listen.callers,
            admin: router.listen.admin,
            agent: Child::start(&self.programs, "gooseberry-agent", &[], &agent_file)?,
            router: Child::start(&self.programs, "gooseberry-router", &[], &router_file)?,
        });
        Ok(())
    }

    /// Waits until every router sees this many live backend servers.
    async fn until_seen(&self, count: usize) -> Result<(), BenchError> {
        let deadline = Instant::now() + READY;
        for i in 0..self.hosts.len() {
            loop {
                let state = self.state(i).await?;
                let backends = state["backends"].as_array();
                let is_alive = |b: &&Value| b["seen"]["alive"] == true;
                let seen = backends.map_or(0, |all| all.iter().filter(is_alive).count());
                if seen >= count {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(BenchError::NotReady(format!("host {i}")));
                }
                sleep(LOOK).await;
            }
        }
        Ok(())
    }
}

/// The log of a run's own processes.
fn log() -> Log {
    Log::default()
}

fn router_settings(plan: &Plan, i: usize, platform: SocketAddr) -> Router {
    Router {
        host: host_name(i),
        data_centre: plan.hosts[i].clone(),
        listen: RouterListen {
            callers: host_address(i, CALLERS),
            peers: host_address(i, ROUTER_PEERS),
            admin: host_address(i, ROUTER_ADMIN),
        },
        agent: host_address(i, AGENT_PEERS),
        platform,
        platform_ms: 1_000,
        journal: journal::store::Limits::default(),
        drain_ms: 60_000,
        log: log(),
        statsd: None,
    }
}

fn agent_settings(plan: &Plan, i: usize, platform: SocketAddr) -> Agent {
    Agent {
        host: host_name(i),
        data_centre: plan.hosts[i].clone(),
        listen: AgentListen {
            peers: host_address(i, AGENT_PEERS),
            admin: host_address(i, AGENT_ADMIN),
        },
        platform,
        platform_ms: 1_000,
        poll_ms: 500,
        load_ms: 250,
        log: log(),
        statsd: None,
    }
}

/// The platform's list of all hosts.
fn host_list(plan: &Plan) -> Vec<Host> {
    let entries = plan.hosts.iter().enumerate().map(|(i, data_centre)| Host {
        name: host_name(i).0,
        data_centre: data_centre.clone(),
        kind: HostKind::Entry {
            router: host_address(i, ROUTER_PEERS),
            agent: host_address(i, AGENT_PEERS),
        },
        leaving: false,
    });
    let engines = plan
        .engines
        .iter()
        .enumerate()
        .map(|(i, data_centre)| Host {
            name: engine_name(i),
            data_centre: data_centre.clone(),
            kind: HostKind::Backend {
                service: plan.service.clone(),
                addr: engine_address(i),
            },
            leaving: false,
        });
    entries.chain(engines).collect()
}

fn host_name(i: usize) -> HostId {
    HostId(format!("entry-{i}"))
}

fn engine_name(i: usize) -> String {
    format!("engine-{i}")
}

fn host_address(i: usize, port: u16) -> SocketAddr {
    address(1, i, port)
}

fn engine_address(i: usize) -> SocketAddr {
    address(2, i, BACKEND)
}

/// A loopback address of this run; runs at the same time have addresses of their own.
fn address(group: u8, i: usize, port: u16) -> SocketAddr {
    let run = std::process::id() % 250 + 1;
    let octet = |n: usize| u8::try_from(n).unwrap_or(u8::MAX);
    let number = octet(i + 1);
    let group = group + 3 * octet(std::process::id() as usize / 250 % 80);
    SocketAddr::from(([127, octet(run as usize), group, number], port))
}

/// A new folder for settings and logs.
fn folder() -> Result<PathBuf, BenchError> {
    let name = format!("gooseberry-bench-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).map_err(|cause| BenchError::File {
        file: folder.clone(),
        cause,
    })?;
    Ok(folder)
}

/// Waits until a process says that it is ready.
async fn until_ready(admin: SocketAddr, name: &str) -> Result<(), BenchError> {
    let deadline = Instant::now() + READY;
    while Instant::now() < deadline {
        let ready: Result<Value, _> = web::client::get(admin, "/v1/ready", CALL).await;
        if ready.is_ok() {
            return Ok(());
        }
        sleep(LOOK).await;
    }
    Err(BenchError::NotReady(name.to_owned()))
}
