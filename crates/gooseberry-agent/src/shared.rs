//! What the parts of an agent share.

use std::sync::{Arc, Mutex};

use base::prelude::*;
use base::sorted::Sorted;
use engine::wire::Load;
use peer::agent::{BackendView, HostView, View};
use platform::client::Platform;
use platform::wire::{Host, HostKind, HostList};
use profiles::document::Document;
use settings::agent::Agent as Settings;
use timer::Timer;
use tokio::sync::watch;

use crate::caches::Held;

/// A load report, or the lack of one.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The last report.
    pub load: Option<Load>,
    /// The calls that failed since.
    pub misses: u32,
}

/// After this many calls without an answer a backend server is taken as dead.
const DEAD_MISSES: u32 = 3;

/// What an agent knows.
#[derive(Debug, Default)]
pub struct Known {
    /// The configuration, if any was seen.
    pub document: Option<Document>,
    /// The host list.
    pub hosts: HostList,
    /// The load reports.
    pub reports: Sorted<BackendId, Report>,
    /// What the engines hold in their caches.
    pub caches: Sorted<BackendId, Held>,
    /// Whether this host is to take no new work.
    pub drain: bool,
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
    known: Mutex<Known>,
    revision: watch::Sender<u64>,
}

impl Agent {
    /// An agent that knows nothing yet.
    pub fn new(settings: Settings, timer: Timer) -> Self {
        let platform = Platform {
            addr: settings.platform,
            limit: Millis(settings.platform_ms).duration(),
        };
        Self {
            settings,
            timer,
            incarnation: Incarnation(rand::random()),
            platform,
            known: Mutex::default(),
            revision: watch::Sender::new(1),
        }
    }

    /// Reads what is known.
    pub fn read<T>(&self, read: impl FnOnce(&Known) -> T) -> T {
        read(&self.known.lock().unwrap_or_else(|e| e.into_inner()))
    }

    /// Changes what is known; `change` says whether it did.
    pub fn change(&self, change: impl FnOnce(&mut Known) -> bool) {
        let mut known = self.known.lock().unwrap_or_else(|e| e.into_inner());
        if change(&mut known) {
            self.revision.send_modify(|r| *r += 1);
        }
    }

    /// The version of the configuration; 0 if there is none.
    pub fn version(&self) -> Version {
        self.read(|k| k.document.as_ref().map_or(Version(0), |d| d.version))
    }

    /// Waits until the revision differs from `revision` or `wait` has passed.
    pub async fn news(&self, revision: u64, wait: Millis) {
        let mut news = self.revision.subscribe();
        let changed = news.wait_for(|r| *r != revision);
        let _ = tokio::time::timeout(wait.duration(), changed).await;
    }

    /// The view for a router that holds `version` of the configuration.
    pub fn view(&self, version: Version) -> View {
        let revision = *self.revision.borrow();
        self.read(|known| {
            let held = known.document.as_ref();
            View {
                revision,
                incarnation: self.incarnation,
                document: held.filter(|d| d.version != version).cloned(),
                version: held.map_or(Version(0), |d| d.version),
                hosts: known.hosts.hosts.iter().filter_map(host_view).collect(),
                backends: known
                    .hosts
                    .hosts
                    .iter()
                    .filter_map(|h| backend_view(h, known))
                    .collect(),
                drain: known.drain,
            }
        })
    }
}

/// An entry host of the host list.
fn host_view(host: &Host) -> Option<HostView> {
    let HostKind::Entry { router, agent } = host.kind else {
        return None;
    };
    Some(HostView {
        host: HostId(host.name.clone()),
        data_centre: host.data_centre.clone(),
        router,
        agent,
        incarnation: None,
        leaving: host.leaving,
        alive: true,
    })
}

/// A backend server of the host list, with its last report.
fn backend_view(host: &Host, known: &Known) -> Option<BackendView> {
    let HostKind::Backend { service, addr } = &host.kind else {
        return None;
    };
    let backend = BackendId(host.name.clone());
    let report = known.reports.get(&backend).cloned().unwrap_or_default();
    let load = report.load.clone().unwrap_or_default();
    Some(BackendView {
        service: service.clone(),
        data_centre: host.data_centre.clone(),
        addr: *addr,
        incarnation: report.load.as_ref().map(|l| l.incarnation),
        leaving: host.leaving || load.leaving,
        alive: report.load.is_some() && report.misses < DEAD_MISSES,
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        models: load.models,
        age_ms: load.age_ms,
        blocks: known
            .caches
            .get(&backend)
            .map_or_else(Vec::new, |h| h.blocks.clone()),
        backend,
    })
}

/// A shared agent.
pub type SharedAgent = Arc<Agent>;
