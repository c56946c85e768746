//! The engine stand-in: continuous batching, a prefix cache of limited size, streams that can be
//! resumed and cancelled, load reports, cache events and orders.

mod batch;
mod cache;
mod http;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use batch::Batch;

/// The settings of an engine stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The models that it holds at the start.
    pub models: Vec<Model>,
    /// The time from the start of a stream to its first token without prefill, in milliseconds.
    pub first_ms: u64,
    /// The time that one uncached token of prompt or prefix adds to it, in microseconds.
    pub prefill_us: u64,
    /// The time between tokens, in milliseconds.
    pub gap_ms: u64,
    /// The greatest random addition to the time between tokens, in milliseconds.
    pub jitter_ms: u64,
    /// The most streams generated at once.
    pub slots: usize,
    /// The most streams that wait.
    pub queue: usize,
    /// The most blocks of prompt in the cache.
    pub cache_blocks: usize,
    /// By how much cache events come late, in milliseconds.
    pub event_lag_ms: u64,
    /// One cache event in this many is lost; 0 for none.
    pub event_loss: u64,
    /// By how much load reports lag, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether orders with a lower fencing number than seen before are refused.
    pub checks_fence: bool,
    /// How long loading a model takes, in milliseconds.
    pub load_ms: u64,
    /// How long a stream without a reader is kept, in milliseconds.
    pub linger_ms: u64,
    /// The seed of all random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            models: vec![Model {
                name: "draft".to_owned(),
                version: "1".to_owned(),
                adapter: None,
            }],
            first_ms: 20,
            prefill_us: 50,
            gap_ms: 10,
            jitter_ms: 0,
            slots: 32,
            queue: 256,
            cache_blocks: 4_096,
            event_lag_ms: 200,
            event_loss: 50,
            load_lag_ms: 200,
            checks_fence: true,
            load_ms: 500,
            linger_ms: 30_000,
            seed: 1,
        }
    }
}

/// What an engine has done; `GET /stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Tokens of prompt and prefix that were computed.
    pub prefill: u64,
    /// The part of them for streams that are not the first attempt of their generation.
    pub again: u64,
    /// Tokens of prompt and prefix that were found in the cache.
    pub cached: u64,
    /// Tokens given.
    pub decode: u64,
    /// Streams started.
    pub streams: u64,
    /// Streams ended before their last token.
    pub cancelled: u64,
    /// Orders refused for their fencing number.
    pub fenced: u64,
    /// Streams running or waiting.
    pub live: u64,
}

/// Runs an engine on `listener` until `stop` is cancelled.
pub async fn run(listener: TcpListener, settings: Settings, stop: CancellationToken) {
    let batch = Arc::new(Batch::new(settings));
    let stepping = tokio::spawn(batch::run(batch.clone()));
    let handler = move |request| http::handle(batch.clone(), request);
    web::server::serve(listener, stop, handler).await;
    stepping.abort();
}
