//! What the agent told, in force on the request path by an atomic swap of pointers.

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
const WAIT: Millis = Millis(1_000);

/// How long to wait for an agent beyond that.
const LIMIT: Duration = Duration::from_millis(2_000);

/// The time between tries when no agent answers.
const RETRY: Millis = Millis(250);

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
}

/// Follows the agent for ever: that of this host, else another of the data centre.
pub async fn follow(router: Arc<Router>) {
    let mut link = AgentLink::new(router.settings.agent);
    let mut revision = 0;
    loop {
        let version = router.snapshot().document.version;
        match link.view(revision, version, WAIT, LIMIT).await {
            Ok(view) => {
                revision = view.revision;
                adopt(&router, view);
            }
            Err(e) => {
                log::warn!("agent lost host={} cause=\"{e}\"", router.settings.host);
                router.timer.after(RETRY).await;
                link = AgentLink::new(other_agent(&router, &link));
                revision = 0;
            }
        }
    }
}

/// The agent to ask after `failed`: this host's own if another failed, else the next one of the
/// data centre.
fn other_agent(router: &Router, failed: &AgentLink) -> std::net::SocketAddr {
    let own = router.settings.agent;
    if failed.addr() != own {
        return own;
    }
    let snapshot = router.snapshot();
    let near: Vec<_> = snapshot
        .hosts
        .iter()
        .filter(|h| h.data_centre == router.settings.data_centre && h.agent != own)
        .collect();
    if near.is_empty() {
        return own;
    }
    let i = rand::random_range(0..near.len());
    near[i].agent
}

/// Puts a view into force; a document of a lower version is never taken.
fn adopt(router: &Router, view: View) {
    let held = router.snapshot();
    let document = match view.document {
        Some(document) if document.version > held.document.version => {
            log::info!(
                "configuration in force host={} version={}",
                router.settings.host,
                document.version
            );
            let _ = router.metrics.gauge("config_version", document.version.0);
            Arc::new(document)
        }
        _ => held.document.clone(),
    };
    let backends = view
        .backends
        .into_iter()
        .map(|seen| Arc::new(Backend::adopt(seen, &held.backends)))
        .collect();
    router.swap(Snapshot {
        document,
        hosts: view.hosts,
        backends,
        drain: view.drain,
    });
}
