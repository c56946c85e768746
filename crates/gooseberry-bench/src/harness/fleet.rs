//! Starts and restarts the processes of a deployment on loopback addresses.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use base::hash::key_digest;
use base::prelude::*;
use calls::batch::Policy as Claims;
use gooseberry_standin::{engine, platform as standin, service};
use hyper::Method;
use profiles::change::{Revision, diff};
use profiles::document::Document;
use profiles::topology::Topology;
use serde_json::Value;
use settings::agent::{Agent, Listen as AgentListen};
use settings::common::Log;
use settings::router::{Listen as RouterListen, Router};
use store::client::Platform;
use store::config::{HeadRow, commit_ops};
use store::wire::{Host, HostKind};
use tokio::time::{Instant, sleep};

use super::BenchError;
use super::child::{Child, write_settings};
use super::relay::Relays;

/// The longest wait for a process to become ready. Measurements start after it. With four busy
/// processes per core, start-up took more than 10 s.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval of readiness polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit of each HTTP call from the bench to a process.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Key of the operator interface of routers and agents; their settings hold its digest.
pub(crate) const OPERATOR_KEY: &str = "operator-key";

/// Ports of the processes; processes of the same kind differ in their loopback address.
const CALLERS_PORT: u16 = 7001;
const ROUTER_PEERS_PORT: u16 = 7002;
const ROUTER_ADMIN_PORT: u16 = 7003;
const AGENT_PEERS_PORT: u16 = 7004;
const AGENT_ADMIN_PORT: u16 = 7005;
const BACKEND_PORT: u16 = 7010;
const PLAIN_PORT: u16 = 7011;
const PLATFORM_PORT: u16 = 7020;

/// Offset between the ports of the relays from successive data centres to one address.
const RELAY_PORT_STEP: u16 = 100;

/// Composition and settings of a deployment.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Data centre of each entry host.
    pub(crate) hosts: Vec<DataCentre>,
    /// Data centre of each engine.
    pub(crate) engines: Vec<DataCentre>,
    /// Service of all engines.
    pub(crate) service: ServiceName,
    /// Settings of the engines; address and seed are set for each.
    pub(crate) engine: engine::Settings,
    /// Settings of the platform stand-in; address and host list are set at the start.
    pub(crate) platform: standin::Settings,
    /// Configuration that the platform holds as version 1 at the start.
    pub(crate) document: Document,
    /// Plain service beside the engines.
    pub(crate) plain: PlainPlan,
}

/// The plain service of a deployment; by default it has no servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlainPlan {
    /// Data centre of each server.
    pub(crate) servers: Vec<DataCentre>,
    /// Service of all these servers.
    pub(crate) service: ServiceName,
    /// Settings of the servers; address and record file are set for each.
    pub(crate) settings: service::Settings,
    /// How routers batch their claims into writes of the platform's table.
    pub(crate) claims: Claims,
    /// Address to which routers send statsd metrics; `None` sends none.
    pub(crate) statsd: Option<SocketAddr>,
}

/// A server of the plain service.
#[derive(Debug)]
pub(crate) struct PlainServer {
    /// Address of its HTTP server.
    pub(crate) addr: SocketAddr,
    /// Its current process.
    pub(crate) process: Child,
    /// File with the key of each call that it ran, one per line, kept across restarts.
    pub(crate) run_record: PathBuf,
    file: PathBuf,
}

/// A router and an agent on one host.
#[derive(Debug)]
pub(crate) struct EntryHost {
    /// Address on which the router accepts callers.
    pub(crate) callers: SocketAddr,
    /// Operator interface of the router.
    pub(crate) admin: SocketAddr,
    /// Current router process.
    pub(crate) router: Child,
    /// Current agent process.
    pub(crate) agent: Child,
    /// Operator interface of the agent.
    pub(crate) agent_admin: SocketAddr,
    router_file: PathBuf,
    agent_file: PathBuf,
}

/// An engine stand-in.
#[derive(Debug)]
pub(crate) struct Engine {
    /// Host name in the platform's list.
    pub(crate) name: String,
    /// Address of its HTTP server, not of a relay.
    pub(crate) addr: SocketAddr,
    /// Its current process.
    pub(crate) process: Child,
    file: PathBuf,
}

