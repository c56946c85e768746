//! Sends heartbeats to other agents and polls backend servers for their load.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::prelude::*;
use base::sorted::Sorted;
use membership::Heartbeat;
use membership::members::Action;
use peer::link::AgentLink;

use crate::members::report;
use crate::shared::{Agent, SharedAgent};

/// Period at which due heartbeats and polls are started.
const TICK: Millis = Millis(100);

/// Time limit for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connections to other agents, by address.
#[derive(Default)]
pub struct Links {
    links: Mutex<Sorted<SocketAddr, Arc<AgentLink>>>,
}

impl Links {
    /// The link to the agent at `addr`.
    fn get(&self, addr: SocketAddr) -> Arc<AgentLink> {
        let mut links = self.links.lock().unwrap_or_else(|e| e.into_inner());
        let link = links.entry(addr, || Arc::new(AgentLink::new(addr)));
        link.clone()
    }
}

/// Starts due heartbeats and polls; never returns.
pub async fn run(agent: SharedAgent) {
    let mut ticks = agent.timer.every(TICK);
    loop {
        let now = ticks.next().await;
        let mut actions = Vec::new();
        agent.members(|m| m.tick(now, &mut actions));
        for action in actions {
            let agent = agent.clone();
            match action {
                Action::Heartbeat { host, addr } => tokio::spawn(async move {
                    exchange_heartbeats(&agent, host, addr).await;
                }),
                Action::Poll { backend, addr } => tokio::spawn(async move {
                    poll(&agent, backend, addr).await;
                }),
            };
        }
    }
}

/// Applies the heartbeat of another agent and returns one in response.
pub fn answer(agent: &Agent, heartbeat: Heartbeat) -> Heartbeat {
    let now = agent.timer.now();
    agent.members(|m| {
        let from = heartbeat.host.clone();
        m.receive(now, heartbeat);
        m.heartbeat(now, &from)
    })
}

/// Exchanges heartbeats with one agent.
async fn exchange_heartbeats(agent: &Agent, host: HostId, addr: SocketAddr) {
    let request = agent.members(|m| m.heartbeat(agent.timer.now(), &host));
    let link = agent.links.get(addr);
    // A failed call needs no handling: a host becomes suspect by the time since its last message.
    if let Ok(answer) = link.heartbeat(request, HEARTBEAT_TIMEOUT).await {
        agent.members(|m| m.receive(agent.timer.now(), answer));
    }
}

/// Polls one backend server for its load and applies the result, also a failed one.
async fn poll(agent: &Agent, backend: BackendId, addr: SocketAddr) {
    let limit = Millis(agent.settings.load_ms * 2).duration();
    let answer = engine::client::load(addr, limit).await;
    let answer = answer.ok().map(report);
    agent.members(|m| m.apply_poll_result(agent.timer.now(), &backend, answer));
}
