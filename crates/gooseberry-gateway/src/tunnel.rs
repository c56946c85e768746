//! Tunnels to backend servers through other hosts, by the `CONNECT` method of HTTP/2.
//!
//! A stream of HTTP/2 tells its end from a loss, so that an answer which ends with its connection can be trusted, and
//! its pings are answered however slowly the tunnel is read, so that either host notices the loss of the other. Hosts of
//! earlier versions, which open tunnels by HTTP/1 only, are asked if no other one is left.
//!
//! The other host connects to the server and forwards bytes in both directions unchanged; it neither chooses a server
//! nor retries a request. It reads the head of the answer, as a server which says that it is leaving or wants no
//! requests for a while says so to the host that has connected to it, and opens no tunnel for a request after that.
//! The host that received the request keeps all decisions: the server,
//! the time limit, retries and their budget, and the response. A host opens tunnels over its own connections
//! only, so that no tunnel leads through another one. A tunnel carries one request and is not kept afterwards,
//! so that a stopping host has to wait for requests only.

pub mod head;
pub mod serve;

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use hyper::header::HeaderName;
use hyper::upgrade::Upgraded;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use membership::tunnels::{TunnelHost, TunnelRequest};
use strum::{Display, EnumString, IntoStaticStr};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::context::Context;
use crate::link::{self, Link};

/// Names the server that a tunnel leads to.
const SERVER: HeaderName = HeaderName::from_static("backend-server");

/// Names what a tunnel is for; absent in requests of earlier versions.
const PURPOSE: HeaderName = HeaderName::from_static("tunnel-purpose");

/// The purpose of a tunnel for a caller's request; all others check or manage the server.
pub const FOR_REQUEST: &str = "request";

/// Says why a host does not open a tunnel, as a [`Refusal`].
const REFUSAL: HeaderName = HeaderName::from_static("tunnel-refusal");

/// Interval at which both ends of a tunnel check that the other one is there.
const PING_INTERVAL: Millis = Millis(150);

/// Time limit for the host in between to answer a ping.
const HOST_PING_TIMEOUT: Millis = Millis(1_000);

/// Time limit for the host that asked for a tunnel to answer a ping. It is short, as the request goes on elsewhere when
/// that host loses its way to this one, and the server must not work on it any longer then.
const ASKER_PING_TIMEOUT: Millis = Millis(300);

/// Bytes in flight of a tunnel.
const WINDOW_BYTES: u32 = 128 << 10;

/// Time limit for a host to accept a connection.
const CONNECT_TIMEOUT: Millis = Millis(100);

/// Time limit for a host to open a tunnel; longer than that host's limit for its connection to the server.
const HOST_TIMEOUT: Millis = Millis(250);

/// A host that takes longer to answer is passed over.
const SLOW_ANSWER: Millis = Millis(100);

/// Maximum number of hosts tried for one tunnel.
const MAX_HOSTS: usize = 4;

/// Hosts that must fail to reach a server before it counts as unreachable, if that many answer.
const MIN_REFUSALS: usize = 2;

/// Why a host does not open a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The server does not accept its connection, and it has not lost contact with the service.
    Unreachable,
    /// It reaches no server of the service itself.
    NoContact,
    /// It does not know the server, or as for `Held` if the other host is of an earlier version.
    Unknown,
    /// The server has said to it that it is leaving or wants no requests for a while.
    Held,
    /// It has too many tunnels open.
    Busy,
    /// It is stopping.
    Stopping,
    /// The answer is none of the above, as from another version.
    Unreadable,
}

/// Why no tunnel could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TunnelError {
    /// Other hosts do not reach the server either.
    #[error("other hosts do not reach the server either")]
    Unreachable,
    /// The server wants no requests through the other hosts at present.
    #[error("the server wants no requests through other hosts")]
    Held,
    /// No host opens tunnels at present.
    #[error("no other host opens a tunnel to the server")]
    NoHost,
}

/// Opens a tunnel to a server through one of the other hosts, for the given purpose.
///
/// # Errors
///
/// A [`TunnelError`]; nothing has been sent to the server then.
pub async fn open(
    ctx: &Context,
    id: &BackendId,
    purpose: &'static str,
) -> Result<Link, TunnelError> {
    let (Some(addr), Some(centre)) = (ctx.servers.addr(id), ctx.servers.centre(id)) else {
        return Err(TunnelError::Unreachable);
    };
    let hosts = ctx.gossip().tunnel_hosts();
    let mut tried = Vec::new();
    let mut refusals = 0;
    let mut is_held = false;
    while tried.len() < MAX_HOSTS && refusals < MIN_REFUSALS {
        let request = TunnelRequest {
            server_centre: &centre,
            own_centre: &ctx.data_centre,
            tried: &tried,
            seed: rand::random(),
        };
        let Some(host) = ctx.tunnels().choose(ctx.now(), &hosts, &request).cloned() else {
            break;
        };
        tried.push(host.addr);
        match open_through(ctx, &host, id, addr, purpose).await {
            Ok(link) => return Ok(link),
            Err(Some(Refusal::Unreachable)) => refusals += 1,
            Err(Some(Refusal::Held)) => is_held = true,
            Err(_) => {}
        }
    }
    if is_held {
        return Err(TunnelError::Held);
    }
    if refusals > 0 {
        return Err(TunnelError::Unreachable);
    }
    tracing::info!(
        server = %id, hosts = hosts.len(), tried = tried.len(),
        "no host opens a tunnel to the server"
    );
    Err(TunnelError::NoHost)
}