/// A running deployment; dropping it kills its processes and removes the run's folder.
#[derive(Debug)]
pub(crate) struct Fleet {
    programs: PathBuf,
    folder: PathBuf,
    /// Platform process; with relays, the one of the first data centre.
    pub(crate) platform: Child,
    /// Address of that platform.
    pub(crate) platform_addr: SocketAddr,
    /// With relays, one platform for each further data centre: their host lists differ in the relay
    /// addresses.
    extra_platforms: Vec<Child>,
    /// The entry hosts.
    pub(crate) hosts: Vec<EntryHost>,
    /// The engines.
    pub(crate) engines: Vec<Engine>,
    /// The servers of the plain service.
    pub(crate) plain: Vec<PlainServer>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Files left in the temporary folder do no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts all processes and waits until every router is ready and reports every backend alive.
    pub(crate) async fn start(programs: &Path, plan: &Plan) -> Result<Self, BenchError> {
        Self::start_relayed(programs, plan, None).await
    }

    /// As [`Self::start`], with connections to router peer ports and engines going through
    /// `relays`.
    pub(crate) async fn start_relayed(
        programs: &Path,
        plan: &Plan,
        relays: Option<&Relays>,
    ) -> Result<Self, BenchError> {
        let folder = create_run_folder()?;
        let platform_count = relays.map_or(1, Relays::centre_count);
        let mut platforms = Vec::new();
        for view in 0..platform_count {
            let mut settings = plan.platform.clone();
            settings.listen = platform_address(view);
            settings.hosts = host_list(plan, relays.map(|r| (r, view)));
            let file = folder.join(format!("platform-{view}.json"));
            write_settings(&file, &settings)?;
            let started = Child::start(programs, "gooseberry-standin", &["platform"], &file)?;
            platforms.push(started);
        }
        let extra_platforms = platforms.split_off(1);
        let platform = platforms.remove(0);
        let mut fleet = Self {
            programs: programs.to_owned(),
            folder,
            platform,
            platform_addr: platform_address(0),
            extra_platforms,
            hosts: Vec::new(),
            engines: Vec::new(),
            plain: Vec::new(),
        };
        for view in 0..platform_count {
            put_document(platform_address(view), &plan.document).await?;
        }
        for i in 0..plan.engines.len() {
            fleet.start_engine(plan, i)?;
        }
        for i in 0..plan.plain.servers.len() {
            fleet.start_plain(plan, i)?;
        }
        for i in 0..plan.hosts.len() {
            let view = relays.map_or(0, |r| r.centre_index(&plan.hosts[i]));
            fleet.start_host(plan, i, platform_address(view))?;
        }
        for host in &fleet.hosts {
            wait_until_ready(host.admin, &host.callers.to_string()).await?;
        }
        let backends = plan.engines.len() + plan.plain.servers.len();
        fleet.wait_for_backends(backends).await?;
        Ok(fleet)
    }

    /// Starts a new router process with the settings of the old one, which must have exited.
    pub(crate) fn restart_router(&mut self, i: usize) -> Result<(), BenchError> {
        let file = self.hosts[i].router_file.clone();
        self.hosts[i].router = Child::start(&self.programs, "gooseberry-router", &[], &file)?;
        Ok(())
    }

    /// Starts new agent and router processes with the settings of the old ones, which must have
    /// exited.
    pub(crate) fn restart_host(&mut self, i: usize) -> Result<(), BenchError> {
        let file = self.hosts[i].agent_file.clone();
        self.hosts[i].agent = Child::start(&self.programs, "gooseberry-agent", &[], &file)?;
        self.restart_router(i)
    }

    /// Writes an engine's row of the platform's host list, with the given `leaving` mark.
    pub(crate) async fn list_engine(
        &self,
        plan: &Plan,
        i: usize,
        leaving: bool,
    ) -> Result<(), BenchError> {
        let platform = Platform {
            addr: self.platform_addr,
            limit: CALL_TIMEOUT,
        };
        let name = engine_name(i);
        let listed = host_list(plan, None).into_iter().find(|h| h.name == name);
        if let Some(mut host) = listed {
            host.leaving = leaving;
            platform.put_host(&host).await?;
        }
        Ok(())
    }

    /// Waits until every router is ready and reports every backend alive.
    pub(crate) async fn wait_until_serving(&self) -> Result<(), BenchError> {
        for host in &self.hosts {
            wait_until_ready(host.admin, &host.callers.to_string()).await?;
        }
        self.wait_for_backends(self.engines.len() + self.plain.len())
            .await
    }

    /// Kills all entry hosts, engines and the platform and waits for their exit, which frees their
    /// addresses.
    pub(crate) async fn stop(mut self) {
        let hosts = self
            .hosts
            .iter_mut()
            .flat_map(|h| [&mut h.router, &mut h.agent]);
        let engines = self.engines.iter_mut().map(|e| &mut e.process);
        let platform = std::iter::once(&mut self.platform);
        for child in hosts.chain(engines).chain(platform) {
            child.kill();
            // The exit status of a killed process says nothing.
            let _ = child.wait().await;
        }
    }

