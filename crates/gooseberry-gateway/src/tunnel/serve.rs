//! Opens tunnels to backend servers for other hosts.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::io::{AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};

use super::{REFUSAL, Refusal, SERVER};
use crate::context::{Context, InFlight};
use crate::{link, liveness, paths};

/// Maximum number of tunnels open at once; each takes two connections.
const MAX_TUNNELS: i64 = 128;

/// Time limit for a server to accept a connection.
const CONNECT_TIMEOUT: Millis = Millis(150);

/// Time limit for the request of a host that has connected.
const HEAD_TIMEOUT: Millis = Millis(1_000);

/// The pause after a failure to accept a connection.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Accepts connections of other hosts until the task is aborted.
pub async fn accept(ctx: Arc<Context>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            ctx.timer.after(ACCEPT_PAUSE).await;
            continue;
        };
        // Keeps the system's time limit for unacknowledged data: the other host may read as slowly as its caller.
        link::tune(&stream, None);
        tokio::spawn(connection(Arc::clone(&ctx), stream));
    }
}

async fn connection(ctx: Arc<Context>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let ctx = Arc::clone(&ctx);
        async move { Ok::<_, Infallible>(answer(&ctx, request).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT.duration())
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    if let Err(error) = serving.await {
        tracing::debug!(%error, "connection for a tunnel ended with an error");
    }
}

/// Connects to the server and starts the tunnel, or refuses it.
async fn answer(ctx: &Arc<Context>, request: Request<Incoming>) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    match connect(ctx, &request).await {
        Ok((server, far, guard)) => {
            tokio::spawn(async move {
                if let Err(error) = run(request, far).await {
                    tracing::debug!(%server, %error, "tunnel ended with an error");
                }
                drop(guard);
            });
        }
        Err(refusal) => {
            let text: &'static str = refusal.into();
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            let value = HeaderValue::from_static(text);
            response.headers_mut().insert(REFUSAL, value);
        }
    }
    response
}

/// Counts a tunnel while it is open, and as a request in flight, for which a stopping host waits.
struct Guard {
    ctx: Arc<Context>,
    _in_flight: InFlight,
}

impl Guard {
    fn new(ctx: &Arc<Context>) -> Self {
        ctx.metrics.served_tunnels.inc();
        Self {
            ctx: Arc::clone(ctx),
            _in_flight: InFlight::new(ctx),
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.ctx.metrics.served_tunnels.dec();
    }
}

/// Connects to the server that a request names.
async fn connect(
    ctx: &Arc<Context>,
    request: &Request<Incoming>,
) -> Result<(BackendId, TcpStream, Guard), Refusal> {
    if ctx.stopped().is_some() {
        return Err(Refusal::Stopping);
    }
    let name = request.headers().get(SERVER).and_then(|v| v.to_str().ok());
    let id = BackendId::from(name.unwrap_or_default());
    let addr = ctx.servers.addr(&id).ok_or(Refusal::Unknown)?;
    if request.method() != Method::CONNECT {
        return Err(Refusal::Unknown);
    }
    if ctx.metrics.served_tunnels.get() >= MAX_TUNNELS {
        return Err(Refusal::Busy);
    }
    // The connection would hang as well; this host tries its paths again by itself.
    if ctx.servers.hangs_since(&id, Millis(0)) {
        return Err(Refusal::NoContact);
    }
    let guard = Guard::new(ctx);
    ctx.metrics.count_connection("tunnel");
    let connecting = TcpStream::connect(addr);
    let connected = match tokio::time::timeout(CONNECT_TIMEOUT.duration(), connecting).await {
        Ok(result) => result,
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    };
    match connected {
        Ok(stream) => {
            link::tune(&stream, Some(link::USER_TIMEOUT));
            paths::record_accepted(ctx, &id);
            Ok((id, stream, guard))
        }
        Err(error) => {
            ctx.metrics.count_failed_connection("tunnel");
            paths::record_refused(ctx, &id, &error);
            if ctx.servers.is_contact_lost(&id) {
                return Err(Refusal::NoContact);
            }
            liveness::report_unreachable(ctx, &id, ctx.now());
            Err(Refusal::Unreachable)
        }
    }
}

/// Passes bytes on in both directions until one end closes or fails.
async fn run(request: Request<Incoming>, mut far: TcpStream) -> std::io::Result<()> {
    let upgraded = hyper::upgrade::on(request).await;
    let upgraded = upgraded.map_err(std::io::Error::other)?;
    let Ok(parts) = upgraded.downcast::<TokioIo<TcpStream>>() else {
        return Err(std::io::Error::other("the connection is of another type"));
    };
    let mut near = parts.io.into_inner();
    far.write_all(&parts.read_buf).await?;
    let (mut near_read, mut near_write) = near.split();
    let (mut far_read, mut far_write) = far.split();
    let result = tokio::select! {
        // The other host no longer waits for an answer, or its connection failed.
        result = copy(&mut near_read, &mut far_write) => result.map(|_| false),
        result = copy(&mut far_read, &mut near_write) => result.map(|_| true),
    };
    if let Ok(true) = result {
        return near.shutdown().await;
    }
    // An answer that breaks off must not look complete to the other host, nor a request to the server.
    for stream in [&near, &far] {
        SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    }
    result.map(|_| ())
}
