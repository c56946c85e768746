//! A router that is called through an in-memory pipe.

use std::net::SocketAddr;
use std::sync::Arc;

use base::hash::key_digest;
use bytes::Bytes;
use gooseberry_router::config::Snapshot;
use gooseberry_router::context::Router;
use gooseberry_router::http;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use profiles::document::Document;
use serde_json::{Value, json};
use timer::Timer;
use tokio_util::sync::CancellationToken;

/// Bearer key of the workspace.
pub(crate) const BEARER: &str = "letmein";

/// Capacity of a pipe, in bytes.
const PIPE_BYTES: usize = 64 * 1024;

/// A response with its whole body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: Value,
}

/// Creates a router without configuration or backend servers.
pub(crate) fn router() -> Arc<Router> {
    let unused: SocketAddr = ([127, 0, 0, 1], 9).into();
    let settings = serde_json::from_value(json!({
        "host": "entry-0",
        "data_centre": "vn-south-a",
        "listen": { "callers": unused, "peers": unused, "admin": unused },
        "agent": unused,
        "platform": unused,
    }));
    let metrics = telemetry::metrics::start("router", "entry-0", None);
    Arc::new(Router::new(
        settings.expect("the settings have the right shape"),
        Timer::start(),
        metrics.expect("no metrics are sent"),
    ))
}

/// Applies the configuration of [`document`].
pub(crate) fn configure(router: &Router) {
    router.swap(Snapshot {
        document: Arc::new(document()),
        ..Snapshot::default()
    });
}

/// Configuration with one profile, one model service and one workspace.
fn document() -> Document {
    let document = json!({
        "version": 3,
        "profiles": [{ "name": "drafts", "deadline_ms": 1_000, "limits": { "body_bytes": 1_000, "tokens": 100 } }],
        "services": [{
            "name": "draft-model",
            "kind": "model",
            "profile": "drafts",
            "models": [{ "name": "draft", "version": "1" }],
        }],
        "workspaces": [{ "name": "crew", "keys": [key_digest(BEARER)] }],
    });
    serde_json::from_value(document).expect("the document has the right shape")
}

/// Opens a connection to the router.
pub(crate) async fn connect(router: &Arc<Router>) -> SendRequest<Full<Bytes>> {
    let (near, far) = tokio::io::duplex(PIPE_BYTES);
    let router = router.clone();
    let stop = CancellationToken::new();
    tokio::spawn(web::server::connection(far, stop, move |request| {
        http::handle(router.clone(), request)
    }));
    let (sender, connection) = handshake(TokioIo::new(near))
        .await
        .expect("the pipe is open");
    tokio::spawn(connection);
    sender
}

/// Sends one request over a new connection.
pub(crate) async fn send(router: &Arc<Router>, request: Request<Full<Bytes>>) -> Answer {
    let mut sender = connect(router).await;
    let response = sender
        .send_request(request)
        .await
        .expect("a response arrives");
    let (parts, body) = response.into_parts();
    let bytes = body
        .collect()
        .await
        .expect("the body is complete")
        .to_bytes();
    Answer {
        status: parts.status,
        headers: parts.headers,
        body: serde_json::from_slice(&bytes).unwrap_or(Value::Null),
    }
}

/// Builds a request with the bearer key of the workspace.
pub(crate) fn request(method: &str, path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "entry-0")
        .header("authorization", format!("Bearer {BEARER}"))
        .body(Full::new(body.into()))
        .expect("the request is well formed")
}
