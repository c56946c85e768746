//! Starts the parts of an agent.

use std::net::SocketAddr;
use std::sync::Arc;

use membership::Members;
use peer::agent::{About, ChangesRequest};
use peer::serve::AgentServer;
use settings::agent::Agent as Settings;
use thiserror::Error;
use timer::Timer;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::shared::Agent;
use crate::{admin, caches, drain, gauges, heartbeats, spread, watch};

/// Why an agent cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be had.
    #[error("cannot listen on {addr}: {cause}; correct `{place}` in the settings")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The path in the settings.
        place: &'static str,
        /// The cause given by the system.
        cause: std::io::Error,
    },
    /// Metrics cannot be sent.
    #[error(transparent)]
    Metrics(#[from] telemetry::metrics::MetricsError),
}

/// Runs an agent until its host has left, which begins when `stop` is cancelled at the latest.
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
    let metrics = telemetry::metrics::start("agent", settings.host.as_str(), settings.statsd)?;
    let agent = Arc::new(Agent::new(settings, Timer::start()));
    let loops = [
        tokio::spawn(spread::run(agent.clone())),
        tokio::spawn(watch::hosts(agent.clone())),
        tokio::spawn(heartbeats::run(agent.clone())),
        tokio::spawn(caches::follow(agent.clone())),
        tokio::spawn(gauges::report(agent.clone(), metrics)),
    ];
    let (viewed, asked, own) = (agent.clone(), agent.clone(), agent.clone());
    let (beaten, left) = (agent.clone(), agent.clone());
    let server = AgentServer {
        view: move |revision, version, wait| {
            let agent = viewed.clone();
            async move {
                agent.news(revision, wait).await;
                agent.view(version)
            }
        },
        changes: move |ask: ChangesRequest| {
            let agent = asked.clone();
            async move { spread::answer(&agent, ask).await }
        },
        about: move || About {
            host: own.settings.host.clone(),
            incarnation: own.incarnation,
            admin: own.settings.listen.admin,
            version: own.version(),
        },
        heartbeat: move |beat| heartbeats::answer(&beaten, beat),
        leave: move || left.members(Members::leave),
    };
    let end = CancellationToken::new();
    let serving = tokio::spawn(peer::serve::agent(peers, end.clone(), server));
    let (operated, ended) = (agent.clone(), end.clone());
    let operating = tokio::spawn(web::server::serve(operators, ended, move |r| {
        admin::handle(operated.clone(), r)
    }));
    drain::wait(&agent, &stop).await;
    end.cancel();
    // A task that failed has nothing left to wait for.
    let _ = operating.await;
    for task in loops {
        task.abort();
    }
    serving.abort();
    Ok(())
}

async fn bind(addr: SocketAddr, place: &'static str) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|cause| StartError::Listen { addr, place, cause })
}
