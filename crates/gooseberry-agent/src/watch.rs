//! The loops that watch the host list and the backend servers.

use std::net::SocketAddr;

use base::prelude::*;
use platform::wire::HostKind;

use crate::shared::{Agent, Report, SharedAgent};

/// Watches the host list for ever.
pub async fn hosts(agent: SharedAgent) {
    let mut ticks = agent.timer.every(Millis(agent.settings.poll_ms));
    loop {
        ticks.next().await;
        let held = agent.read(|k| k.hosts.revision);
        let Ok(Some(list)) = agent.platform.hosts_after(held).await else {
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
fn backends(agent: &Agent) -> Vec<(BackendId, SocketAddr)> {
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