/// A host that is asked for a tunnel. It is passed over for a while if it has not answered within
/// [`SLOW_ANSWER`] when its answer is no longer awaited.
struct Pending<'a> {
    ctx: &'a Context,
    host: SocketAddr,
    since: Millis,
    is_answered: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let now = self.ctx.now();
        if !self.is_answered && now.since(self.since) >= SLOW_ANSWER {
            self.ctx.tunnels().record_failed(now, self.host);
        }
    }
}

/// Opens a tunnel through the host at `host` and records the outcome.
///
/// # Errors
///
/// The host's refusal; `None` if it did not answer.
async fn open_through(
    ctx: &Context,
    host: &TunnelHost,
    id: &BackendId,
    addr: SocketAddr,
    purpose: &'static str,
) -> Result<Link, Option<Refusal>> {
    let has_http2 = host.has_http2;
    let host = host.addr;
    let mut pending = Pending {
        ctx,
        host,
        since: ctx.now(),
        is_answered: false,
    };
    let exchange = async {
        if has_http2 {
            connect(host, id, addr, purpose).await
        } else {
            connect_http1(host, id, addr).await
        }
    };
    let result = match tokio::time::timeout(HOST_TIMEOUT.duration(), exchange).await {
        Ok(result) => result,
        Err(_) => Err(None),
    };
    pending.is_answered = true;
    match &result {
        Ok(_) => {
            ctx.tunnels().record_opened(host);
            ctx.metrics.count_tunnel("opened");
            tracing::debug!(server = %id, %host, "tunnel opened");
        }
        Err(refusal) => {
            let cause = refusal.map_or("silent", Into::into);
            // A host that answers for the server alone can open tunnels to others.
            if !matches!(
                refusal,
                Some(Refusal::Unreachable | Refusal::Unknown | Refusal::Held)
            ) {
                ctx.tunnels().record_failed(ctx.now(), host);
            }
            ctx.metrics.count_tunnel(cause);
            tracing::debug!(server = %id, %host, cause, "tunnel not opened");
        }
    }
    result
}

/// Connects to the host at `host`.
async fn connect_host(host: SocketAddr) -> Option<TcpStream> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect(host));
    let stream = connecting.await.ok()?.ok()?;
    link::tune(&stream, Some(link::USER_TIMEOUT));
    Some(stream)
}

/// The stream of the tunnel that a host has opened, or its refusal.
async fn accepted(response: Response<Incoming>) -> Result<Upgraded, Option<Refusal>> {
    if response.status() != StatusCode::OK {
        let refusal = response.headers().get(REFUSAL);
        let text = refusal.and_then(|r| r.to_str().ok()).unwrap_or_default();
        return Err(Some(text.parse().unwrap_or(Refusal::Unreadable)));
    }
    hyper::upgrade::on(response).await.map_err(|_| None)
}

/// Asks the host at `host`, which is of an earlier version, for a tunnel to a server.
async fn connect_http1(
    host: SocketAddr,
    id: &BackendId,
    addr: SocketAddr,
) -> Result<Link, Option<Refusal>> {
    let stream = connect_host(host).await.ok_or(None)?;
    let handshake = http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(|_| None)?;
    let carrier = AbortOnDropHandle::new(tokio::spawn(async move {
        if let Err(error) = connection.with_upgrades().await {
            tracing::debug!(%error, "connection for a tunnel closed with an error");
        }
    }));
    let request = Request::connect(addr.to_string()).header(SERVER, id.as_str());
    let request = request.body(Empty::new()).map_err(|_| None)?;
    let response = sender.send_request(request).await.map_err(|_| None)?;
    let tunnel = accepted(response).await?;
    let link = Link::through(tunnel, host, carrier).await;
    let mut link = link.map_err(|_| None)?;
    link.hides_loss = true;
    Ok(link)
}

/// Asks the host at `host` for a tunnel to a server.
async fn connect(
    host: SocketAddr,
    id: &BackendId,
    addr: SocketAddr,
    purpose: &'static str,
) -> Result<Link, Option<Refusal>> {
    let stream = connect_host(host).await.ok_or(None)?;
    let handshake = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL.duration())
        .keep_alive_timeout(HOST_PING_TIMEOUT.duration())
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake::<_, Empty<Bytes>>(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(|_| None)?;
    let carrier = AbortOnDropHandle::new(tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, "connection for a tunnel closed with an error");
        }
    }));
    let request = Request::connect(addr.to_string())
        .header(SERVER, id.as_str())
        .header(PURPOSE, purpose);
    let request = request.body(Empty::new()).map_err(|_| None)?;
    let response = sender.send_request(request).await.map_err(|_| None)?;
    let link = Link::through(accepted(response).await?, host, carrier);
    link.await.map_err(|_| None)
}
