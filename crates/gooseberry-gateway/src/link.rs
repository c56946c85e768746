//! Client side of one HTTP/1 connection to a backend server or to the store.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::http::response::Parts;
use hyper::upgrade::Upgraded;
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio_util::task::AbortOnDropHandle;
use web::limited::{self, HeadLimit};

/// Idle time before the first TCP keepalive probe, and interval between probes; the shortest that the kernel
/// supports.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long data sent to a backend server, the store or another host may remain unacknowledged before the kernel
/// closes the connection.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reason why a request has no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was written.
    Unsent,
    /// The connection broke; the request may have run.
    Broken(hyper::Error),
}

/// A connection; dropping it closes it at once.
#[derive(Debug)]
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    head_limit: HeadLimit,
    /// Whether a request has been sent on it.
    pub is_used: bool,
    /// Address of the host that opened it as a tunnel; `None` for a connection of this host's own.
    pub tunnel: Option<SocketAddr>,
    /// Whether the end of this connection may be a loss, as of a tunnel by HTTP/1.
    pub hides_loss: bool,
    /// Runs the connection to that host.
    _carrier: Option<AbortOnDropHandle<()>>,
}

impl Link {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The operating system's error, or `TimedOut` after `timeout`.
    pub async fn open(addr: SocketAddr, timeout: Millis) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout.duration(), TcpStream::connect(addr))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        tune(&stream, Some(USER_TIMEOUT));
        Self::over(stream, None, None).await
    }

    /// Sends requests over a tunnel through the host at `host`; `carrier` runs the connection to that host.
    ///
    /// # Errors
    ///
    /// The error of the HTTP client, which does not occur on an open connection.
    pub async fn through(
        tunnel: Upgraded,
        host: SocketAddr,
        carrier: AbortOnDropHandle<()>,
    ) -> io::Result<Self> {
        Self::over(TokioIo::new(tunnel), Some(host), Some(carrier)).await
    }

    async fn over<T>(
        stream: T,
        tunnel: Option<SocketAddr>,
        carrier: Option<AbortOnDropHandle<()>>,
    ) -> io::Result<Self>
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let stream = limited::Limited::new(stream);
        let head_limit = stream.limit();
        let handshake = limited::builder().handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection closed with an error");
            }
        });
        Ok(Self {
            sender,
            driver: task.abort_handle(),
            head_limit,
            is_used: false,
            tunnel,
            hides_loss: false,
            _carrier: carrier,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// A [`SendError`], which states whether the request may have run.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::Unsent);
        }
        self.is_used = true;
        self.head_limit.begin();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.head_limit.end();
                Ok(response)
            }
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::Unsent,
                None => SendError::Broken(error.into_error()),
            }),
        }
    }

    /// Sends a request and reads the complete response; `None` if the connection breaks, or the body is truncated or
    /// has more than `max_bytes`.
    pub async fn fetch(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Option<(Parts, Bytes)> {
        let (parts, body) = self.send(request).await.ok()?.into_parts();
        Some((parts, read_body(body, max_bytes).await?))
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Reads a complete body; `None` if it is truncated or has more than `max_bytes`.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Option<Bytes> {
    let body = Limited::new(body, max_bytes).collect().await;
    Some(body.ok()?.to_bytes())
}

/// Sets the socket options that detect an unresponsive peer, and disables Nagle's algorithm.
///
/// `user_timeout` is how long sent data may remain unacknowledged; `None` for the system's default.
pub fn tune(stream: &TcpStream, user_timeout: Option<Duration>) {
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let socket = SockRef::from(stream);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&probes),
        user_timeout.map_or(Ok(()), |t| socket.set_tcp_user_timeout(Some(t))),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        tracing::warn!(%error, "socket option could not be set; unresponsive peers are detected later");
    }
}
