//! What the parts of an agent share.

use std::sync::{Arc, Mutex};

use base::prelude::*;
use base::sorted::Sorted;
use membership::listed::Place;
use membership::own::OwnHost;
use membership::{Members, Policy};
use peer::agent::View;
use profiles::cache::ConfigCache;
use settings::agent::Agent as Settings;
use store::client::Platform;
use store::wire::HostList;
use timer::Timer;
use tokio::sync::watch;

use crate::caches::CachedBlocks;
use crate::distribution::Distribution;
use crate::heartbeats::Links;
use crate::members::{backend_views, host_views};

/// What an agent knows.
#[derive(Debug, Default)]
pub struct AgentState {
    /// The configuration.
    pub config: ConfigCache,
    /// The host list.
    pub hosts: HostList,
    /// What the engines hold in their caches.
    pub caches: Sorted<BackendId, CachedBlocks>,
}

/// An agent.
pub struct Agent {
    /// The settings.
    pub settings: Settings,
    /// The timer.
    pub timer: Timer,
    /// The life of this process.
    pub incarnation: Incarnation,
    /// The platform.
    pub platform: Platform,
    /// How the configuration spreads.
    pub distribution: Distribution,
    /// Connections to other agents.
    pub links: Links,
    members: Mutex<Members>,
    state: Mutex<AgentState>,
    revision: watch::Sender<u64>,
}

impl Agent {
    /// An agent that knows nothing yet.
    pub fn new(settings: Settings, timer: Timer) -> Self {
        let platform = Platform {
            addr: settings.platform,
            limit: Millis(settings.platform_ms).duration(),
        };
        let incarnation = Incarnation(rand::random());
        let own = own_host(&settings, timer.now(), incarnation);
        let policy = Policy {
            poll_min: Millis(settings.load_ms),
            ..Policy::default()
        };
        Self {
            settings,
            timer,
            incarnation,
            platform,
            distribution: Distribution::default(),
            links: Links::default(),
            members: Mutex::new(Members::new(own, policy)),
            state: Mutex::default(),
            revision: watch::Sender::new(1),
        }
    }

    /// Reads what is known.
    pub fn read<T>(&self, read: impl FnOnce(&AgentState) -> T) -> T {
        read(&self.state.lock().unwrap_or_else(|e| e.into_inner()))
    }

    /// Changes what is known; `change` says whether it did.
    pub fn change(&self, change: impl FnOnce(&mut AgentState) -> bool) {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        if change(&mut state) {
            self.revision.send_modify(|r| *r += 1);
        }
    }

    /// Reads or changes what is believed of hosts and backend servers.
    pub fn members<T>(&self, change: impl FnOnce(&mut Members) -> T) -> T {
        let mut members = self.members.lock().unwrap_or_else(|e| e.into_inner());
        let before = members.revision();
        let result = change(&mut members);
        if members.revision() != before {
            self.revision.send_modify(|r| *r += 1);
        }
        result
    }

    /// Whether this host takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.members(|m| m.own().lifecycle.leaving)
    }

    /// Waits until this host takes no new work.
    pub async fn wait_leaving(&self) {
        let mut revisions = self.revision.subscribe();
        while !self.is_leaving() {
            // The sender is a part of this agent.
            let _ = revisions.changed().await;
        }
    }

    /// The version of the configuration; 0 if there is none.
    pub fn version(&self) -> Version {
        self.read(|s| s.config.version())
    }

    /// Waits until the revision differs from `revision` or `wait` has passed.
    pub async fn wait_revision(&self, revision: u64, wait: Millis) {
        let mut revisions = self.revision.subscribe();
        let changed = revisions.wait_for(|r| *r != revision);
        let _ = tokio::time::timeout(wait.duration(), changed).await;
    }

    /// The view for a router that holds `version` of the configuration.
    pub fn view(&self, version: Version) -> View {
        let now = self.timer.now();
        self.members(|m| m.refresh(now));
        let revision = *self.revision.borrow();
        let (hosts, mut backends, drain) = self.members(|m| {
            let leaving = m.own().lifecycle.leaving;
            (host_views(m), backend_views(m, now), leaving)
        });
        self.read(|state| {
            for view in &mut backends {
                let cached = state.caches.get(&view.backend);
                view.blocks = cached.map_or_else(Vec::new, |b| b.hashes.clone());
            }
            let document = state.config.document();
            View {
                revision,
                incarnation: self.incarnation,
                document: (document.version > version).then(|| document.clone()),
                version: document.version,
                hosts,
                backends,
                drain,
            }
        })
    }
}

/// The host of an agent; where its router is, the host list tells.
fn own_host(settings: &Settings, now: Millis, incarnation: Incarnation) -> OwnHost {
    let place = Place {
        data_centre: settings.data_centre.clone(),
        router: settings.listen.peers,
        agent: settings.listen.peers,
    };
    OwnHost::new(now, settings.host.clone(), place, incarnation)
}

/// A shared agent.
pub type SharedAgent = Arc<Agent>;
