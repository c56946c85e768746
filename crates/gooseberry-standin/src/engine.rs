//! The model engine stand-in: continuous batching, a prefix cache with LRU eviction, streams that
//! can be resumed and cancelled, load reports, cache events and orders
//! (which models to load and which role to take).

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
    /// The address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// The models loaded at the start.
    pub models: Vec<Model>,
    /// The time from admission of a stream to its first token, prefill excluded, in milliseconds.
    pub first_ms: u64,
    /// The prefill time of one uncached token of prompt or prefix, in microseconds.
    pub prefill_us: u64,
    /// The time between tokens, in milliseconds.
    pub gap_ms: u64,
    /// The upper bound of the random addition to the time between tokens, in milliseconds.
    pub jitter_ms: u64,
    /// The maximum number of streams running at once.
    pub slots: usize,
    /// The maximum number of queued streams; more are refused as busy.
    pub queue: usize,
    /// The capacity of the prefix cache, in blocks of the prompt.
    pub cache_blocks: usize,
    /// The delay until a cache event is visible to readers, in milliseconds.
    pub event_lag_ms: u64,
    /// One cache event in this many is dropped; 0 for none.
    pub event_loss: u64,
    /// The delay until a load report is visible to readers, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether to refuse orders whose fencing number is lower than the highest one accepted.
    pub checks_fence: bool,
    /// The time that loading a model takes, in milliseconds.
    pub load_ms: u64,
    /// The time for which a stream without a reader is kept, in milliseconds.
    pub linger_ms: u64,
    /// The seed of the random additions to the time between tokens.
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

/// Counters of an engine since its start, returned by `GET /stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Tokens of prompt and prefix that were computed.
    pub prefill: u64,
    /// The part of `prefill` for streams that are not the first attempt of their generation.
    pub again: u64,
    /// Tokens of prompt and prefix that were found in the cache.
    pub cached: u64,
    /// Tokens generated.
    pub decode: u64,
    /// Streams started.
    pub streams: u64,
    /// Streams removed before their last token, by a request or for lack of a reader.
    pub cancelled: u64,
    /// Orders refused because their fencing number was too low.
    pub fenced: u64,
    /// Streams running or queued now.
    pub live: u64,
}

/// Runs an engine on `listener` until `stop` is cancelled; ignores the address in `settings`.
pub async fn run(listener: TcpListener, settings: Settings, stop: CancellationToken) {
    let batch = Arc::new(Batch::new(settings));
    let stepping = tokio::spawn(batch::run(batch.clone()));
    let handler = move |request| http::handle(batch.clone(), request);
    web::server::serve(listener, stop, handler).await;
    stepping.abort();
}