    /// Starts a new engine process with the settings of the old one, which must have exited.
    pub(crate) fn restart_engine(&mut self, i: usize) -> Result<(), BenchError> {
        let file = self.engines[i].file.clone();
        self.engines[i].process =
            Child::start(&self.programs, "gooseberry-standin", &["engine"], &file)?;
        Ok(())
    }

    /// Starts a new process of a plain server with the settings of the old one, which must have
    /// exited.
    pub(crate) fn restart_plain(&mut self, i: usize) -> Result<(), BenchError> {
        let file = self.plain[i].file.clone();
        self.plain[i].process =
            Child::start(&self.programs, "gooseberry-standin", &["service"], &file)?;
        Ok(())
    }

    /// Fetches the state dump of a router.
    pub(crate) async fn state(&self, host: usize) -> Result<Value, BenchError> {
        Ok(web::client::get(self.hosts[host].admin, "/v1/state", CALL_TIMEOUT).await?)
    }

    /// Fetches the counters of an engine, which cover the time since its process started.
    pub(crate) async fn engine_stats(&self, i: usize) -> Result<engine::Stats, BenchError> {
        Ok(web::client::get(self.engines[i].addr, "/stats", CALL_TIMEOUT).await?)
    }

    /// Sets the fault switches of a stand-in.
    pub(crate) async fn switch(
        &self,
        addr: SocketAddr,
        fault: &gooseberry_standin::faults::Switch,
    ) -> Result<(), BenchError> {
        let _: Value =
            web::client::call(addr, Method::POST, "/faults", fault, CALL_TIMEOUT).await?;
        Ok(())
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

    fn start_plain(&mut self, plan: &Plan, i: usize) -> Result<(), BenchError> {
        let run_record = self.folder.join(format!("{}.runs", plain_name(i)));
        let settings = service::Settings {
            listen: plain_address(i),
            record: Some(run_record.clone()),
            ..plan.plain.settings.clone()
        };
        let file = self.folder.join(format!("{}.json", plain_name(i)));
        write_settings(&file, &settings)?;
        let process = Child::start(&self.programs, "gooseberry-standin", &["service"], &file)?;
        self.plain.push(PlainServer {
            addr: settings.listen,
            process,
            run_record,
            file,
        });
        Ok(())
    }

    fn start_host(
        &mut self,
        plan: &Plan,
        i: usize,
        platform: SocketAddr,
    ) -> Result<(), BenchError> {
        let router = router_settings(plan, i, platform);
        let agent = agent_settings(plan, i, platform);
        let router_file = self.folder.join(format!("{}-router.json", router.host));
        let agent_file = self.folder.join(format!("{}-agent.json", agent.host));
        write_settings(&router_file, &router)?;
        write_settings(&agent_file, &agent)?;
        self.hosts.push(EntryHost {
            callers: router.listen.callers,
            admin: router.listen.admin,
            agent: Child::start(&self.programs, "gooseberry-agent", &[], &agent_file)?,
            router: Child::start(&self.programs, "gooseberry-router", &[], &router_file)?,
            agent_admin: agent.listen.admin,
            router_file,
            agent_file,
        });
        Ok(())
    }

    /// Waits until every router reports at least `count` backends as alive.
    async fn wait_for_backends(&self, count: usize) -> Result<(), BenchError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for i in 0..self.hosts.len() {
            loop {
                // While a router starts, its dump may fail; an error counts only at the deadline.
                let state = self.state(i).await;
                let backends = state.as_ref().ok().and_then(|s| s["backends"].as_array());
                let is_alive = |b: &&Value| b["seen"]["alive"] == true;
                let alive = backends.map_or(0, |all| all.iter().filter(is_alive).count());
                if alive >= count {
                    break;
                }
                if Instant::now() > deadline {
                    state?;
                    return Err(BenchError::NotReady(format!("host {i}")));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

/// Commits `document` to a platform's table as version 1, retrying until the platform is up.
async fn put_document(addr: SocketAddr, document: &Document) -> Result<(), BenchError> {
    let platform = Platform {
        addr,
        limit: CALL_TIMEOUT,
    };
    let first = Revision {
        version: Version(1),
        operation: OperationId::from("first"),
        changes: diff(&Document::default(), document),
    };
    let body = commit_ops(&HeadRow::default(), &first);
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        match platform.transact(&body).await {
            Ok(_) => return Ok(()),
            Err(e) if Instant::now() > deadline => return Err(e.into()),
            Err(_) => sleep(POLL_INTERVAL).await,
        }
    }
}

/// Log settings of the routers and agents.
fn log_settings() -> Log {
    Log::default()
}

fn router_settings(plan: &Plan, i: usize, platform: SocketAddr) -> Router {
    Router {
        host: host_name(i),
        data_centre: plan.hosts[i].clone(),
        listen: RouterListen {
            callers: host_address(i, CALLERS_PORT),
            peers: host_address(i, ROUTER_PEERS_PORT),
            admin: host_address(i, ROUTER_ADMIN_PORT),
        },
        agent: host_address(i, AGENT_PEERS_PORT),
        platform,
        platform_ms: 1_000,
        journal: journal::store::Limits::default(),
        claims: plan.plain.claims,
        drain_ms: 60_000,
        operator_digest: Some(key_digest(OPERATOR_KEY)),
        log: log_settings(),
        statsd: plan.plain.statsd,
    }
}

fn agent_settings(plan: &Plan, i: usize, platform: SocketAddr) -> Agent {
    Agent {
        host: host_name(i),
        data_centre: plan.hosts[i].clone(),
        listen: AgentListen {
            peers: host_address(i, AGENT_PEERS_PORT),
            admin: host_address(i, AGENT_ADMIN_PORT),
        },
        platform,
        platform_ms: 1_000,
        poll_ms: 500,
        load_ms: 250,
        peers: Vec::new(),
        spread: Topology::default(),
        operator_digest: Some(key_digest(OPERATOR_KEY)),
        log: log_settings(),
        statsd: None,
    }
}

/// The platform's host list. With relays, `view` holds them and the index of the data centre whose
/// relay addresses the list gives.
fn host_list(plan: &Plan, view: Option<(&Relays, usize)>) -> Vec<Host> {
    let dial_address = |addr| view.map_or(addr, |(_, centre)| relay_address(centre, addr));
    let entries = plan.hosts.iter().enumerate().map(|(i, data_centre)| Host {
        name: host_name(i).0,
        data_centre: data_centre.clone(),
        kind: HostKind::Entry {
            router: dial_address(host_address(i, ROUTER_PEERS_PORT)),
            agent: host_address(i, AGENT_PEERS_PORT),
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
                addr: dial_address(engine_address(i)),
            },
            leaving: false,
        });
    let plain = plan.plain.servers.iter().enumerate();
    let plain = plain.map(|(i, data_centre)| Host {
        name: plain_name(i),
        data_centre: data_centre.clone(),
        kind: HostKind::Backend {
            service: plan.plain.service.clone(),
            addr: plain_address(i),
        },
        leaving: false,
    });
    entries.chain(engines).chain(plain).collect()
}

/// Addresses that are reached through relays, with the data centre of each.
pub(crate) fn relay_targets(plan: &Plan) -> Vec<(SocketAddr, DataCentre)> {
    let hosts = plan.hosts.iter().enumerate();
    let hosts = hosts.map(|(i, d)| (host_address(i, ROUTER_PEERS_PORT), d.clone()));
    let engines = plan.engines.iter().enumerate();
    let engines = engines.map(|(i, d)| (engine_address(i), d.clone()));
    hosts.chain(engines).collect()
}

/// Address of the relay from a data centre to `target`.
pub(crate) fn relay_address(centre: usize, target: SocketAddr) -> SocketAddr {
    let shift = u16::try_from(centre + 1).unwrap_or(u16::MAX);
    SocketAddr::new(target.ip(), target.port() + RELAY_PORT_STEP * shift)
}

fn platform_address(view: usize) -> SocketAddr {
    address(0, 1 + view, PLATFORM_PORT)
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
    address(2, i, BACKEND_PORT)
}

fn plain_name(i: usize) -> String {
    format!("plain-{i}")
}

fn plain_address(i: usize) -> SocketAddr {
    address(2, i, PLAIN_PORT)
}

/// A loopback address derived from the process id, so that concurrent runs do not share addresses
/// unless their ids differ by a multiple of 20,000.
fn address(group: u8, i: usize, port: u16) -> SocketAddr {
    let run = std::process::id() % 250 + 1;
    let octet = |n: usize| u8::try_from(n).unwrap_or(u8::MAX);
    let number = octet(i + 1);
    let group = group + 3 * octet(std::process::id() as usize / 250 % 80);
    SocketAddr::from(([127, octet(run as usize), group, number], port))
}

/// Creates the folder for the settings and logs of this run.
fn create_run_folder() -> Result<PathBuf, BenchError> {
    let name = format!("gooseberry-bench-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).map_err(|cause| BenchError::File {
        file: folder.clone(),
        cause,
    })?;
    Ok(folder)
}

/// Polls the readiness of a process; `name` names it in the error.
async fn wait_until_ready(admin: SocketAddr, name: &str) -> Result<(), BenchError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let ready: Result<Value, _> = web::client::get(admin, "/v1/ready", CALL_TIMEOUT).await;
        if ready.is_ok() {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(BenchError::NotReady(name.to_owned()))
}
