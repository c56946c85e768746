//! Waits until a version is in force on every known host.

use std::time::Duration;

use base::prelude::*;
use peer::operator::HostState;
use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::outcome::CommandError;

/// Period at which the hosts are polled.
const POLL_PERIOD: Duration = Duration::from_millis(250);

/// Number of hosts with a version in force, and the hosts without it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Number of hosts that have it or a later version.
    pub done: usize,
    /// Hosts that do not, each with its version in force; `None` if its agent does not answer.
    pub lagging: Vec<(HostId, Option<Version>)>,
}

/// Polls the hosts until all have `version` or `limit` has passed; calls `on_change` whenever the
/// progress changes.
///
/// # Errors
///
/// `Call` or `Unauthorized`.
pub async fn wait_in_force(
    client: &Client,
    version: Version,
    limit: Duration,
    on_change: impl Fn(&Progress),
) -> Result<Progress, CommandError> {
    let deadline = Instant::now() + limit;
    let mut last = None;
    loop {
        let progress = progress(&client.hosts().await?, version);
        if last.as_ref() != Some(&progress) {
            on_change(&progress);
        }
        if progress.lagging.is_empty() || Instant::now() > deadline {
            return Ok(progress);
        }
        last = Some(progress);
        sleep(POLL_PERIOD).await;
    }
}

/// Progress of `version` on `hosts`.
pub fn progress(hosts: &[HostState], version: Version) -> Progress {
    let version_of = |h: &HostState| h.about.as_ref().map(|a| a.version);
    let has = |h: &&HostState| version_of(h).is_some_and(|v| v >= version);
    let lagging = hosts.iter().filter(|h| !has(h));
    Progress {
        done: hosts.iter().filter(has).count(),
        lagging: lagging.map(|h| (h.host.clone(), version_of(h))).collect(),
    }
}

/// Formats the lagging hosts as a comma-separated list.
pub fn describe(lagging: &[(HostId, Option<Version>)]) -> String {
    let one = |(host, version): &(HostId, Option<Version>)| match version {
        Some(version) => format!("{host} at version {version}"),
        None => format!("{host} does not answer"),
    };
    let all: Vec<String> = lagging.iter().map(one).collect();
    all.join(", ")
}
