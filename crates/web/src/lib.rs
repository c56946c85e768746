//! HTTP over `hyper`: a server loop, a client that sends each request at most once, and JSON.
//!
//! The crate makes no routing decisions.

pub mod client;
pub mod limited;
pub mod reply;
pub mod server;

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use thiserror::Error;

/// Response body, either complete or streamed in chunks.
pub type Body = Either<Full<Bytes>, Channel<Bytes, StreamCut>>;

/// HTTP response with a [`Body`].
pub type Response = hyper::Response<Body>;

/// Sender of the chunks of a streamed response body.
pub type BodySender = http_body_util::channel::Sender<Bytes, StreamCut>;

/// Error that aborts a streamed body, so that the peer does not take the body for complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("the server aborted the stream; retry the request with the same idempotency key")]
pub struct StreamCut;
