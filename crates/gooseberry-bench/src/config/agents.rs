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

/// The operators' key.
pub(crate) const KEY: &str = "operator-key";

/// The workspaces of the configuration, as many as the users expect.
pub(crate) const WORKSPACES: usize = 490;

/// The longest wait for all agents to be ready.
const READY: Duration = Duration::from_secs(20);

/// One agent that is killed in so many.
const KILLED: usize = 10;

/// One agent that is cut from the platform in so many, where there is one data centre.
const CUT: usize = 4;

/// The time between looks.
const LOOK: Duration = Duration::from_millis(50);

/// An agent.
pub(crate) struct Agent {
    pub(crate) name: String,
    pub(crate) admin: SocketAddr,
    pub(crate) process: Child,
    /// When it was not reachable, in milliseconds of Unix time.
    pub(crate) away: Vec<(u64, u64)>,
    pub(crate) is_up: bool,
    file: PathBuf,
}

/// All agents, with their platform.
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
        // What is left behind in the temporary folder harms nobody.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Agents {
    /// Starts the platform, with a configuration of many workspaces, and all agents.
    pub(crate) async fn start(
        programs: &Path,
        nodes: usize,
        centres: usize,
        way: Topology,
    ) -> Result<Self, BenchError> {
        let folder =
            std::env::temp_dir().join(format!("gooseberry-config-{}-{way}", std::process::id()));
        let failed = |cause| BenchError::File {
            file: folder.clone(),
            cause,
        };
        std::fs::create_dir_all(&folder).map_err(failed)?;
        let addr = address(way, 250, 7020);
        let standin = standin::Settings {
            listen: addr,
            hosts: (0..nodes).map(|i| host(i, centres, way)).collect(),
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
            relay: Relay::start(address(way, 251, 7020), addr).await,
            _store: store,
        };
        agents.put_document().await?;
        for i in 0..nodes {
            let is_cut = if centres > 1 {
                i % centres == 0
            } else {
                i % CUT == 0
            };
            let settings = settings(i, centres, way, is_cut);
            agents.start_one(&settings)?;
        }
        agents.until_ready().await?;
        Ok(agents)
    }

    /// Kills some agents, one of them a watcher; returns which.
    pub(crate) fn kill_some(&mut self, random: &mut StdRng) -> Vec<usize> {
        let mut killed = vec![self.watchers()[0]];
        for _ in 1..self.all.len() / KILLED {
            killed.push(random.random_range(0..self.all.len()));
        }
        killed.sort_unstable();
        killed.dedup();
        for i in &killed {
            let agent = &mut self.all[*i];
            agent.process.kill();
            agent.is_up = false;
            agent.away.push((now_ms(), u64::MAX));
        }
        killed
    }

    /// Freezes the watcher that is left, if there is one.
    pub(crate) fn freeze_watcher(&mut self) -> Option<usize> {
        let i = self.watchers().into_iter().find(|i| self.all[*i].is_up)?;
        let agent = &mut self.all[i];
        agent.process.freeze();
        agent.is_up = false;
        agent.away.push((now_ms(), u64::MAX));
        Some(i)
    }

    /// Lets a frozen agent go on, at the earliest `after` its freeze.
    pub(crate) async fn thaw(&mut self, frozen: Option<usize>, after: Duration) {
        let Some(i) = frozen else { return };
        let agent = &mut self.all[i];
        let since = agent.away.last().map_or(0, |a| a.0);
        let limit = u64::try_from(after.as_millis()).unwrap_or(0);
        while now_ms() < since + limit {
            sleep(LOOK).await;
        }
        agent.process.thaw();
        agent.is_up = true;
        if let Some(last) = agent.away.last_mut() {
            last.1 = now_ms();
        }
    }

    /// Starts a killed agent again and waits until it is ready.
    pub(crate) async fn restart(&mut self, i: usize) -> Result<(), BenchError> {
        let agent = &mut self.all[i];
        agent.process = Child::start(&self.programs, "gooseberry-agent", &[], &agent.file)?;
        agent.is_up = true;
        self.until_ready().await?;
        // What it adopted in its former life is gone with it.
        self.all[i].away = vec![(0, now_ms())];
        Ok(())
    }

    /// Cuts some agents from the platform, or brings them back.
    pub(crate) fn cut(&self, is_cut: bool) {
        self.relay.cut(is_cut);
    }

    /// The agents that watch the platform when all are live, in the first data centre.
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
            away: Vec::new(),
            is_up: true,
            file,
        });
        Ok(())
    }

    async fn until_ready(&self) -> Result<(), BenchError> {
        let deadline = Instant::now() + READY;
        for agent in self.all.iter().filter(|a| a.is_up) {
            while web::client::get::<Value>(agent.admin, "/v1/ready", CALL_TIMEOUT)
                .await
                .is_err()
            {
                if Instant::now() > deadline {
                    return Err(BenchError::NotReady(agent.name.clone()));
                }
                sleep(LOOK).await;
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
        let deadline = Instant::now() + READY;
        while let Err(e) = self.platform.transact(&body).await {
            if Instant::now() > deadline {
                return Err(e.into());
            }
            sleep(LOOK).await;
        }
        Ok(())
    }
}

/// A change of the workspace `i`.
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

fn settings(i: usize, centres: usize, way: Topology, is_cut: bool) -> Settings {
    let value = json!({
        "host": format!("entry-{i}"),
        "data_centre": centre(i, centres),
        "listen": { "peers": address(way, i, 7004), "admin": address(way, i, 7005) },
        "platform": address(way, if is_cut { 251 } else { 250 }, 7020),
        "spread": way,
        "operator_digest": key_digest(KEY),
    });
    serde_json::from_value(value)
        .unwrap_or_else(|_| unreachable!("the settings' other fields have defaults"))
}

fn host(i: usize, centres: usize, way: Topology) -> Host {
    Host {
        name: format!("entry-{i}"),
        data_centre: centre(i, centres),
        kind: HostKind::Entry {
            router: address(way, i, 7002),
            agent: address(way, i, 7004),
        },
        leaving: false,
    }
}

fn centre(i: usize, centres: usize) -> DataCentre {
    DataCentre(format!("centre-{}", i % centres))
}

/// A loopback address of this run; runs at the same time have addresses of their own.
fn address(way: Topology, i: usize, port: u16) -> SocketAddr {
    // The processes of the way before may not have ended yet.
    let run = std::process::id() * 3 + way as u32;
    let octet = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
    let last = u8::try_from(i + 1).unwrap_or(u8::MAX);
    SocketAddr::from((
        [127, octet(run % 250 + 1), octet(run / 250 % 250), last],
        port,
    ))
}
