//! Planned stop of an agent: marks its host as leaving and runs on until the host's router stops.

use std::time::Duration;

use base::prelude::*;
use membership::Members;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::shared::Agent;

/// Period of the checks whether the router is running.
const CHECK_PERIOD: Millis = Millis(50);

/// Time within which all peers have received the announcement that the host is leaving.
const ANNOUNCE_TIME: Millis = Millis(500);

/// Maximum wait for the router to stop; longer than a router waits at most for its requests in
/// flight.
const ROUTER_TIMEOUT: Millis = Millis(15 * 60 * 1_000);

/// Time limit for connecting to the router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits until `stop` is cancelled or the host is leaving, then until its router has stopped.
pub async fn wait(agent: &Agent, stop: &CancellationToken) {
    tokio::select! {
        () = stop.cancelled() => agent.members(Members::leave),
        () = agent.wait_leaving() => {}
    }
    log::info!(
        "host is leaving, agent runs until its router stops host={}",
        agent.settings.host
    );
    let started = agent.timer.now();
    agent.timer.after(ANNOUNCE_TIME).await;
    while agent.timer.now().since(started) < ROUTER_TIMEOUT && is_router_running(agent).await {
        agent.timer.after(CHECK_PERIOD).await;
    }
    log::info!("agent stopped host={}", agent.settings.host);
}

/// Whether the router of this host accepts connections; false if its address is not confirmed.
async fn is_router_running(agent: &Agent) -> bool {
    let own = agent.members(|m| m.own().clone());
    if !own.place_confirmed {
        return false;
    }
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(own.place.router)).await;
    // A timeout counts as running: the router may only be slow to accept.
    !matches!(connected, Ok(Err(_)))
}
