//! Responses and request bodies in JSON.

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::{Body, BodySender, Response};

/// How many written pieces a streamed body holds before its writer waits.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Why a request body cannot be used.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[error("the body is larger than {limit} bytes; send a shorter one")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body ended early.
    #[error("the body ended early; send the request again")]
    Broken,
    /// The body is not JSON of the expected shape.
    #[error("the body is not as expected: {cause}; correct it and send it again")]
    Malformed {
        /// The cause and its place, given by the JSON library.
        cause: String,
    },
}

/// A response with `value` as JSON.
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

/// A response of server-sent events, and the end through which they are written.
pub fn events() -> (BodySender, Response) {
    let (sender, body) = Channel::new(MAX_QUEUED_CHUNKS);
    let mut response = hyper::Response::new(Either::Right(body));
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    (sender, response)
}

/// A body that is sent whole.
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

/// Reads a request body of JSON.
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
