//! The loops that watch the platform.

use base::prelude::*;
use profiles::document::Document;

use crate::members::{listed_backends, listed_hosts};
use crate::shared::{Agent, SharedAgent};

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
        let now = agent.timer.now();
        let (hosts, backends) = (listed_hosts(&list.hosts), listed_backends(&list.hosts));
        agent.members(|m| m.listed(now, &hosts, &backends));
        agent.change(|known| {
            known.hosts = list;
            false
        });
    }
}
