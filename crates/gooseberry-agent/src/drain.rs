//! The planned stop of an agent: its host leaves, and the agent stays until its router has gone.

use std::time::Duration;

use base::prelude::*;
use membership::Members;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::shared::Agent;

/// The time between looks at whether the router is still there.
const CHECK_PERIOD: Millis = Millis(50);

/// The time within which all peers have been told.
const ANNOUNCE_TIME: Millis = Millis(500);

/// The longest wait for the router; it exceeds the time that a router itself waits at most.
const ROUTER_TIMEOUT: Millis = Millis(15 * 60 * 1_000);

/// The longest wait for a connection to the router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits until the host is to leave and everything is done for it.
pub async fn wait(agent: &Agent, stop: &CancellationToken) {
    tokio::select! {
        () = stop.cancelled() => agent.members(Members::leave),
        () = agent.wait_leaving() => {}
    }
    log::info!("host leaves host={}", agent.settings.host);
    let started = agent.timer.now();
    agent.timer.after(ANNOUNCE_TIME).await;
    while agent.timer.now().since(started) < ROUTER_TIMEOUT && is_router_running(agent).await {
        agent.timer.after(CHECK_PERIOD).await;
    }
    log::info!("agent stopped host={}", agent.settings.host);
}

/// Whether the router of this host takes connections.
async fn is_router_running(agent: &Agent) -> bool {
    let own = agent.members(|m| m.own().clone());
    if !own.place_confirmed {
        return false;
    }
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(own.place.router)).await;
    // A router that is only slow to accept is still there.
    !matches!(connected, Ok(Err(_)))
}
