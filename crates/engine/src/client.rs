//! A client of the engine interface.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::Serialize;
use sse_stream::SseStream;
use thiserror::Error;
use tokio::time::timeout;
use web::client::{self, CallError};

use crate::wire::{
    CacheEvents, Frame, Generate, Load, Order, OrderState, Refusal, RefusalKind, StreamName,
};

/// Why an engine gave no usable answer.
#[derive(Debug, Error)]
pub enum EngineError {
    /// The engine refused.
    #[error("the engine refused ({kind:?}): {message}")]
    Refused {
        /// The kind of refusal.
        kind: RefusalKind,
        /// What the engine says of it.
        message: String,
    },
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The stream broke or ended without its last frame.
    #[error("the engine's stream broke: {cause}; resume it from the next offset")]
    Stream {
        /// The cause.
        cause: String,
    },
}

/// The frames of one engine stream.
pub struct Frames {
    inner: SseStream<Incoming>,
}

impl Frames {
    /// The next frame, or `None` when the stream has ended.
    ///
    /// # Errors
    ///
    /// `Stream` if the connection breaks or a frame has another shape.
    pub async fn next(&mut self) -> Result<Option<Frame>, EngineError> {
        let broken = |cause: String| EngineError::Stream { cause };
        loop {
            let event = futures_util::StreamExt::next(&mut self.inner).await;
            let Some(event) = event else { return Ok(None) };
            let event = event.map_err(|e| broken(e.to_string()))?;
            let Some(data) = event.data else { continue };
            return serde_json::from_str(&data)
                .map(Some)
                .map_err(|e| broken(e.to_string()));
        }
    }
}

/// Starts a stream.
///
/// # Errors
///
/// Any [`EngineError`].
pub async fn generate(
    addr: SocketAddr,
    body: &Generate,
    limit: Duration,
) -> Result<Frames, EngineError> {
    let request = client::json_request(addr, Method::POST, "/v1/generate", body);
    open(addr, request, limit).await
}

/// Reads a live stream from `offset` over a new connection.
///
/// # Errors
///
/// Any [`EngineError`]; `NoStream` if the engine doesn't know the stream.
pub async fn resume(
    addr: SocketAddr,
    stream: &StreamName,
    offset: Offset,
    limit: Duration,
) -> Result<Frames, EngineError> {
    let path = format!("/v1/streams/{}?offset={offset}", stream.0);
    let request = client::json_request(addr, Method::GET, &path, &());
    open(addr, request, limit).await
}

/// Ends a stream and frees its place.
///
/// # Errors
///
/// Any [`EngineError`]; `NoStream` if the engine doesn't know the stream.
pub async fn cancel(
    addr: SocketAddr,
    stream: &StreamName,
    limit: Duration,
) -> Result<(), EngineError> {
    let path = format!("/v1/streams/{}", stream.0);
    call::<_, serde::de::IgnoredAny>(addr, Method::DELETE, &path, &(), limit).await?;
    Ok(())
}

/// Reads the load report.
///
/// # Errors
///
/// Any [`EngineError`].
pub async fn load(addr: SocketAddr, limit: Duration) -> Result<Load, EngineError> {
    call(addr, Method::GET, "/v1/load", &(), limit).await
}

/// Reads the cache events after number `after`.
///
/// # Errors
///
/// Any [`EngineError`].
pub async fn cache_events(
    addr: SocketAddr,
    after: u64,
    limit: Duration,
) -> Result<CacheEvents, EngineError> {
    let path = format!("/v1/cache/events?after={after}");
    call(addr, Method::GET, &path, &(), limit).await
}

/// Gives an order.
///
/// # Errors
///
/// Any [`EngineError`]; `Fenced` if a higher fencing number was seen.
pub async fn order(
    addr: SocketAddr,
    order: &Order,
    limit: Duration,
) -> Result<OrderState, EngineError> {
    call(addr, Method::POST, "/v1/orders", order, limit).await
}

/// Reads what orders have led to.
///
/// # Errors
///
/// Any [`EngineError`].
pub async fn order_state(addr: SocketAddr, limit: Duration) -> Result<OrderState, EngineError> {
    call(addr, Method::GET, "/v1/orders", &(), limit).await
}

/// Sends a request whose answer is a stream of frames.
async fn open(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Frames, EngineError> {
    let response = client::send(addr, request, limit).await?;
    if !response.status().is_success() {
        return Err(refused(addr, response, limit).await);
    }
    Ok(Frames {
        inner: SseStream::new(response.into_body()),
    })
}

/// Reads the refusal out of an answer other than success.
async fn refused(addr: SocketAddr, response: Response<Incoming>, limit: Duration) -> EngineError {
    let Ok(Ok(body)) = timeout(limit, response.into_body().collect()).await else {
        return EngineError::Call(CallError::Timeout { addr });
    };
    refusal(addr, &body.to_bytes())
}

/// Reads a refusal from a body.
fn refusal(addr: SocketAddr, body: &[u8]) -> EngineError {
    match serde_json::from_slice::<Refusal>(body) {
        Ok(r) => EngineError::Refused {
            kind: r.kind,
            message: r.message,
        },
        Err(e) => EngineError::Call(CallError::Decode {
            addr,
            cause: e.to_string(),
        }),
    }
}

/// Sends JSON and reads JSON, or the refusal.
async fn call<Q: Serialize, A: serde::de::DeserializeOwned>(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: &Q,
    limit: Duration,
) -> Result<A, EngineError> {
    let answer = client::call(addr, method, path, body, limit).await;
    answer.map_err(|e| match e {
        CallError::Status { addr, body, .. } => refusal(addr, body.as_bytes()),
        other => EngineError::Call(other),
    })
}
