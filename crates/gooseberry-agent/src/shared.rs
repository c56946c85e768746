//! State shared by the tasks of an agent.

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

/// Configuration, host list and engine caches as last received.
#[derive(Debug, Default)]
pub struct AgentState {
    /// The configuration in force, with the latest revisions for followers.
    pub config: ConfigCache,
    /// The host list as last read from the platform.
    pub hosts: HostList,
    /// Sampled prompt blocks in the engines' prefix caches.
    pub caches: Sorted<BackendId, CachedBlocks>,
}

/// State of an agent, shared by its tasks.
pub struct Agent {
    /// Settings read at start.
    pub settings: Settings,
    /// Monotonic clock and sleeps.
    pub timer: Timer,
    /// Incarnation of this process, drawn at random at start.
    pub incarnation: Incarnation,
    /// Client of the platform.
    pub platform: Platform,
    /// State of the configuration distribution.
    pub distribution: Distribution,
    /// Connections to other agents for heartbeats.
    pub links: Links,
    members: Mutex<Members>,
    state: Mutex<AgentState>,
    revision: watch::Sender<u64>,
}

impl Agent {
    /// An agent without configuration and host list.
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

    /// Reads the state under its lock.
    pub fn read<T>(&self, read: impl FnOnce(&AgentState) -> T) -> T {
        read(&self.state.lock().unwrap_or_else(|e| e.into_inner()))
    }

    /// Changes the state under its lock; increments the view's revision if `change` returns true.
    pub fn change(&self, change: impl FnOnce(&mut AgentState) -> bool) {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        if change(&mut state) {
            self.revision.send_modify(|r| *r += 1);
        }
    }

    /// Reads or changes the members; increments the view's revision if theirs changes.
    pub fn members<T>(&self, change: impl FnOnce(&mut Members) -> T) -> T {
        let mut members = self.members.lock().unwrap_or_else(|e| e.into_inner());
        let before = members.revision();
        let result = change(&mut members);
        if members.revision() != before {
            self.revision.send_modify(|r| *r += 1);
        }
        result
    }

    /// Whether this host is leaving, so that it accepts no new work.
    pub fn is_leaving(&self) -> bool {
        self.members(|m| m.own().lifecycle.leaving)
    }

    /// Waits until this host is leaving.
    pub async fn wait_leaving(&self) {
        let mut revisions = self.revision.subscribe();
        while !self.is_leaving() {
            // Cannot fail: `self` owns the sender.
            let _ = revisions.changed().await;
        }
    }

    /// The version of the configuration; 0 if there is none.
    pub fn version(&self) -> Version {
        self.read(|s| s.config.version())
    }

    /// Waits until the view's revision differs from `revision`, at most `wait`.
    pub async fn wait_revision(&self, revision: u64, wait: Millis) {
        let mut revisions = self.revision.subscribe();
        let changed = revisions.wait_for(|r| *r != revision);
        let _ = tokio::time::timeout(wait.duration(), changed).await;
    }

    /// The view for a router that has `version` of the configuration; the document is left out unless
    /// it is newer.
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

/// This host as a member; the router's address is a placeholder until the host list confirms it.
fn own_host(settings: &Settings, now: Millis, incarnation: Incarnation) -> OwnHost {
    let place = Place {
        data_centre: settings.data_centre.clone(),
        router: settings.listen.peers,
        agent: settings.listen.peers,
    };
    OwnHost::new(now, settings.host.clone(), place, incarnation)
}

/// Handle to the agent, one for each task.
pub type SharedAgent = Arc<Agent>;
