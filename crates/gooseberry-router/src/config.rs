//! What the agent told, in force on the request path by an atomic swap of pointers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use cadence::Gauged;
use peer::agent::{HostView, View};
use peer::link::AgentLink;
use profiles::document::Document;

use crate::backends::Backend;
use crate::context::Router;

/// How long the agent may hold back an answer without news, in milliseconds.
const LONG_POLL_WAIT: Millis = Millis(1_000);

/// How long to wait for an agent beyond that.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// The time between tries when no agent answers.
const RETRY_DELAY: Millis = Millis(250);

/// The configuration, the hosts and the backend servers as they are in force.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The configuration; version 0 if there is none.
    pub document: Arc<Document>,
    /// The entry hosts.
    pub hosts: Vec<HostView>,
    /// The backend servers.
    pub backends: Vec<Arc<Backend>>,
    /// Whether this host is to take no new work.
    pub drain: bool,
    /// The agent that told all this.
    pub agent: Option<SocketAddr>,
}

/// How long another agent is followed before this host's own is tried again.
const OWN_AGENT_INTERVAL: Millis = Millis(5_000);

/// Follows the agent for ever: that of this host, else another of the data centre.
pub async fn follow(router: Arc<Router>) {
    let own = router.settings.agent;
    let mut link = AgentLink::new(own);
    let mut revision = 0;
    let mut last_try = router.timer.now();
    loop {
        let now = router.timer.now();
        if link.addr() != own && now.since(last_try) >= OWN_AGENT_INTERVAL {
            last_try = now;
            if let Some(own_link) = own_agent(&router).await {
                link = own_link;
                revision = 0;
            }
        }
        let version = router.snapshot().document.version;
        match link
            .view(revision, version, LONG_POLL_WAIT, CALL_LIMIT)
            .await
        {
            Ok(view) => {
                revision = view.revision;
                apply_view(&router, view, link.addr());
            }
            Err(e) => {
                log::warn!("agent lost host={} cause=\"{e}\"", router.settings.host);
                router.timer.after(RETRY_DELAY).await;
                link = AgentLink::new(other_agent(&router, &link));
                revision = 0;
                last_try = router.timer.now();
            }
        }
    }
}

/// A link to the agent of this host, if it answers again.
async fn own_agent(router: &Router) -> Option<AgentLink> {
    let link = AgentLink::new(router.settings.agent);
    let version = router.snapshot().document.version;
    let view = link.view(0, version, Millis(0), CALL_LIMIT).await.ok()?;
    // An agent that has just started knows less than the one that is followed.
    (view.version >= version).then_some(link)
}

/// Tells the agent of this host that the host leaves.
pub async fn report_leaving(router: &Router) {
    let link = AgentLink::new(router.settings.agent);
    if let Err(e) = link.leave(CALL_LIMIT).await {
        // The host list and the refusals of this router tell the others as well.
        log::warn!("agent not told host={} cause=\"{e}\"", router.settings.host);
    }
}

/// The agent to ask after `failed`: this host's own if another failed, else the next one of the
/// data centre.
fn other_agent(router: &Router, failed: &AgentLink) -> SocketAddr {
    let own = router.settings.agent;
    if failed.addr() != own {
        return own;
    }
    let snapshot = router.snapshot();
    let is_nearby = |h: &&HostView| h.data_centre == router.settings.data_centre && h.agent != own;
    let nearby: Vec<&HostView> = snapshot.hosts.iter().filter(is_nearby).collect();
    let is_usable = |h: &&&HostView| h.alive && !h.leaving;
    let usable: Vec<&HostView> = nearby.iter().filter(is_usable).copied().collect();
    let candidates = if usable.is_empty() { nearby } else { usable };
    if candidates.is_empty() {
        return own;
    }
    let i = rand::random_range(0..candidates.len());
    candidates[i].agent
}

/// Puts the view of an agent into force; a document of a lower version is never taken.
fn apply_view(router: &Router, view: View, agent: SocketAddr) {
    let own = view.hosts.iter().find(|h| h.host == router.settings.host);
    let drain = if agent == router.settings.agent {
        view.drain
    } else {
        own.is_some_and(|h| h.leaving)
    };
    if drain {
        router.drain.cancel();
    }
    let current = router.snapshot();
    let now = router.timer.now();
    let document = match view.document {
        Some(document) if document.version > current.document.version => {
            log::info!(
                "configuration in force host={} version={}",
                router.settings.host,
                document.version
            );
            let _ = router.metrics.gauge("config_version", document.version.0);
            Arc::new(document)
        }
        _ => current.document.clone(),
    };
    let backends = view
        .backends
        .into_iter()
        .map(|backend| Arc::new(Backend::adopt(now, backend, &current.backends)))
        .collect();
    router.swap(Snapshot {
        document,
        hosts: view.hosts,
        backends,
        drain,
        agent: Some(agent),
    });
}
