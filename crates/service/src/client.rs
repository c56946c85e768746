//! Connection to a backend server, used for a single call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use web::client::CallError;

/// Maximum size of a response body; a larger one fails the call.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// HTTP request as it is forwarded to a backend server.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query, without the leading part that names the service.
    pub uri: Uri,
    /// Headers that are forwarded; `Host` is set to the address of the server.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
}

/// Complete response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Content-Type`; `None` if it is absent or not ASCII text.
    pub content: Option<String>,
    /// Complete response body.
    pub body: Bytes,
}

/// Open connection on which no request has been sent yet.
///
/// Dropping it, or the future of [`Connection::call`], closes the connection.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: ConnectionTask,
}

/// Task that drives the I/O of a connection; dropping it aborts the task.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Opens a connection within `limit`.
    ///
    /// # Errors
    ///
    /// `Connect`; no request was sent.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Self, CallError> {
        let failed = |cause: String| CallError::Connect { addr, cause };
        let connecting = async {
            let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
            // Nagle's algorithm would hold small requests until the peer's delayed acknowledgement.
            let _ = stream.set_nodelay(true);
            http1::handshake(TokioIo::new(stream))
                .await
                .map_err(|e| e.to_string())
        };
        let opened = timeout(limit, connecting).await;
        let (sender, connection) = opened.map_err(|e| failed(e.to_string()))?.map_err(failed)?;
        let task = ConnectionTask(tokio::spawn(async move {
            // The call on this connection reports its failure.
            let _ = connection.await;
        }));
        Ok(Self { addr, sender, task })
    }

    /// Sends the call and reads the complete response, whatever its status, within `limit`.
    ///
    /// # Errors
    ///
    /// `Broken` or `Timeout`; the server may have run the call.
    pub async fn call(self, call: Call, limit: Duration) -> Result<Reply, CallError> {
        let Self {
            addr,
            mut sender,
            task,
        } = self;
        let broken = |cause: String| CallError::Broken { addr, cause };
        let exchange = async {
            let response = sender.send_request(request(addr, call)).await;
            read(response.map_err(|e| broken(e.to_string()))?)
                .await
                .map_err(broken)
        };
        let reply = timeout(limit, exchange).await;
        drop(task);
        reply.map_err(|_| CallError::Timeout { addr })?
    }
}

/// Builds the HTTP request of a call.
fn request(addr: SocketAddr, call: Call) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.uri;
    *request.headers_mut() = call.headers;
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// Reads a complete response.
async fn read(response: Response<Incoming>) -> Result<Reply, String> {
    let (parts, body) = response.into_parts();
    let content = parts.headers.get(CONTENT_TYPE);
    let content = content.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    Ok(Reply {
        status: parts.status.as_u16(),
        content,
        body: body.map_err(|e| e.to_string())?.to_bytes(),
    })
}
