//! JSON types of the engine interface.

pub use base::model::{Model, Role};
use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/generate`; the response is a stream of [`Frame`]s as server-sent events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// Unique name of the stream, chosen by the client of the engine.
    pub stream: StreamName,
    /// Model that is to generate the output.
    pub model: Model,
    /// Prompt text.
    pub prompt: String,
    /// Ids of the tokens generated so far, which the output continues.
    pub prefix: Vec<u32>,
    /// Maximum length of the output in tokens, including `prefix`.
    pub max_tokens: u64,
    /// Streams with a higher value leave the engine's queue first.
    pub priority: u32,
    /// Milliseconds until the first token is due, after which the engine may refuse the request.
    pub deadline_ms: Option<u64>,
}

/// Name of an engine stream: `<generation>-<owner>-<attempt>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamName(pub String);

impl StreamName {
    /// Name of the stream of one attempt; `owner` is written in hexadecimal.
    pub fn new(generation: GenerationId, owner: Incarnation, attempt: Attempt) -> Self {
        Self(format!("{generation}-{:x}-{attempt}", owner.0))
    }
}

/// Event of an engine stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Frame {
    /// First event of each connection.
    Start {
        /// Offset of the first token that follows.
        offset: Offset,
        /// Incarnation of the engine that runs the stream.
        incarnation: Incarnation,
        /// Tokens of the prompt and the prefix that were found in the cache.
        cached: u64,
        /// Tokens of the prompt and the prefix that had to be computed.
        prefill: u64,
    },
    /// One token of the output.
    Token {
        /// Position of the token in the output, counted from 0.
        offset: Offset,
        /// Id and text of the token.
        token: Token,
    },
    /// The output is complete.
    End {
        /// Number of tokens in the complete output.
        length: u64,
        /// Reason for which the output ended.
        finish: Finish,
    },
}

/// Reason for which an output ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended the output.
    Stop,
    /// The output reached `max_tokens`.
    Length,
}

/// Kind of an engine's refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The engine has no free slot; another engine may have one.
    Busy,
    /// The engine is draining or loading a model; another engine may accept the request.
    NotReady,
    /// The engine has not loaded the model, its version or its adapter.
    NoModel,
    /// The engine has no stream of this name.
    NoStream,
    /// The engine has already received an order with a higher fencing number.
    Fenced,
    /// The request is malformed.
    Invalid,
}

/// Body of an unsuccessful response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Kind of refusal.
    pub kind: RefusalKind,
    /// Description of the failure and its remedy.
    pub message: String,
}

/// Response to `GET /v1/load`: the load of the engine `age_ms` ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Number of streams that generate tokens.
    pub running: u64,
    /// Number of streams that wait for a slot.
    pub queued: u64,
    /// Maximum number of streams that generate tokens at the same time.
    pub slots: u64,
    /// Whether the engine drains and refuses new streams.
    pub leaving: bool,
    /// Models in memory.
    pub models: Vec<Model>,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Response to `GET /v1/cache/events?after=N`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Events in ascending order of `seq`; some may be missing.
    pub events: Vec<CacheEvent>,
}

/// Change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, counted from 1.
    pub seq: u64,
    /// Hash of a block of the prompt and all blocks before it, see [`prompt_blocks`].
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Body of `POST /v1/orders`: the complete desired state of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which the order is sent.
    pub fence: u64,
    /// Models to keep in memory; the engine unloads all others.
    pub models: Vec<Model>,
    /// Phases of generation that the engine is to run.
    pub role: Role,
}

/// Response to `GET /v1/orders` and to an accepted order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Highest fencing number received.
    pub fence: u64,
    /// Models in memory.
    pub models: Vec<Model>,
    /// Models being loaded.
    pub loading: Vec<Model>,
    /// Phases of generation that the engine runs.
    pub role: Role,
}

/// Prompt bytes in one block of the prefix cache.
pub const BLOCK_BYTES: usize = 64;

/// One of this many blocks is tracked to choose an engine by its cached prefixes.
const SAMPLE_INTERVAL: u64 = 8;

/// Whether a block is tracked to choose an engine by its cached prefixes.
///
/// The hash of a block covers all blocks before it, so a sample is enough to estimate the length of
/// a cached prefix.
pub fn is_sampled(block: u64) -> bool {
    block.is_multiple_of(SAMPLE_INTERVAL)
}

/// Hashes of the full blocks of `prompt`, each chained to the one before, as in [`CacheEvent`]s.
pub fn prompt_blocks(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hash = base::hash::stable(block) ^ u64::rotate_left(hash, 7);
            hash
        })
        .collect()
}
