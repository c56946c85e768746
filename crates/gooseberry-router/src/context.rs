//! What the parts of a router share.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use arc_swap::ArcSwap;
use base::prelude::*;
use journal::choice::{self, Peer as Candidate};
use peer::agent::HostView;
use settings::router::Router as Settings;
use timer::Timer;
use tokio_util::sync::CancellationToken;

use crate::admit::Admission;
use crate::claims::Claims;
use crate::config::Snapshot;
use crate::links::Links;
use crate::registry::Registry;
use crate::services::retry::Budgets;
use crate::shelf::Shelf;

/// A router.
pub struct Router {
    /// The settings.
    pub settings: Settings,
    /// The timer.
    pub timer: Timer,
    /// The life of this process.
    pub incarnation: Incarnation,
    /// The journals of this host.
    pub shelf: Shelf,
    /// Connections to other routers.
    pub links: Links,
    /// The requests in flight.
    pub registry: Registry,
    /// The claims of calls that may not repeat.
    pub claims: Claims,
    /// The retries of calls that may repeat.
    pub budgets: Budgets,
    /// Metrics.
    pub metrics: cadence::StatsdClient,
    /// Cancelled when the host takes no new work.
    pub drain: CancellationToken,
    /// The limits and the queue.
    pub admission: Admission,
    /// The number of backend servers chosen so far.
    pub turn: AtomicU64,
    snapshot: ArcSwap<Snapshot>,
}

impl Router {
    /// A router without configuration.
    pub fn new(settings: Settings, timer: Timer, metrics: cadence::StatsdClient) -> Self {
        Self {
            shelf: Shelf::new(&settings.journal),
            settings,
            timer,
            incarnation: Incarnation(rand::random()),
            links: Links::default(),
            registry: Registry::default(),
            claims: Claims::default(),
            budgets: Budgets::default(),
            metrics,
            drain: CancellationToken::new(),
            admission: Admission::default(),
            turn: AtomicU64::new(0),
            snapshot: ArcSwap::default(),
        }
    }

    /// What is in force now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Puts a snapshot into force.
    pub fn swap(&self, snapshot: Snapshot) {
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Whether the host takes new work, or why not.
    ///
    /// # Errors
    ///
    /// The reason.
    pub fn ready(&self) -> Result<(), &'static str> {
        let snapshot = self.snapshot();
        if snapshot.drain || self.drain.is_cancelled() {
            return Err("the host is leaving; repeat the request on another");
        }
        if snapshot.document.version.0 == 0 {
            return Err("no configuration yet: neither the platform nor a peer has given one");
        }
        Ok(())
    }

    /// The hosts that may witness `key`, most preferred first.
    pub fn witnesses(&self, key: &RequestKey) -> Vec<HostId> {
        let snapshot = self.snapshot();
        let usable = |h: &&HostView| h.alive && !h.leaving;
        choice::candidates(key, &self.candidates(snapshot.hosts.iter().filter(usable)))
    }

    /// The hosts that may hold a journal of `key`: the first ones of each data centre, since an
    /// owner prefers witnesses of its own, wherever that is.
    pub fn holders(&self, key: &RequestKey) -> Vec<HostView> {
        let snapshot = self.snapshot();
        let mut centres: Vec<&DataCentre> = snapshot.hosts.iter().map(|h| &h.data_centre).collect();
        centres.sort_unstable();
        centres.dedup();
        let mut hosts = Vec::new();
        for centre in centres {
            let inside = snapshot.hosts.iter().filter(|h| h.data_centre == *centre);
            hosts.extend(choice::takeover_hosts(key, &self.candidates(inside)));
        }
        let is_holder = |h: &&HostView| hosts.contains(&h.host);
        snapshot.hosts.iter().filter(is_holder).cloned().collect()
    }

    /// The address of the router of `host`.
    pub fn address(&self, host: &HostId) -> Option<std::net::SocketAddr> {
        let snapshot = self.snapshot();
        let found = snapshot.hosts.iter().find(|h| h.host == *host);
        found.map(|h| h.router)
    }

    /// The hosts but this one, as candidates.
    fn candidates<'a>(&self, hosts: impl Iterator<Item = &'a HostView>) -> Vec<Candidate> {
        hosts
            .filter(|h| h.host != self.settings.host)
            .map(|h| Candidate {
                host: h.host.clone(),
                is_near: h.data_centre == self.settings.data_centre,
            })
            .collect()
    }
}
