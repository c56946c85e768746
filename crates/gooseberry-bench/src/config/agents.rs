//! The agents and the platform of the experiment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use base::hash::key_digest;
use base::prelude::*;
use gooseberry_standin::platform as standin;
use profiles::change::{Change, Revision, diff};
use profiles::document::{Document, Workspace};
use profiles::topology::{Role, Topology, role};
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use settings::agent::Agent as Settings;
use store::client::Platform;
use store::config::{HeadRow, commit_ops};
use store::wire::{Host, HostKind};
use tokio::time::{Instant, sleep};

use super::changes::now_ms;
use super::relay::Relay;
use crate::harness::BenchError;
use crate::harness::child::{Child, write_settings};
use crate::harness::fleet::CALL_TIMEOUT;

/// Bearer key of the operators.
pub(crate) const OPERATOR_KEY: &str = "operator-key";

/// Number of workspaces in the configuration, as many as deployments are expected to have.
pub(crate) const WORKSPACES: usize = 490;

/// Time limit for all agents to become ready, and for the platform to accept the first
/// configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// One agent in this many is killed, the watcher included.
const KILL_ONE_IN: usize = 10;

/// With one data centre, one agent in this many connects through the relay that can be cut; with
/// several, all agents of the first one do.
const CUT_ONE_IN: usize = 4;

/// Interval between readiness checks, and between attempts at the first configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An agent process and the times at which it was unreachable.
pub(crate) struct Agent {
    pub(crate) name: String,
    pub(crate) admin: SocketAddr,
    pub(crate) process: Child,
    /// Periods (start, end) in which it was killed or frozen, in milliseconds of Unix time; an open
    /// period ends at `u64::MAX`.
    pub(crate) unreachable: Vec<(u64, u64)>,
    pub(crate) is_up: bool,
    file: PathBuf,
}

/// All agents and their platform.
pub(crate) struct Agents {
    pub(crate) all: Vec<Agent>,
    pub(crate) platform: Platform,
    programs: PathBuf,
    folder: PathBuf,
    relay: Relay,
    _store: Child,
}

