//! An HTTP/1.1 client that opens one connection a call and never sends a request twice.

use std::net::SocketAddr;
use std::time::Duration;

use base::traffic;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::io::{InspectReader, InspectWriter};

/// The largest whole response body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Why a call has no usable answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection: the request was certainly not sent.
    #[error("no connection to {addr}: {cause}; check that the process runs and listens there")]
    Connect {
        /// The address that was tried.
        addr: SocketAddr,
        /// The cause given by the system.
        cause: String,
    },
    /// The connection broke after the request may have been sent.
    #[error("the connection to {addr} broke: {cause}; the request may have been received")]
    Broken {
        /// The address of the server.
        addr: SocketAddr,
        /// The cause given by the HTTP library.
        cause: String,
    },
    /// No answer in time, after the request may have been sent.
    #[error("no answer from {addr} in time; the request may have been received")]
    Timeout {
        /// The address of the server.
        addr: SocketAddr,
    },
    /// The server answered with a status other than success.
    #[error("{addr} answered {status}: {body}")]
    Status {
        /// The address of the server.
        addr: SocketAddr,
        /// The status.
        status: StatusCode,
        /// The body, as text.
        body: String,
    },
    /// The server's answer is not of the expected shape.
    #[error(
        "{addr} answered in an unexpected shape: {cause}; check that both run the same version"
    )]
    Decode {
        /// The address of the server.
        addr: SocketAddr,
        /// The cause given by the JSON library.
        cause: String,
    },
}

impl CallError {
    /// Whether it is certain that the server never received the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Sends `request` over a new connection and returns the head of the answer.
///
/// The body of the answer has no time limit of its own. Dropping it closes the connection.
///
/// # Errors
///
/// Any [`CallError`] but `Status` and `Decode`.
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
    // Without this, small frames wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = timeout_at(
        deadline,
        http1::handshake(TokioIo::new(count_bytes(stream))),
    )
    .await
    .map_err(|e| unreachable(e.to_string()))?
    .map_err(|e| unreachable(e.to_string()))?;
    tokio::spawn(connection);
    timeout_at(deadline, sender.send_request(request))
        .await
        .map_err(|_| CallError::Timeout { addr })?
        .map_err(|e| CallError::Broken {
            addr,
            cause: e.to_string(),
        })
}

/// A connection whose bytes are counted.
type CountedStream = InspectReader<InspectWriter<TcpStream, fn(&[u8])>, fn(&[u8])>;

fn count_bytes(stream: TcpStream) -> CountedStream {
    let written: InspectWriter<_, fn(&[u8])> = InspectWriter::new(stream, traffic::sent);
    InspectReader::new(written, traffic::received)
}

/// Sends `body` as JSON and reads a JSON answer.
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

/// Reads a JSON answer to a request without a body.
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

/// Builds a request with a JSON body.
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

/// Reads the whole body of a successful answer.
///
/// # Errors
///
/// `Status` for any other answer, `Broken` if the body ends early.
pub async fn read_whole(
    addr: SocketAddr,
    response: hyper::Response<Incoming>,
) -> Result<Bytes, CallError> {
    let status = response.status();
    let bytes = Limited::new(response.into_body(), MAX_BODY_BYTES)
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
