//! Starts the parts of an agent.

use std::net::SocketAddr;
use std::sync::Arc;

use peer::serve::AgentServer;
use settings::agent::Agent as Settings;
use thiserror::Error;
use timer::Timer;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::shared::Agent;
use crate::{admin, caches, watch};

/// Why an agent cannot start.
#[derive(Debug, Error)]
#[error("cannot listen on {addr}: {cause}; correct `{place}` in the settings")]
pub struct StartError {
    addr: SocketAddr,
    place: &'static str,
    cause: std::io::Error,
}

/// Runs an agent until `stop` is cancelled.
///
/// # Errors
///
/// [`StartError`] if an address cannot be had.
pub async fn run(settings: Settings, stop: CancellationToken) -> Result<(), StartError> {
    let peers = bind(settings.listen.peers, "listen.peers").await?;
    let operators = bind(settings.listen.admin, "listen.admin").await?;
    log::info!(
        "agent started host={} peers={} admin={}",
        settings.host,
        settings.listen.peers,
        settings.listen.admin
    );
    let agent = Arc::new(Agent::new(settings, Timer::start()));
    let loops = [
        tokio::spawn(watch::configuration(agent.clone())),
        tokio::spawn(watch::hosts(agent.clone())),
        tokio::spawn(watch::loads(agent.clone())),
        tokio::spawn(caches::follow(agent.clone())),
    ];
    let viewed = agent.clone();
    let server = AgentServer {
        view: move |revision, version, wait| {
            let agent = viewed.clone();
            async move {
                agent.news(revision, wait).await;
                agent.view(version)
            }
        },
    };
    let serving = tokio::spawn(peer::serve::agent(peers, stop.clone(), server));
    web::server::serve(operators, stop, move |r| admin::handle(agent.clone(), r)).await;
    for task in loops {
        task.abort();
    }
    serving.abort();
    Ok(())
}

async fn bind(addr: SocketAddr, place: &'static str) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|cause| StartError { addr, place, cause })
}
