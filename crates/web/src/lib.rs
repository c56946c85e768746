//! HTTP plumbing over `hyper` for both sides: a server loop, a client that never re-sends, and JSON.
//!
//! The crate knows nothing of routing decisions.

pub mod client;
pub mod reply;
pub mod server;

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use thiserror::Error;

/// A response body: whole, or written piece by piece.
pub type Body = Either<Full<Bytes>, Channel<Bytes, StreamCut>>;

/// A response with a body of this crate.
pub type Response = hyper::Response<Body>;

/// The server's end of a response body that is written piece by piece.
pub type BodySender = http_body_util::channel::Sender<Bytes, StreamCut>;

/// The reason for which a server ends a body early; the peer sees a broken connection.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream was cut by the server; repeat the request with its key")]
pub struct StreamCut;
