//! Polls the platform for changes of the host list.

use base::prelude::*;

use crate::members::{listed_backends, listed_hosts};
use crate::shared::SharedAgent;

/// Applies each new host list; never returns.
pub async fn hosts(agent: SharedAgent) {
    let mut ticks = agent.timer.every(Millis(agent.settings.poll_ms));
    loop {
        ticks.next().await;
        let revision = agent.read(|s| s.hosts.revision);
        let Ok(Some(list)) = agent.platform.hosts_after(revision).await else {
            continue;
        };
        let now = agent.timer.now();
        let (hosts, backends) = (listed_hosts(&list.hosts), listed_backends(&list.hosts));
        agent.members(|m| m.apply_host_list(now, &hosts, &backends));
        agent.change(|state| {
            state.hosts = list;
            false
        });
    }
}
