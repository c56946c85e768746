//! HTTP/1.1 client that opens a connection for each call and never sends a request twice.

use std::net::SocketAddr;
use std::time::Duration;

use base::traffic;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::io::{InspectReader, InspectWriter};

use crate::limited::{self, Limited};

/// Maximum size of a response body that is read completely.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Error of a call; tells whether the request may have been received.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be opened; the request was not sent.
    #[error("no connection to {addr}: {cause}; check that the process runs and listens there")]
    Connect {
        /// Address of the server.
        addr: SocketAddr,
        /// Cause given by the operating system, the HTTP library or the timeout.
        cause: String,
    },
    /// The connection failed after the request may have been sent.
    #[error("the connection to {addr} failed: {cause}; the request may have been received")]
    Broken {
        /// Address of the server.
        addr: SocketAddr,
        /// Cause given by the HTTP library.
        cause: String,
    },
    /// The time limit expired after the request may have been sent.
    #[error("no answer from {addr} in time; the request may have been received")]
    Timeout {
        /// Address of the server.
        addr: SocketAddr,
    },
    /// The server answered with an unsuccessful status.
    #[error("{addr} answered {status}: {body}")]
    Status {
        /// Address of the server.
        addr: SocketAddr,
        /// HTTP status code.
        status: StatusCode,
        /// Response body, with invalid UTF-8 replaced.
        body: String,
    },
    /// The response body is not JSON of the expected type.
    #[error(
        "{addr} answered in an unexpected shape: {cause}; check that both run the same version"
    )]
    Decode {
        /// Address of the server.
        addr: SocketAddr,
        /// Cause given by the JSON library.
        cause: String,
    },
}

impl CallError {
    /// Whether the request was certainly not sent; otherwise the server may have received it.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Sends `request` over a new connection and returns the response once its head has arrived.
///
/// `limit` does not cover the body of the response. Dropping the body closes the connection.
///
/// # Errors
///
/// Any [`CallError`] except `Status` and `Decode`.
pub async fn send(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<hyper::Response<Incoming>, CallError> {
    let deadline = Instant::now() + limit;
    let unreachable = |cause: String| CallError::Connect { addr, cause };
    let stream = timeout_at(deadline, TcpStream::connect(addr))
        .await
        .map_err(|e| unreachable(e.to_string()))?
        .map_err(|e| unreachable(e.to_string()))?;
    // Nagle's algorithm would hold small writes until the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let stream = Limited::new(count_bytes(stream));
    let head_limit = stream.limit();
    let handshake = limited::builder().handshake(TokioIo::new(stream));
    let (mut sender, connection) = timeout_at(deadline, handshake)
        .await
        .map_err(|e| unreachable(e.to_string()))?
        .map_err(|e| unreachable(e.to_string()))?;
    tokio::spawn(connection);
    head_limit.begin();
    let response = timeout_at(deadline, sender.send_request(request))
        .await
        .map_err(|_| CallError::Timeout { addr })?
        .map_err(|e| CallError::Broken {
            addr,
            cause: e.to_string(),
        })?;
    head_limit.end();
    Ok(response)
}

/// Connection whose bytes are counted in [`base::traffic`].
type CountedStream = InspectReader<InspectWriter<TcpStream, fn(&[u8])>, fn(&[u8])>;

fn count_bytes(stream: TcpStream) -> CountedStream {
    let written: InspectWriter<_, fn(&[u8])> = InspectWriter::new(stream, traffic::count_sent);
    InspectReader::new(written, traffic::count_received)
}

/// Sends `body` as JSON and decodes the JSON response; `limit` covers the whole call.
///
/// # Errors
///
/// Any [`CallError`].
pub async fn call<Q: Serialize, A: DeserializeOwned>(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: &Q,
    limit: Duration,
) -> Result<A, CallError> {
    let request = json_request(addr, method, path, body);
    let deadline = Instant::now() + limit;
    let response = send(addr, request, limit).await?;
    let bytes = timeout_at(deadline, read_whole(addr, response))
        .await
        .map_err(|_| CallError::Timeout { addr })??;
    serde_json::from_slice(&bytes).map_err(|e| CallError::Decode {
        addr,
        cause: e.to_string(),
    })
}

/// Sends a `GET` request and decodes the JSON response.
///
/// # Errors
///
/// Any [`CallError`].
pub async fn get<A: DeserializeOwned>(
    addr: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<A, CallError> {
    call(addr, Method::GET, path, &(), limit).await
}

/// Builds a request to `addr` with `body` as JSON.
pub fn json_request<Q: Serialize>(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: &Q,
) -> Request<Full<Bytes>> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(bytes)))
        .unwrap_or_default()
}

/// Reads the complete body of a successful response.
///
/// # Errors
///
/// `Status` for an unsuccessful response; `Broken` if the body ends early or is larger than 64 MiB.
pub async fn read_whole(
    addr: SocketAddr,
    response: hyper::Response<Incoming>,
) -> Result<Bytes, CallError> {
    let status = response.status();
    let bytes = http_body_util::Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|e| CallError::Broken {
            addr,
            cause: e.to_string(),
        })?
        .to_bytes();
    if status.is_success() {
        return Ok(bytes);
    }
    Err(CallError::Status {
        addr,
        status,
        body: String::from_utf8_lossy(&bytes).into_owned(),
    })
}
