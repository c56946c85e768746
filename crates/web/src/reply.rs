//! Responses in JSON, bytes and server-sent events, and reading of request bodies.

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::{Body, BodySender, Response};

/// Chunks that a streamed body buffers before its writer has to wait.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Error of reading a request body.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[error("the body is larger than {limit} bytes; send a shorter one")]
    TooLarge {
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The body ended before it was complete, or its connection failed.
    #[error("the body ended early; send the request again")]
    Broken,
    /// The body is not JSON of the expected type.
    #[error("the body cannot be decoded: {cause}; correct it and send it again")]
    Malformed {
        /// Cause and position given by the JSON library.
        cause: String,
    },
}

/// Builds a response with `value` as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = hyper::Response::new(full(bytes));
    *response.status_mut() = status;
    let kind = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    response
}

/// Builds a response of server-sent events, and the sender of its chunks.
pub fn events() -> (BodySender, Response) {
    let (sender, body) = Channel::new(MAX_QUEUED_CHUNKS);
    let mut response = hyper::Response::new(Either::Right(body));
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    (sender, response)
}

/// Builds a complete, non-streamed body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Either::Left(Full::new(bytes.into()))
}

/// Reads a request body of at most `limit` bytes.
///
/// # Errors
///
/// `TooLarge` or `Broken`.
pub async fn read_bytes(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let collected = Limited::new(body, limit).collect().await;
    match collected {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(cause) if cause.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge { limit })
        }
        Err(_) => Err(BodyError::Broken),
    }
}

/// Reads a JSON request body of at most `limit` bytes.
///
/// # Errors
///
/// Any [`BodyError`].
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    limit: usize,
) -> Result<T, BodyError> {
    let bytes = read_bytes(request.into_body(), limit).await?;
    serde_json::from_slice(&bytes).map_err(|e| BodyError::Malformed {
        cause: e.to_string(),
    })
}
