//! Starts the tasks of a router and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use engine::wire::StreamName;
use peer::router::Sealed;
use peer::serve::RouterServer;
use settings::router::Router as Settings;
use thiserror::Error;
use timer::Timer;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::context::Router;
use crate::services::clear;
use crate::{admin, admit, claims, config, drain, http, stream};

/// Interval between checks for expired journals.
const EXPIRE_INTERVAL: Millis = Millis(1_000);

/// Time limit for callers to read the rest of finished responses during shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason why a router cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("cannot listen on {addr}: {cause}; correct `{place}` in the settings")]
    Listen {
        /// Address from the settings.
        addr: SocketAddr,
        /// Path of the address in the settings.
        place: &'static str,
        /// Error returned by the operating system.
        cause: std::io::Error,
    },
    /// The metrics client cannot be set up.
    #[error(transparent)]
    Metrics(#[from] telemetry::metrics::MetricsError),
}

/// Runs a router until `stop` is cancelled or its host drains, and the requests in flight have
/// ended.
///
/// # Errors
///
/// Any [`StartError`].
pub async fn run(settings: Settings, stop: CancellationToken) -> Result<(), StartError> {
    let listen = settings.listen;
    let callers = bind(listen.callers, "listen.callers").await?;
    let peers = bind(listen.peers, "listen.peers").await?;
    let operators = bind(listen.admin, "listen.admin").await?;
    let metrics = telemetry::metrics::start("router", settings.host.as_str(), settings.statsd)?;
    log::info!(
        "router started host={} callers={} peers={} admin={}",
        settings.host,
        listen.callers,
        listen.peers,
        listen.admin
    );
    let router = Arc::new(Router::new(settings, Timer::start(), metrics));
    let end = CancellationToken::new();
    let loops = [
        tokio::spawn(config::follow(router.clone())),
        tokio::spawn(expire(router.clone())),
        tokio::spawn(admit::tick_forever(router.clone())),
        tokio::spawn(claims::write(router.clone())),
        tokio::spawn(clear::run(router.clone())),
        tokio::spawn(serve_peers(router.clone(), peers, end.clone())),
    ];
    let (r, e) = (router.clone(), end.clone());
    let serving_callers = tokio::spawn(web::server::serve(callers, e, move |request| {
        http::handle(r.clone(), request)
    }));
    let (r, e) = (router.clone(), end.clone());
    let serving_operators = tokio::spawn(web::server::serve(operators, e, move |request| {
        admin::handle(r.clone(), request)
    }));
    tokio::select! {
        () = stop.cancelled() => {}
        () = router.drain.cancelled() => {}
    }
    drain::run(&router).await;
    end.cancel();
    // Neither a timeout nor a panic of the task leaves anything to wait for.
    let _ = timeout(FLUSH_TIMEOUT, serving_callers).await;
    serving_operators.abort();
    for task in loops {
        task.abort();
    }
    log::info!("router stopped host={}", router.settings.host);
    Ok(())
}

/// Serves the calls of other routers.
async fn serve_peers(router: Arc<Router>, listener: TcpListener, stop: CancellationToken) {
    let (a, s, c) = (router.clone(), router.clone(), router);
    let server = RouterServer {
        append: move |batch: Vec<journal::record::Append>| {
            let now = a.timer.now();
            batch
                .into_iter()
                .map(|one| a.journals.append_remote(now, one))
                .collect()
        },
        seal: move |key: RequestKey, epoch: Epoch, digest: u64| {
            let sealed = s.journals.seal(s.timer.now(), &key, epoch, digest);
            sealed.map(|snapshot| Sealed { snapshot })
        },
        close: move |key: RequestKey, epoch: Epoch| {
            c.journals.close(c.timer.now(), &key, epoch);
        },
    };
    peer::serve::router(listener, stop, server).await;
}

/// Evicts expired journals and cancels the engine streams that they leave without an owner.
async fn expire(router: Arc<Router>) {
    let mut ticks = router.timer.every(EXPIRE_INTERVAL);
    loop {
        let now = ticks.next().await;
        for orphan in router.journals.expire(now) {
            log::warn!(
                "cancelling engine stream without owner key={} host={} stream={}",
                orphan.key,
                router.settings.host,
                orphan.stream.name
            );
            let name = StreamName(orphan.stream.name);
            tokio::spawn(stream::cancel(orphan.stream.addr, name));
        }
    }
}

async fn bind(addr: SocketAddr, place: &'static str) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|cause| StartError::Listen { addr, place, cause })
}
