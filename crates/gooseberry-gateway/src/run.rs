//! Start, reload and graceful shutdown of a gateway.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use base::prelude::*;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::rt::TokioIo;
use membership::gossip::{Gossip, KINDS, ListedPeer, hub_priority};
use platform::store::Table;
use relay::Budget;
use settings::gateway::{Gateway as Settings, Listen};
use telemetry::stdout_log::StdoutLog;
use thiserror::Error;
use timer::Timer;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::context::{Context, Limits};
use crate::reply::{self, Body};
use crate::store::Store;
use crate::{feed, gossip, hosts, paths, quarantine, serve, sync, tunnel};

/// The number of hosts among which the fixed part of the retry budget is divided until the host list is
/// read; the smallest deployment has 8.
const BUDGET_HOSTS: u64 = 16;

/// The minimum time from SIGTERM to the end of the process, so that the load balancer observes that the host
/// is not ready.
const MIN_STOP_TIME: Millis = Millis(2_500);

/// The part of the grace period, in percent, after which a stopping host ends even if requests are in
/// flight.
const END_PERCENT: u64 = 88;

/// The interval at which a stopping host checks whether requests are in flight; also the pause after a
/// failure to accept a connection.
const POLL_INTERVAL: Millis = Millis(50);

/// The reason why a gateway cannot start.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address of the settings cannot be bound.
    #[error(
        "cannot listen on {addr}: {cause}; free the address or correct `listen` in the settings"
    )]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// A signal handler cannot be installed.
    #[error("cannot install signal handlers: {0}; run on a system with SIGTERM and SIGHUP")]
    Signal(#[from] io::Error),
}

