//! State shared by all tasks of a router.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use arc_swap::ArcSwap;
use base::prelude::*;
use base::sorted::distinct;
use journal::choice::{self, Peer as Candidate};
use peer::agent::HostView;
use settings::router::Router as Settings;
use timer::Timer;
use tokio_util::sync::CancellationToken;

use crate::admit::Admission;
use crate::claims::Claims;
use crate::config::Snapshot;
use crate::journals::Journals;
use crate::links::Links;
use crate::registry::Registry;
use crate::services::retry::Budgets;

/// Shared state of a router process.
pub struct Router {
    /// Settings of the process, read at start.
    pub settings: Settings,
    /// Clock and timers of the process.
    pub timer: Timer,
    /// Incarnation of this process, random at start.
    pub incarnation: Incarnation,
    /// Journals of this host: of its own requests, and as witness of others.
    pub journals: Journals,
    /// Connections to the routers of other hosts.
    pub links: Links,
    /// Requests in flight.
    pub registry: Registry,
    /// Claims of calls that must not be executed twice.
    pub claims: Claims,
    /// Retry budgets of calls that may be retried.
    pub budgets: Budgets,
    /// Client to which metrics are sent.
    pub metrics: cadence::StatsdClient,
    /// Cancelled when the host starts to drain.
    pub drain: CancellationToken,
    /// Admission controller and the requests that wait for it.
    pub admission: Admission,
    /// Number of choices of a backend server so far, for rules such as round robin.
    pub choice_count: AtomicU64,
    snapshot: ArcSwap<Snapshot>,
}

impl Router {
    /// Creates the state of a router without configuration, which is not ready.
    pub fn new(settings: Settings, timer: Timer, metrics: cadence::StatsdClient) -> Self {
        Self {
            journals: Journals::new(&settings.journal),
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
            choice_count: AtomicU64::new(0),
            snapshot: ArcSwap::default(),
        }
    }

    /// The snapshot in force: configuration, hosts and backend servers.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Replaces the snapshot in force.
    pub fn swap(&self, snapshot: Snapshot) {
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Whether the host accepts new work.
    ///
    /// # Errors
    ///
    /// Why it does not: the host is leaving, or has no configuration yet.
    pub fn ready(&self) -> Result<(), &'static str> {
        let snapshot = self.snapshot();
        if snapshot.drain || self.drain.is_cancelled() {
            return Err("the host is leaving; retry the request on another host");
        }
        if snapshot.document.version.0 == 0 {
            return Err("no configuration yet: neither the platform nor a peer has given one");
        }
        Ok(())
    }

    /// Candidate witnesses of `key`: hosts that are alive and not leaving, most preferred first.
    pub fn witnesses(&self, key: &RequestKey) -> Vec<HostId> {
        let snapshot = self.snapshot();
        let usable = |h: &&HostView| h.alive && !h.leaving;
        choice::candidates(key, &self.candidates(snapshot.hosts.iter().filter(usable)))
    }

    /// The hosts that may hold a journal of `key`: the highest-ranked ones of each data centre,
    /// since the owner may be in any of them and prefers witnesses in its own.
    pub fn holders(&self, key: &RequestKey) -> Vec<HostView> {
        let snapshot = self.snapshot();
        let centres = distinct(snapshot.hosts.iter().map(|h| &h.data_centre));
        let mut hosts = Vec::new();
        for centre in centres {
            let inside = snapshot.hosts.iter().filter(|h| h.data_centre == *centre);
            hosts.extend(choice::takeover_hosts(key, &self.candidates(inside)));
        }
        let is_holder = |h: &&HostView| hosts.contains(&h.host);
        snapshot.hosts.iter().filter(is_holder).cloned().collect()
    }

    /// Address on which the router of `host` accepts peer calls; `None` if the host is not listed.
    pub fn address(&self, host: &HostId) -> Option<std::net::SocketAddr> {
        let snapshot = self.snapshot();
        let found = snapshot.hosts.iter().find(|h| h.host == *host);
        found.map(|h| h.router)
    }

    /// The hosts, except this one, as candidates for a witness.
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
