//! HTTP client of the engine interface.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame as BodyFrame, Incoming};
use hyper::{Method, Request, Response};
use serde::Serialize;
use sse_stream::SseStream;
use thiserror::Error;
use tokio::time::timeout;
use web::client::{self, CallError};

use crate::wire::{
    CacheEvents, Frame, Generate, Load, Order, OrderState, Refusal, RefusalKind, StreamName,
};

/// Error of a call to an engine.
#[derive(Debug, Error)]
pub enum EngineError {
    /// The engine refused the request.
    #[error("the engine refused the request ({kind:?}): {message}")]
    Refused {
        /// Kind of refusal, on which a retry elsewhere depends.
        kind: RefusalKind,
        /// Explanation given by the engine.
        message: String,
    },
    /// The HTTP call failed, or its answer could not be decoded.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The connection of the stream failed, or a frame could not be decoded.
    #[error("engine stream failed: {cause}; resume it from the next offset")]
    Stream {
        /// Cause given by the HTTP or JSON library.
        cause: String,
    },
}

/// Bytes that an engine may send without the end of a frame.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// A body that fails when [`MAX_FRAME_BYTES`] have arrived since `left` was last set.
struct BoundedBody {
    inner: Incoming,
    left: Arc<AtomicUsize>,
}

/// Why a [`BoundedBody`] fails.
#[derive(Debug, Error)]
enum BodyError {
    /// The connection broke, or the body is malformed.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
    /// There was no end of a frame.
    #[error("no end of a frame within {MAX_FRAME_BYTES} bytes")]
    TooLarge,
}

impl Body for BoundedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<BodyFrame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.inner).poll_frame(cx);
        polled.map(|frame| {
            let frame = frame?.map_err(BodyError::Broken);
            let bytes = frame
                .as_ref()
                .map_or(0, |f| f.data_ref().map_or(0, Bytes::len));
            let left = this.left.load(Ordering::Relaxed);
            if bytes > left {
                return Some(Err(BodyError::TooLarge));
            }
            this.left.store(left - bytes, Ordering::Relaxed);
            Some(frame)
        })
    }
}

/// Frames of one engine stream, read from one connection.
pub struct Frames {
    inner: SseStream<BoundedBody>,
    /// Bytes that may arrive until the next frame.
    left: Arc<AtomicUsize>,
}

impl Frames {
    /// Reads the next frame; `None` when the body has ended, even without an `End` frame.
    ///
    /// # Errors
    ///
    /// `Stream` if the connection fails, or a frame cannot be decoded or is larger than 1 MiB.
    pub async fn next(&mut self) -> Result<Option<Frame>, EngineError> {
        let broken = |cause: String| EngineError::Stream { cause };
        self.left.store(MAX_FRAME_BYTES, Ordering::Relaxed);
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

/// Starts a stream; `limit` covers the time up to the head of the answer.
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

/// Reads an existing stream from `offset` over a new connection.
///
/// # Errors
///
/// Any [`EngineError`]; `NoStream` if the engine has no such stream.
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

/// Cancels a stream and frees its slot.
///
/// # Errors
///
/// Any [`EngineError`]; `NoStream` if the engine has no such stream.
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

/// Reads the cache events with sequence numbers above `after`.
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

/// Sets the desired state of an engine: its models and its role.
///
/// # Errors
///
/// Any [`EngineError`]; `Fenced` if the engine has received a higher fencing number.
pub async fn order(
    addr: SocketAddr,
    order: &Order,
    limit: Duration,
) -> Result<OrderState, EngineError> {
    call(addr, Method::POST, "/v1/orders", order, limit).await
}

/// Reads the models, role and highest fencing number of an engine.
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
    let left = Arc::new(AtomicUsize::new(MAX_FRAME_BYTES));
    let body = BoundedBody {
        inner: response.into_body(),
        left: Arc::clone(&left),
    };
    Ok(Frames {
        inner: SseStream::new(body),
        left,
    })
}

/// Reads the body of an unsuccessful response as a refusal.
async fn refused(addr: SocketAddr, response: Response<Incoming>, limit: Duration) -> EngineError {
    let Ok(Ok(body)) = timeout(limit, response.into_body().collect()).await else {
        return EngineError::Call(CallError::Timeout { addr });
    };
    refusal(addr, &body.to_bytes())
}

/// Decodes a refusal; a body of another shape becomes a decoding error.
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

/// Sends `body` as JSON and decodes the answer or the refusal.
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