/// A running gateway.
pub struct Gateway {
    /// State shared by all requests.
    pub ctx: Arc<Context>,
    /// The addresses on which it listens, with the actual ports where the settings give port 0.
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
pub async fn run(settings: Settings, file: &Path, lines: &StdoutLog) -> Result<(), RunError> {
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

/// Starts a gateway; `dropped_lines` returns the number of log lines dropped since the start.
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
        from_seconds(retries.window_s),
        (retries.ratio * 1_000.0) as u64,
        retries.extra as u64,
        BUDGET_HOSTS,
    );
    let host = settings.host.clone();
    let data_centre = settings.data_centre.clone();
    let hub_priority = hub_priority(settings.limits.cores, settings.limits.link_mbps);
    let gossip = Gossip::new(
        host.clone(),
        data_centre.clone(),
        Incarnation(rand::random()),
    )
    .with_hub_priority(hub_priority);
    let limits = Limits {
        grace: from_seconds(settings.grace_s),
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
    let tunnels = match settings.listen.tunnels {
        Some(addr) => Some(bind(addr).await?),
        None => None,
    };
    let (peer_calls, socket, peers) = bind_peers(settings.listen.peers).await?;
    let listen = Listen {
        callers: callers_addr,
        ready: ready_addr,
        peers,
        metrics: metrics_addr,
        tunnels: tunnels.as_ref().map(|(_, addr)| *addr),
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
            tunnels: listen.tunnels,
            has_http2: listen.tunnels.is_some(),
            hub_priority,
            kinds: KINDS,
        },
    ));
    tasks.spawn(gossip::send_reports(Arc::clone(&ctx), Arc::clone(&socket)));
    tasks.spawn(gossip::listen(Arc::clone(&ctx), Arc::clone(&socket)));
    tasks.spawn(feed::serve(Arc::clone(&ctx), peer_calls));
    tasks.spawn(paths::watch(Arc::clone(&ctx)));
    tasks.spawn(quarantine::synchronise(Arc::clone(&ctx), store()));
    if let Some((listener, _)) = tunnels {
        tasks.spawn(tunnel::serve::accept(Arc::clone(&ctx), listener));
    }
    tasks.spawn(serve::accept(Arc::clone(&ctx), callers));
    tasks.spawn(serve_operators(Arc::clone(&ctx), ready, readiness));
    let text = move |ctx: &Context| {
        ctx.metrics.dropped_lines.set(dropped_lines());
        Response::new(reply::full(ctx.metrics.text()))
    };
    tasks.spawn(serve_operators(Arc::clone(&ctx), metrics, text));
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
    /// Signs off from the other hosts and waits for the requests in flight, within the grace period.
    ///
    /// The process must end at once when this returns. No request is in flight then, unless the grace period
    /// is nearly over; one that arrives later must not be forwarded, as the end of the process would cut it
    /// off.
    pub async fn stop(mut self) {
        let since = self.ctx.now();
        self.ctx.stop();
        let grace = self.ctx.limits.grace;
        let in_flight = self.ctx.metrics.in_flight.get();
        tracing::info!(in_flight, grace_ms = grace.0, "stopping; no longer ready");
        // The other hosts switch to another hub while this one still runs.
        gossip::leave(&self.ctx, &self.socket).await;
        if let Err(error) = hosts::unregister(&mut self.store, &self.host).await {
            tracing::info!(%error, "cannot remove this host from the list of hosts");
        }
        self.ctx.timer.at(since + MIN_STOP_TIME).await;
        let end = since + Millis(grace.0 * END_PERCENT / 100);
        while self.ctx.now() < end {
            if self.is_idle() {
                gossip::leave(&self.ctx, &self.socket).await;
                // A request may have arrived while the sign-off was sent.
                if self.is_idle() {
                    break;
                }
            }
            self.ctx.timer.after(POLL_INTERVAL).await;
        }
        if !self.is_idle() {
            // On a host that was slow or frozen the answers that were due may not have been written yet.
            self.ctx.timer.after(POLL_INTERVAL).await;
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

/// Reads the settings again at each SIGHUP; invalid ones are rejected. Only the store's address takes effect.
async fn reload(
    mut hangup: Signal,
    file: std::path::PathBuf,
    mut current: Settings,
    store: watch::Sender<SocketAddr>,
) {
    while hangup.recv().await.is_some() {
        match settings::load::<Settings>(&file) {
            Ok(new) => {
                let is_changed = new != current;
                tracing::info!(is_changed, store = %new.store, "reload");
                store.send_if_modified(|addr| std::mem::replace(addr, new.store) != new.store);
                if new.listen != current.listen {
                    tracing::warn!("`listen` changed; restart the process to use it");
                }
                current = new;
            }
            Err(error) => {
                tracing::warn!(%error, "settings not reloaded; the previous settings stay in force")
            }
        }
    }
}

/// The answer to the load balancer's readiness check.
fn readiness(ctx: &Context) -> Response<Body> {
    let is_ready = ctx.is_ready();
    let mut response = Response::new(reply::full(if is_ready { "ready" } else { "not ready" }));
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Serves an operator's endpoint: answers every request on a listener with the response of `make`.
async fn serve_operators<F>(ctx: Arc<Context>, listener: TcpListener, make: F)
where
    F: Fn(&Context) -> Response<Body> + Clone + Send + Sync + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            ctx.timer.after(POLL_INTERVAL).await;
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
                tracing::debug!(%error, "connection to an operator's endpoint ended with an error");
            }
        });
    }
}

/// Converts a time of the settings.
fn from_seconds(seconds: f64) -> Millis {
    Millis((seconds * 1_000.0) as u64)
}

/// Listens on `addr`; returns the bound address, which has the actual port if that of `addr` is 0.
async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), RunError> {
    let failed = |cause| RunError::Listen { addr, cause };
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Binds TCP and UDP on the same port, for the calls and the gossip messages of other hosts.
async fn bind_peers(
    addr: SocketAddr,
) -> Result<(TcpListener, Arc<UdpSocket>, SocketAddr), RunError> {
    let (listener, bound) = bind(addr).await?;
    let failed = |cause| RunError::Listen { addr: bound, cause };
    let socket = UdpSocket::bind(bound).await.map_err(failed)?;
    Ok((listener, Arc::new(socket), bound))
}