impl Drop for Agents {
    fn drop(&mut self) {
        // A failure is ignored: a leftover temporary folder does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Agents {
    /// Starts the platform, commits a configuration of [`WORKSPACES`] workspaces, and starts all
    /// agents.
    pub(crate) async fn start(
        programs: &Path,
        count: usize,
        centres: usize,
        topology: Topology,
    ) -> Result<Self, BenchError> {
        let folder = std::env::temp_dir().join(format!(
            "gooseberry-config-{}-{topology}",
            std::process::id()
        ));
        let failed = |cause| BenchError::File {
            file: folder.clone(),
            cause,
        };
        std::fs::create_dir_all(&folder).map_err(failed)?;
        let addr = address(topology, 250, 7020);
        let standin = standin::Settings {
            listen: addr,
            hosts: (0..count).map(|i| host(i, centres, topology)).collect(),
            ..standin::Settings::default()
        };
        let file = folder.join("platform.json");
        write_settings(&file, &standin)?;
        let store = Child::start(programs, "gooseberry-standin", &["platform"], &file)?;
        let mut agents = Self {
            all: Vec::new(),
            platform: Platform {
                addr,
                limit: CALL_TIMEOUT,
            },
            programs: programs.to_owned(),
            folder,
            relay: Relay::start(address(topology, 251, 7020), addr).await,
            _store: store,
        };
        agents.put_document().await?;
        for i in 0..count {
            let is_cut = if centres > 1 {
                i % centres == 0
            } else {
                i % CUT_ONE_IN == 0
            };
            let settings = settings(i, centres, topology, is_cut);
            agents.start_one(&settings)?;
        }
        agents.wait_ready().await?;
        Ok(agents)
    }

    /// Kills one watcher and some randomly chosen agents; returns their indices.
    pub(crate) fn kill_some(&mut self, random: &mut StdRng) -> Vec<usize> {
        let mut killed = vec![self.watchers()[0]];
        for _ in 1..self.all.len() / KILL_ONE_IN {
            killed.push(random.random_range(0..self.all.len()));
        }
        killed.sort_unstable();
        killed.dedup();
        for i in &killed {
            let agent = &mut self.all[*i];
            agent.process.kill();
            agent.is_up = false;
            agent.unreachable.push((now_ms(), u64::MAX));
        }
        killed
    }

    /// Freezes a watcher that is still running; returns its index, or `None` if there is none.
    pub(crate) fn freeze_watcher(&mut self) -> Option<usize> {
        let i = self.watchers().into_iter().find(|i| self.all[*i].is_up)?;
        let agent = &mut self.all[i];
        agent.process.freeze();
        agent.is_up = false;
        agent.unreachable.push((now_ms(), u64::MAX));
        Some(i)
    }

    /// Resumes the frozen agent once it has been frozen for at least `after`.
    pub(crate) async fn thaw(&mut self, frozen: Option<usize>, after: Duration) {
        let Some(i) = frozen else { return };
        let agent = &mut self.all[i];
        let since = agent.unreachable.last().map_or(0, |a| a.0);
        let limit = u64::try_from(after.as_millis()).unwrap_or(0);
        while now_ms() < since + limit {
            sleep(POLL_INTERVAL).await;
        }
        agent.process.thaw();
        agent.is_up = true;
        if let Some(last) = agent.unreachable.last_mut() {
            last.1 = now_ms();
        }
    }

    /// Restarts a killed agent and waits until all running agents are ready.
    pub(crate) async fn restart(&mut self, i: usize) -> Result<(), BenchError> {
        let agent = &mut self.all[i];
        agent.process = Child::start(&self.programs, "gooseberry-agent", &[], &agent.file)?;
        agent.is_up = true;
        self.wait_ready().await?;
        // The list of adoptions of the previous incarnation is lost, so changes sent before the
        // restart cannot be checked on this agent.
        self.all[i].unreachable = vec![(0, now_ms())];
        Ok(())
    }

    /// Cuts the agents behind the relay off from the platform, or reconnects them.
    pub(crate) fn cut(&self, is_cut: bool) {
        self.relay.cut(is_cut);
    }

    /// Indices of the agents that watch the platform while all agents are alive, by the flat
    /// topology over all of them.
    fn watchers(&self) -> Vec<usize> {
        let names: Vec<&str> = self.all.iter().map(|a| a.name.as_str()).collect();
        let is_watcher = |i: &usize| role(Topology::Flat, names[*i], &names) == Role::Watch;
        (0..names.len()).filter(is_watcher).collect()
    }

    fn start_one(&mut self, settings: &Settings) -> Result<(), BenchError> {
        let file = self.folder.join(format!("{}.json", settings.host));
        write_settings(&file, settings)?;
        self.all.push(Agent {
            name: settings.host.0.clone(),
            admin: settings.listen.admin,
            process: Child::start(&self.programs, "gooseberry-agent", &[], &file)?,
            unreachable: Vec::new(),
            is_up: true,
            file,
        });
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), BenchError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for agent in self.all.iter().filter(|a| a.is_up) {
            while web::client::get::<Value>(agent.admin, "/v1/ready", CALL_TIMEOUT)
                .await
                .is_err()
            {
                if Instant::now() > deadline {
                    return Err(BenchError::NotReady(agent.name.clone()));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn put_document(&self) -> Result<(), BenchError> {
        let mut document = crate::demo::document();
        document.workspaces = (0..WORKSPACES).map(|i| workspace(i, 1)).collect();
        document.sort();
        let first = Revision {
            version: Version(1),
            operation: OperationId::from("first"),
            changes: diff(&Document::default(), &document),
        };
        let body = commit_ops(&HeadRow::default(), &first);
        let deadline = Instant::now() + READY_TIMEOUT;
        while let Err(e) = self.platform.transact(&body).await {
            if Instant::now() > deadline {
                return Err(e.into());
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

/// A change that sets the share of workspace `i`.
pub(crate) fn change(i: usize, share: u32) -> Change {
    Change::PutWorkspace(workspace(i, share))
}

fn workspace(i: usize, share: u32) -> Workspace {
    Workspace {
        name: WorkspaceName(format!("workspace-{i}")),
        keys: vec![key_digest(&format!("key-{i}"))],
        share,
        running: 0,
    }
}

fn settings(i: usize, centres: usize, topology: Topology, is_cut: bool) -> Settings {
    let value = json!({
        "host": format!("entry-{i}"),
        "data_centre": centre(i, centres),
        "listen": { "peers": address(topology, i, 7004), "admin": address(topology, i, 7005) },
        "platform": address(topology, if is_cut { 251 } else { 250 }, 7020),
        "spread": topology,
        "operator_digest": key_digest(OPERATOR_KEY),
    });
    serde_json::from_value(value)
        .unwrap_or_else(|_| unreachable!("the settings' other fields have defaults"))
}

fn host(i: usize, centres: usize, topology: Topology) -> Host {
    Host {
        name: format!("entry-{i}"),
        data_centre: centre(i, centres),
        kind: HostKind::Entry {
            router: address(topology, i, 7002),
            agent: address(topology, i, 7004),
        },
        leaving: false,
    }
}

fn centre(i: usize, centres: usize) -> DataCentre {
    DataCentre(format!("centre-{}", i % centres))
}

/// A loopback address derived from the process id and the topology, so that concurrent runs do not
/// collide.
fn address(topology: Topology, i: usize, port: u16) -> SocketAddr {
    // The processes of the previous topology may still be exiting, so each topology has its own
    // addresses.
    let run = std::process::id() * 3 + topology as u32;
    let octet = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
    let last = u8::try_from(i + 1).unwrap_or(u8::MAX);
    SocketAddr::from((
        [127, octet(run % 250 + 1), octet(run / 250 % 250), last],
        port,
    ))
}
