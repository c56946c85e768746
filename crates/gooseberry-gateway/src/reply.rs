//! Responses that the gateway itself generates, and the type of all response bodies.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use platform::response;
use serde::Serialize;
use thiserror::Error;

/// A response body: buffered, or a stream of events.
pub type Body = UnsyncBoxBody<Bytes, StreamCut>;

/// Ends a stream's body early, so that the caller sees a broken connection and not a complete stream.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream could not be resumed; retry with the id of the last event received")]
pub struct StreamCut;

/// JSON body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    kind: &'a str,
    message: &'a str,
    /// Whether the request ran: `not_run` or `unknown`.
    ran: &'a str,
}

/// A body whose bytes are all known.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A rejection by the configuration or because of an invalid request; the request has not run.
pub fn denied(status: StatusCode, kind: &str, message: &str) -> Response<Body> {
    error(status, kind, message, "not_run")
}

/// A refusal: the request has not run and will not run; the caller may retry it after `retry_ms`.
pub fn refused(kind: &str, message: &str, retry_ms: u64) -> Response<Body> {
    let mut response = error(StatusCode::SERVICE_UNAVAILABLE, kind, message, "not_run");
    let seconds = format!("{}.{:03}", retry_ms / 1_000, retry_ms % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// A failure after which it is unknown whether the request has run.
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
    response::set_origin(response.headers_mut());
    response
}
