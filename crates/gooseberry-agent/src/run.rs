//! Starts the tasks and servers of an agent.

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
use crate::{admin, caches, distribution, drain, gauges, heartbeats, watch};

/// Error that prevents an agent from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("cannot listen on {addr}: {cause}; correct `{place}` in the settings")]
    Listen {
        /// Address from the settings.
        addr: SocketAddr,
        /// Path of the address in the settings, such as `listen.peers`.
        place: &'static str,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The metrics client cannot be created.
    #[error(transparent)]
    Metrics(#[from] telemetry::metrics::MetricsError),
}

/// Runs an agent until its host has left.
///
/// The host starts to leave when `stop` is cancelled, or before that on request of an operator or
/// its router.
///
/// # Errors
///
/// [`StartError`] if an address cannot be bound or the metrics client cannot be created.
pub async fn run(settings: Settings, stop: CancellationToken) -> Result<(), StartError> {
    let peer_listener = bind(settings.listen.peers, "listen.peers").await?;
    let admin_listener = bind(settings.listen.admin, "listen.admin").await?;
    log::info!(
        "agent started host={} peers={} admin={}",
        settings.host,
        settings.listen.peers,
        settings.listen.admin
    );
    let metrics = telemetry::metrics::start("agent", settings.host.as_str(), settings.statsd)?;
    let agent = Arc::new(Agent::new(settings, Timer::start()));
    let loops = [
        tokio::spawn(distribution::run(agent.clone())),
        tokio::spawn(watch::hosts(agent.clone())),
        tokio::spawn(heartbeats::run(agent.clone())),
        tokio::spawn(caches::follow(agent.clone())),
        tokio::spawn(gauges::report(agent.clone(), metrics)),
    ];
    let (for_view, for_changes, for_about) = (agent.clone(), agent.clone(), agent.clone());
    let (for_heartbeat, for_leave) = (agent.clone(), agent.clone());
    let server = AgentServer {
        view: move |revision, version, wait| {
            let agent = for_view.clone();
            async move {
                agent.wait_revision(revision, wait).await;
                agent.view(version)
            }
        },
        changes: move |ask: ChangesRequest| {
            let agent = for_changes.clone();
            async move { distribution::answer(&agent, ask).await }
        },
        about: move || About {
            host: for_about.settings.host.clone(),
            incarnation: for_about.incarnation,
            admin: for_about.settings.listen.admin,
            version: for_about.version(),
        },
        heartbeat: move |heartbeat| heartbeats::answer(&for_heartbeat, heartbeat),
        leave: move || for_leave.members(Members::leave),
    };
    let end = CancellationToken::new();
    let serving = tokio::spawn(peer::serve::agent(peer_listener, end.clone(), server));
    let (for_admin, admin_end) = (agent.clone(), end.clone());
    let operating = tokio::spawn(web::server::serve(admin_listener, admin_end, move |r| {
        admin::handle(for_admin.clone(), r)
    }));
    drain::wait(&agent, &stop).await;
    end.cancel();
    // A panicked server task is already finished.
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
