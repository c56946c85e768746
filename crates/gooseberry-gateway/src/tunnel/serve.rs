//! Opens tunnels to backend servers for other hosts.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::upgrade::Upgraded;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, WriteHalf, copy, sink, split};
use tokio::net::tcp::ReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::head::HeadReader;
use super::{
    ASKER_PING_TIMEOUT, FOR_REQUEST, PING_INTERVAL, PURPOSE, REFUSAL, Refusal, SERVER, WINDOW_BYTES,
};
use crate::context::{Context, InFlight};
use crate::{link, liveness, notices, paths};

/// Maximum number of tunnels open at once; each takes two connections.
const MAX_TUNNELS: i64 = 128;

/// Time limit for a server to accept a connection.
const CONNECT_TIMEOUT: Millis = Millis(150);

/// Time limit for the request of a host that has connected.
const HEAD_TIMEOUT: Millis = Millis(1_000);

/// The pause after a failure to accept a connection.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Bytes read at once until the head of an answer is complete.
const HEAD_CHUNK: usize = 4 << 10;

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

/// The connection of a host that asked for a tunnel.
#[derive(Clone, Debug, Default)]
struct Carrier {
    /// Closes the connection, so that the other host does not take the end of the tunnel for that of an answer.
    abort: CancellationToken,
    /// Cancelled when the connection is closed.
    closed: CancellationToken,
}

async fn connection(ctx: Arc<Context>, stream: TcpStream) {
    let carrier = Carrier::default();
    let _closed = carrier.closed.clone().drop_guard();
    let abort = carrier.abort.clone();
    let service = service_fn(move |request| {
        let (ctx, carrier) = (Arc::clone(&ctx), carrier.clone());
        async move { Ok::<_, Infallible>(answer(&ctx, request, carrier).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    // Hosts of the version before ask by HTTP/1.
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT.duration());
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL.duration())
        .keep_alive_timeout(ASKER_PING_TIMEOUT.duration())
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    let serving = builder.serve_connection_with_upgrades(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        () = abort.cancelled() => {}
        result = serving => {
            if let Err(error) = result {
                tracing::debug!(%error, "connection for a tunnel ended with an error");
            }
        }
    }
}

/// Connects to the server and starts the tunnel, or refuses it.
async fn answer(
    ctx: &Arc<Context>,
    request: Request<Incoming>,
    carrier: Carrier,
) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    match connect(ctx, &request).await {
        Ok((server, far, guard)) => {
            let ctx = Arc::clone(ctx);
            tokio::spawn(async move {
                if let Err(error) = run(&ctx, request, &server, far, &carrier).await {
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
    if ctx.grace_period().is_some() {
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
    let purpose = request.headers().get(PURPOSE);
    if purpose.is_none_or(|p| p == FOR_REQUEST) && !ctx.servers.takes_requests(&id, ctx.now()) {
        tracing::info!(server = %id, "tunnel refused: the server wants no requests");
        // Hosts of the version before take a refusal that they do not know for a failure of this host.
        return Err(purpose.map_or(Refusal::Unknown, |_| Refusal::Held));
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

/// Passes an answer on, and records what the server says of itself in its head.
async fn pass_answer(
    ctx: &Context,
    server: &BackendId,
    far: &mut ReadHalf<'_>,
    near: &mut WriteHalf<TokioIo<Upgraded>>,
) -> std::io::Result<()> {
    let mut head = HeadReader::default();
    let mut buffer = [0; HEAD_CHUNK];
    while !head.is_done() {
        let count = far.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        if let Some(parts) = head.push(&buffer[..count]) {
            notices::record_relayed(ctx, server, &parts);
        }
        near.write_all(&buffer[..count]).await?;
        near.flush().await?;
    }
    copy(far, near).await.map(|_| ())
}

/// Passes bytes on in both directions until one end closes or fails.
async fn run(
    ctx: &Context,
    request: Request<Incoming>,
    server: &BackendId,
    mut far: TcpStream,
    carrier: &Carrier,
) -> std::io::Result<()> {
    let upgraded = hyper::upgrade::on(request).await;
    let near = TokioIo::new(upgraded.map_err(std::io::Error::other)?);
    let (mut near_read, mut near_write) = split(near);
    let (mut far_read, mut far_write) = far.split();
    let result = tokio::select! {
        // The other host no longer waits for an answer, or its connection failed.
        result = copy(&mut near_read, &mut far_write) => result.map(|_| false),
        result = pass_answer(ctx, server, &mut far_read, &mut near_write) => result.map(|()| true),
    };
    if let Ok(true) = result {
        near_write.shutdown().await?;
        // The other host closes the tunnel when it has read the answer; closing it here would lose what is on its way.
        return copy(&mut near_read, &mut sink()).await.map(|_| ());
    }
    // A request that breaks off must not look complete to the server.
    SockRef::from(&far).set_linger(Some(Duration::ZERO))?;
    drop(far);
    // The stream ends cleanly when its halves are dropped, so the connection has to be closed first.
    carrier.abort.cancel();
    carrier.closed.cancelled().await;
    result.map(|_| ())
}
