//! Operator HTTP endpoints of a daemon: its state, its readiness and the check of the operator key.

use base::hash::key_digest;
use base::prelude::*;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde_json::Value;
use web::{Response, reply};

/// Error body of the operator endpoints.
#[derive(Clone, Debug, Serialize)]
pub struct AdminError {
    /// Machine-readable kind of error, such as `not_found`.
    pub kind: &'static str,
    /// Description of the failure and its remedy.
    pub message: String,
}

/// Response to `GET /v1/ready`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Readiness {
    /// Whether the process accepts work.
    pub ready: bool,
    /// Reason why it does not; empty if it does.
    pub reason: String,
    /// Version of the configuration in force.
    pub version: Version,
}

/// Answers `GET /v1/state` and `GET /v1/ready`; `None` for any other request.
pub fn answer(
    request: &Request<Incoming>,
    state: impl Fn() -> Value,
    ready: impl Fn() -> Readiness,
) -> Option<Response> {
    if request.method() != Method::GET {
        return None;
    }
    match request.uri().path() {
        "/v1/state" => Some(reply::json(StatusCode::OK, &state())),
        "/v1/ready" => Some(ready_reply(&ready())),
        _ => None,
    }
}

/// Checks the operator key of a request; returns `None` if it is correct.
///
/// Otherwise logs the refusal and returns the response. `digest` is the digest of the key, from the
/// settings of the process on `host`; without one, every request is refused.
pub fn refusal(
    host: &HostId,
    digest: Option<&str>,
    request: &Request<Incoming>,
) -> Option<Response> {
    let bearer = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    let message = match (digest, bearer) {
        (None, _) => "`operator_digest` is not set in the settings; set it to admit operators",
        (_, None) => "no operator's key; send `Authorization: Bearer KEY`",
        (Some(digest), Some(key)) if key_digest(key) == digest => return None,
        _ => "the operator's key is wrong; use the one whose digest is in the settings",
    };
    let path = request.uri().path();
    log::warn!("operator request refused host={host} path={path} cause=\"{message}\"");
    let error = AdminError {
        kind: "unauthorized",
        message: message.to_owned(),
    };
    Some(reply::json(StatusCode::UNAUTHORIZED, &error))
}

/// Response to a request for which there is no operator endpoint.
pub fn not_found(request: &Request<Incoming>) -> Response {
    let error = AdminError {
        kind: "not_found",
        message: format!(
            "no such endpoint: {} {}; try GET /v1/state or GET /v1/ready",
            request.method(),
            request.uri().path()
        ),
    };
    reply::json(StatusCode::NOT_FOUND, &error)
}

fn ready_reply(readiness: &Readiness) -> Response {
    let status = if readiness.ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply::json(status, readiness)
}
