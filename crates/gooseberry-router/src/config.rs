//! Configuration, hosts and backend servers, as last received from an agent.
//!
//! The request path reads them as one immutable [`Snapshot`], which is replaced atomically.

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

/// Time that the agent may delay its answer while nothing has changed (long polling).
const LONG_POLL_WAIT: Millis = Millis(1_000);

/// Time limit of a call to an agent; covers [`LONG_POLL_WAIT`].
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// Delay after a failed call to an agent.
const RETRY_DELAY: Millis = Millis(250);

/// Configuration, hosts and backend servers in force at one time.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Configuration; version 0 if none has been received.
    pub document: Arc<Document>,
    /// Entry hosts.
    pub hosts: Vec<HostView>,
    /// Backend servers.
    pub backends: Vec<Arc<Backend>>,
    /// Whether this host is to accept no new work.
    pub drain: bool,
    /// Agent that sent this state; `None` before the first answer.
    pub agent: Option<SocketAddr>,
}

/// Interval between tries of this host's own agent while another one is followed.
const OWN_AGENT_INTERVAL: Millis = Millis(5_000);

/// Long-polls the agent of this host or, while it does not answer, another one of the data centre.
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
                log::warn!(
                    "agent did not answer host={} cause=\"{e}\"",
                    router.settings.host
                );
                router.timer.after(RETRY_DELAY).await;
                link = AgentLink::new(other_agent(&router, &link));
                revision = 0;
                last_try = router.timer.now();
            }
        }
    }
}

/// Returns a link to the agent of this host, if it answers and its configuration is not older.
async fn own_agent(router: &Router) -> Option<AgentLink> {
    let link = AgentLink::new(router.settings.agent);
    let version = router.snapshot().document.version;
    let view = link.view(0, version, Millis(0), CALL_LIMIT).await.ok()?;
    // An agent that has just started may have an older configuration than the one in force.
    (view.version >= version).then_some(link)
}

/// Reports to the agent of this host that the host is leaving.
pub async fn report_leaving(router: &Router) {
    let link = AgentLink::new(router.settings.agent);
    if let Err(e) = link.leave(CALL_LIMIT).await {
        // Others also learn it from the host list and from the requests that this router refuses.
        log::warn!(
            "agent not notified that the host is leaving host={} cause=\"{e}\"",
            router.settings.host
        );
    }
}

/// Selects the agent to use after `failed`: this host's own if another one failed, else a random
/// one of the data centre, preferably of a host that is alive and not leaving.
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

/// Replaces the snapshot by the view of an agent; a document of a lower version is never applied.
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
