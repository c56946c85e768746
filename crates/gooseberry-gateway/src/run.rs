//! The life of a gateway: start, signals, end.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use base::prelude::*;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::rt::TokioIo;
use membership::gossip::Gossip;
use platform::store::Table;
use relay::Budget;
use settings::gateway::Gateway as Settings;
use telemetry::lines::Lines;
use thiserror::Error;
use timer::Timer;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::context::Context;
use crate::reply::{self, Body};
use crate::store::Store;
use crate::{gossip, hosts, serve, sync};

/// The hosts among which the fixed part of the retry budget is divided until the others are known; the
/// smallest deployment has 8.
const BUDGET_HOSTS: u64 = 16;

/// A stopping host stays at least so long, so that the balancer notices that it is not ready.
const LINGER: Millis = Millis(2_500);

/// The part of the grace after which a stopping host ends although requests are in flight, in percent.
const END_PERCENT: u64 = 88;

/// How often a stopping host looks whether requests are in flight.
const LOOK: Millis = Millis(50);

/// Why a gateway cannot run.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address cannot be listened on.
    #[error(
        "cannot listen on {addr}: {cause}; free the address or correct `listen` in the settings"
    )]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        cause: io::Error,
    },
    /// A signal cannot be received.
    #[error("cannot receive signals: {0}; run on a system that has them")]
    Signal(#[from] io::Error),
}

/// Runs a gateway until SIGTERM.
///
/// # Errors
///
/// [`RunError`] if it cannot start.
pub async fn run(settings: Settings, file: &Path, lines: &Lines) -> Result<(), RunError> {
    let timer = Timer::start();
    let retries = settings.retries;
    let budget = Budget::new(
        millis(retries.window_s),
        (retries.ratio * 1_000.0) as u64,
        retries.extra as u64,
        BUDGET_HOSTS,
    );
    let gossip = Gossip::new(settings.host.clone(), Incarnation(rand::random()));
    let ctx = Arc::new(Context::new(
        timer,
        millis(settings.grace_s),
        budget,
        gossip,
    ));
    let callers = listen(settings.listen.callers).await?;
    let ready = listen(settings.listen.ready).await?;
    let metrics = listen(settings.listen.metrics).await?;
    let peers = settings.listen.peers;
    let socket = UdpSocket::bind(peers)
        .await
        .map_err(|cause| RunError::Listen { addr: peers, cause })?;
    let socket = Arc::new(socket);
    let mut term = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    tracing::info!(
        host = %settings.host, data_centre = %settings.data_centre, store = %settings.store,
        callers = %settings.listen.callers, version = env!("CARGO_PKG_VERSION"), "start"
    );
    let (addr, addrs) = watch::channel(settings.store);
    for table in [Table::Operator, Table::Servers] {
        let store = Store::new(Arc::clone(&ctx), addrs.clone());
        tokio::spawn(sync::follow(Arc::clone(&ctx), table, store));
    }
    let host = settings.host.clone();
    let mut store = Store::new(Arc::clone(&ctx), addrs.clone());
    let own = Store::new(Arc::clone(&ctx), addrs);
    tokio::spawn(hosts::register(Arc::clone(&ctx), own, host.clone(), peers));
    tokio::spawn(gossip::tell(Arc::clone(&ctx), Arc::clone(&socket)));
    tokio::spawn(gossip::listen(Arc::clone(&ctx), Arc::clone(&socket)));
    tokio::spawn(serve::accept(Arc::clone(&ctx), callers));
    tokio::spawn(answer(Arc::clone(&ctx), ready, readiness));
    let counter = lines.counter();
    let text = move |ctx: &Context| {
        ctx.metrics
            .dropped_lines
            .set(counter.dropped_lines() as u64);
        Response::new(reply::whole(ctx.metrics.text()))
    };
    tokio::spawn(answer(Arc::clone(&ctx), metrics, text));
    tokio::spawn(reload(hangup, file.to_owned(), settings, addr));
    term.recv().await;
    stop(&ctx).await;
    gossip::send(&ctx, &socket, true).await;
    if let Err(error) = hosts::leave(&mut store, &host).await {
        tracing::info!(%error, "the row of this host was not removed");
    }
    Ok(())
}

/// Waits for the requests in flight, within the grace.
async fn stop(ctx: &Context) {
    let since = ctx.now();
    ctx.stop();
    let in_flight = ctx.metrics.in_flight.get();
    tracing::info!(in_flight, grace_ms = ctx.grace.0, "stop: no longer ready");
    let end = since + Millis(ctx.grace.0 * END_PERCENT / 100);
    loop {
        ctx.timer.after(LOOK).await;
        let now = ctx.now();
        let is_idle = ctx.metrics.in_flight.get() == 0 && now.since(since) >= LINGER;
        if is_idle || now >= end {
            break;
        }
    }
    tracing::info!(
        in_flight = ctx.metrics.in_flight.get(),
        took_ms = ctx.now().since(since).0,
        "stopped"
    );
}

/// Reads the settings again at each SIGHUP; what is held stays if they are wrong.
async fn reload(
    mut hangup: Signal,
    file: std::path::PathBuf,
    mut held: Settings,
    store: watch::Sender<SocketAddr>,
) {
    while hangup.recv().await.is_some() {
        match settings::load::<Settings>(&file) {
            Ok(new) => {
                let is_changed = new != held;
                tracing::info!(is_changed, store = %new.store, "reload");
                store.send_if_modified(|addr| std::mem::replace(addr, new.store) != new.store);
                if new.listen != held.listen {
                    tracing::warn!("`listen` changed; restart the process to use it");
                }
                held = new;
            }
            Err(error) => {
                tracing::warn!(%error, "reload failed; the settings before stay in force")
            }
        }
    }
}

/// Whether the host takes connections.
fn readiness(ctx: &Context) -> Response<Body> {
    let is_ready = ctx.is_ready();
    let mut response = Response::new(reply::whole(if is_ready { "ready" } else { "not ready" }));
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Answers every request on a listener with what `make` returns.
async fn answer<F>(ctx: Arc<Context>, listener: TcpListener, make: F)
where
    F: Fn(&Context) -> Response<Body> + Clone + Send + Sync + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            ctx.timer.after(LOOK).await;
            continue;
        };
        let (ctx, make) = (Arc::clone(&ctx), make.clone());
        let service = service_fn(move |_: Request<Incoming>| {
            let response = make(&ctx);
            async move { Ok::<_, std::convert::Infallible>(response) }
        });
        tokio::spawn(async move {
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = serving.await {
                tracing::debug!(%error, "a connection of an operator ended");
            }
        });
    }
}

/// A time of the settings.
fn millis(seconds: f64) -> Millis {
    Millis((seconds * 1_000.0) as u64)
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(addr)
        .await
        .map_err(|cause| RunError::Listen { addr, cause })
}
