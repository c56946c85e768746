//! Answers of the gateway's own.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use thiserror::Error;

/// A response body: whole, or a stream of events.
pub type Body = UnsyncBoxBody<Bytes, StreamCut>;

/// Why a body ends before its end; the caller sees a broken connection.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream could not be continued; ask again with the last event's id")]
pub struct StreamCut;

/// The body of an error.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    kind: &'a str,
    message: &'a str,
    /// Whether the request ran: `not_run` or `unknown`.
    ran: &'a str,
}

/// A body that is sent whole.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer that the configuration or the caller's own mistake calls for.
pub fn denied(status: StatusCode, kind: &str, message: &str) -> Response<Body> {
    error(status, kind, message, "not_run")
}

/// A refusal: the request has not run and never will.
pub fn refused(kind: &str, message: &str, retry_ms: u64) -> Response<Body> {
    let mut response = error(StatusCode::SERVICE_UNAVAILABLE, kind, message, "not_run");
    let seconds = format!("{}.{:03}", retry_ms / 1_000, retry_ms % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// A failure after which it is not known whether the request has run.
pub fn outcome_unknown(status: StatusCode, kind: &str, message: &str) -> Response<Body> {
    error(status, kind, message, "unknown")
}

fn error(status: StatusCode, kind: &str, message: &str, ran: &str) -> Response<Body> {
    let body = ErrorBody { kind, message, ran };
    let text = serde_json::to_vec(&body).unwrap_or_else(|_| message.as_bytes().to_vec());
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
