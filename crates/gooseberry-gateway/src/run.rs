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
use membership::gossip::{Gossip, ListedPeer};
use platform::store::Table;
use relay::Budget;
use settings::gateway::{Gateway as Settings, Listen};
use telemetry::lines::Lines;
use thiserror::Error;
use timer::Timer;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::context::{Context, Limits};
use crate::reply::{self, Body};
use crate::store::Store;
use crate::{feed, gossip, hosts, serve, sync};

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

/// A running gateway.
pub struct Gateway {
    /// What its requests share.
    pub ctx: Arc<Context>,
    /// The addresses on which it listens, with the ports that it was given.
    pub listen: Listen,
    host: HostId,
    socket: Arc<UdpSocket>,
    store: Store,
    store_addr: watch::Sender<SocketAddr>,
    _tasks: JoinSet<()>,
}

/// Runs a gateway until SIGTERM.
///
/// # Errors
///
/// [`RunError`] if it cannot start.
pub async fn run(settings: Settings, file: &Path, lines: &Lines) -> Result<(), RunError> {
    let mut term = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let counter = lines.counter();
    let gateway = start(&settings, move || counter.dropped_lines() as u64).await?;
    let store = gateway.store_addr.clone();
    let reloads = tokio::spawn(reload(hangup, file.to_owned(), settings, store));
    term.recv().await;
    reloads.abort();
    gateway.stop().await;
    Ok(())
}

/// Starts a gateway; `dropped_lines` counts what its log has lost.
///
/// # Errors
///
/// [`RunError`] if an address cannot be listened on.
pub async fn start(
    settings: &Settings,
    dropped_lines: impl Fn() -> u64 + Clone + Send + Sync + 'static,
) -> Result<Gateway, RunError> {
    let retries = settings.retries;
    let budget = Budget::new(
        millis(retries.window_s),
        (retries.ratio * 1_000.0) as u64,
        retries.extra as u64,
        BUDGET_HOSTS,
    );
    let host = settings.host.clone();
    let data_centre = settings.data_centre.clone();
    let gossip = Gossip::new(
        host.clone(),
        data_centre.clone(),
        Incarnation(rand::random()),
    );
    let limits = Limits {
        grace: millis(settings.grace_s),
        leave: Millis(settings.leave_ms),
    };
    let ctx = Arc::new(Context::new(
        data_centre.clone(),
        Timer::start(),
        limits,
        budget,
        gossip,
    ));
    let (callers, callers_addr) = bind(settings.listen.callers).await?;
    let (ready, ready_addr) = bind(settings.listen.ready).await?;
    let (metrics, metrics_addr) = bind(settings.listen.metrics).await?;
    let (peer_calls, socket, peers) = bind_peers(settings.listen.peers).await?;
    let listen = Listen {
        callers: callers_addr,
        ready: ready_addr,
        peers,
        metrics: metrics_addr,
    };
    tracing::info!(
        %host, data_centre = %settings.data_centre, store = %settings.store,
        callers = %listen.callers, version = env!("CARGO_PKG_VERSION"), "start"
    );
    let (store_addr, addrs) = watch::channel(settings.store);
    let store = || Store::new(Arc::clone(&ctx), addrs.clone());
    let mut tasks = JoinSet::new();
    for table in [Table::Operator, Table::Servers] {
        tasks.spawn(sync::follow(Arc::clone(&ctx), table, store()));
    }
    tasks.spawn(hosts::register(
        Arc::clone(&ctx),
        store(),
        ListedPeer {
            host: host.clone(),
            data_centre,
            addr: peers,
        },
    ));
    tasks.spawn(gossip::tell(Arc::clone(&ctx), Arc::clone(&socket)));
    tasks.spawn(gossip::listen(Arc::clone(&ctx), Arc::clone(&socket)));
    tasks.spawn(feed::serve(Arc::clone(&ctx), peer_calls));
    tasks.spawn(serve::accept(Arc::clone(&ctx), callers));
    tasks.spawn(answer(Arc::clone(&ctx), ready, readiness));
    let text = move |ctx: &Context| {
        ctx.metrics.dropped_lines.set(dropped_lines());
        Response::new(reply::full(ctx.metrics.text()))
    };
    tasks.spawn(answer(Arc::clone(&ctx), metrics, text));
    let store = store();
    Ok(Gateway {
        ctx,
        listen,
        host,
        socket,
        store,
        store_addr,
        _tasks: tasks,
    })
}

impl Gateway {
    /// Takes leave of the other hosts and waits for the requests in flight, within the grace.
    ///
    /// The process must end at once when this returns: nothing is in flight then, and a request that
    /// comes later must not be passed on.
    pub async fn stop(mut self) {
        let since = self.ctx.now();
        self.ctx.stop();
        let grace = self.ctx.limits.grace;
        let in_flight = self.ctx.metrics.in_flight.get();
        tracing::info!(in_flight, grace_ms = grace.0, "stop: no longer ready");
        // Others take another hub while this one still runs.
        gossip::leave(&self.ctx, &self.socket).await;
        if let Err(error) = hosts::leave(&mut self.store, &self.host).await {
            tracing::info!(%error, "the row of this host was not removed");
        }
        self.ctx.timer.at(since + LINGER).await;
        let end = since + Millis(grace.0 * END_PERCENT / 100);
        while self.ctx.now() < end {
            if self.is_idle() {
                gossip::leave(&self.ctx, &self.socket).await;
                // A request may have come while the digest was sent.
                if self.is_idle() {
                    break;
                }
            }
            self.ctx.timer.after(LOOK).await;
        }
        tracing::info!(
            in_flight = self.ctx.metrics.in_flight.get(),
            took_ms = self.ctx.now().since(since).0,
            "stopped"
        );
    }

    fn is_idle(&self) -> bool {
        self.ctx.metrics.in_flight.get() == 0
    }
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
    let mut response = Response::new(reply::full(if is_ready { "ready" } else { "not ready" }));
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

/// Listens on `addr`; returns the address with the port that was given, if any port was asked for.
async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), RunError> {
    let failed = |cause| RunError::Listen { addr, cause };
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let given = listener.local_addr().map_err(failed)?;
    Ok((listener, given))
}

/// Binds the same port for calls and for datagrams of other hosts.
async fn bind_peers(
    addr: SocketAddr,
) -> Result<(TcpListener, Arc<UdpSocket>, SocketAddr), RunError> {
    let (listener, given) = bind(addr).await?;
    let failed = |cause| RunError::Listen { addr: given, cause };
    let socket = UdpSocket::bind(given).await.map_err(failed)?;
    Ok((listener, Arc::new(socket), given))
}
