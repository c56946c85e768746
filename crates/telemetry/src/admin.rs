//! The operators' entry of a daemon: its state and its readiness.

use base::prelude::*;
use hyper::body::Incoming;
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
