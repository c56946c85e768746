//! A connection to a backend server and the one call that it carries.

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

/// The largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A call as it is sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query, counted from behind the service's name.
    pub uri: Uri,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The whole answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if it has one.
    pub content: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// An open connection on which nothing was sent yet.
///
/// Dropping it closes it, also while a call is under way.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: ConnectionTask,
}

/// The task that drives a connection; it ends with its value.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// `Connect`: nothing was sent.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Self, CallError> {
        let failed = |cause: String| CallError::Connect { addr, cause };
        let connecting = async {
            let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
            // Without this, small requests wait for the peer's delayed acknowledgement.
            let _ = stream.set_nodelay(true);
            http1::handshake(TokioIo::new(stream))
                .await
                .map_err(|e| e.to_string())
        };
        let opened = timeout(limit, connecting).await;
        let (sender, connection) = opened.map_err(|e| failed(e.to_string()))?.map_err(failed)?;
        let task = ConnectionTask(tokio::spawn(async move {
            // How the connection ended is seen by the call that it carried.
            let _ = connection.await;
        }));
        Ok(Self { addr, sender, task })
    }

    /// Sends the call and reads its whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// `Broken` or `Timeout`: the call may have run.
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

/// The request of a call.
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

/// Reads a whole answer.
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
