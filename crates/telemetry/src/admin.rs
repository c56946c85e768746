//! The operators' entry of a daemon: its state and its readiness.

use base::hash::key_digest;
use base::prelude::*;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde_json::Value;
use web::{Response, reply};

/// The error body of the operators' entry.
#[derive(Clone, Debug, Serialize)]
pub struct AdminError {
    /// The kind of error.
    pub kind: &'static str,
    /// What happened and what to do.
    pub message: String,
}

/// Whether a process takes work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Readiness {
    /// Whether it does.
    pub ready: bool,
    /// Why it does not, or an empty text.
    pub reason: String,
    /// The version of the configuration in force.
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

/// The refusal of a request whose operator's key is missing or wrong; it is logged.
///
/// `digest` is that of the key, from the settings of the process on `host`.
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
        (None, _) => "there is no `operator_digest` in the settings; write one to admit operators",
        (_, None) => "no operator's key; send `Authorization: Bearer KEY`",
        (Some(digest), Some(key)) if key_digest(key) == digest => return None,
        _ => "the operator's key is wrong; use the one whose digest stands in the settings",
    };
    let path = request.uri().path();
    log::warn!("operator refused host={host} path={path} cause=\"{message}\"");
    let error = AdminError {
        kind: "unauthorized",
        message: message.to_owned(),
    };
    Some(reply::json(StatusCode::UNAUTHORIZED, &error))
}

/// The answer to a request that the operators' entry does not know.
pub fn not_found(request: &Request<Incoming>) -> Response {
    let error = AdminError {
        kind: "not_found",
        message: format!(
            "{} {} is not known here; try GET /v1/state or GET /v1/ready",
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
