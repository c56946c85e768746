//! The loops that watch the platform and the backend servers.

use std::net::SocketAddr;

use base::prelude::*;
use platform::wire::HostKind;
use profiles::document::Document;

use crate::shared::{Agent, Report, SharedAgent};

/// The row that holds the configuration.
const HEAD: &str = "config/head";

/// Watches the configuration for ever.
pub async fn configuration(agent: SharedAgent) {
    let mut ticks = agent.timer.every(Millis(agent.settings.poll_ms));
    loop {
        ticks.next().await;
        match read_document(&agent).await {
            Ok(Some(document)) => adopt(&agent, document),
            Ok(None) => {}
            Err(cause) => log::warn!(
                "configuration not read host={} cause=\"{cause}\"",
                agent.settings.host
            ),
        }
    }
}

/// Reads the configuration from the platform.
async fn read_document(agent: &Agent) -> Result<Option<Document>, String> {
    let rows = agent.platform.read(vec![HEAD.to_owned()]).await;
    let rows = rows.map_err(|e| e.to_string())?;
    let Some(row) = rows.into_iter().flatten().next() else {
        return Ok(None);
    };
    serde_json::from_value(row.value)
        .map(Some)
        .map_err(|e| e.to_string())
}

/// Takes a document into force if it is newer than the one held.
fn adopt(agent: &Agent, document: Document) {
    agent.change(|known| {
        let held = known.document.as_ref().map_or(Version(0), |d| d.version);
        if document.version <= held {
            return false;
        }
        log::info!(
            "configuration in force host={} version={}",
            agent.settings.host,
            document.version
        );
        known.document = Some(document);
        true
    });
}

/// Watches the host list for ever.
pub async fn hosts(agent: SharedAgent) {
    let mut ticks = agent.timer.every(Millis(agent.settings.poll_ms));
    loop {
        ticks.next().await;
        let Ok(list) = agent.platform.hosts().await else {
            continue;
        };
        agent.change(|known| {
            let is_new = list.revision != known.hosts.revision;
            known.hosts = list;
            is_new
        });
    }
}

/// Watches the load of the backend servers for ever.
pub async fn loads(agent: SharedAgent) {
    let period = Millis(agent.settings.load_ms);
    let mut ticks = agent.timer.every(period);
    loop {
        ticks.next().await;
        for (backend, addr) in backends(&agent) {
            let agent = agent.clone();
            tokio::spawn(async move { load(&agent, backend, addr).await });
        }
    }
}

/// The backend servers of the host list.
pub(crate) fn backends(agent: &Agent) -> Vec<(BackendId, SocketAddr)> {
    agent.read(|known| {
        let one = |h: &platform::wire::Host| match &h.kind {
            HostKind::Backend { addr, .. } => Some((BackendId(h.name.clone()), *addr)),
            HostKind::Entry { .. } => None,
        };
        known.hosts.hosts.iter().filter_map(one).collect()
    })
}

/// Reads one load report.
async fn load(agent: &Agent, backend: BackendId, addr: SocketAddr) {
    let limit = Millis(agent.settings.load_ms * 2).duration();
    let answer = engine::client::load(addr, limit).await;
    agent.change(|known| {
        let report = known.reports.entry(backend, Report::default);
        match answer {
            Ok(load) => {
                let changed = report.load.as_ref() != Some(&load) || report.misses > 0;
                report.load = Some(load);
                report.misses = 0;
                changed
            }
            Err(_) => {
                report.misses += 1;
                true
            }
        }
    });
}
