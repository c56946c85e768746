//! JSON shapes of the engine interface.

pub use base::model::{Model, Role};
use base::prelude::*;
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/generate`; the answer is a stream of server-sent [`Frame`]s.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// The name of the stream, chosen by the caller of the engine and unique.
    pub stream: StreamName,
    /// The model wanted.
    pub model: Model,
    /// The prompt.
    pub prompt: String,
    /// Tokens already generated, which the output continues.
    pub prefix: Vec<u32>,
    /// The most tokens in the whole output, the prefix included.
    pub max_tokens: u64,
    /// Higher runs first.
    pub priority: u32,
    /// The milliseconds within which the first token is of use; later the engine may refuse.
    pub deadline_ms: Option<u64>,
}

/// The name of an engine stream: `<generation>-<owner>-<attempt>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamName(pub String);

impl StreamName {
    /// The name of the stream of one attempt.
    pub fn new(generation: GenerationId, owner: Incarnation, attempt: Attempt) -> Self {
        Self(format!("{generation}-{:x}-{attempt}", owner.0))
    }
}

/// One event of an engine stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Frame {
    /// The stream exists; its next token has this offset.
    Start {
        /// The offset of the first token that follows.
        offset: Offset,
        /// The life of the engine that runs the stream.
        incarnation: Incarnation,
        /// How many tokens of prompt and prefix were found in the cache.
        cached: u64,
        /// How many tokens of prompt and prefix were computed anew.
        prefill: u64,
    },
    /// One token.
    Token {
        /// The position of the token.
        offset: Offset,
        /// The token.
        token: Token,
    },
    /// The output is whole.
    End {
        /// The number of tokens in the whole output.
        length: u64,
        /// Why it ended.
        finish: Finish,
    },
}

/// Why an output is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended it.
    Stop,
    /// It reached the most tokens asked for.
    Length,
}

/// The kind of an engine's refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The engine has no room; another may.
    Busy,
    /// The engine is leaving or loading; another may serve.
    NotReady,
    /// The engine doesn't have the model, version or adapter.
    NoModel,
    /// The engine doesn't know the stream.
    NoStream,
    /// The order carries a fencing number lower than one seen before.
    Fenced,
    /// The request is malformed.
    Invalid,
}

/// The body of an answer other than success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind.
    pub kind: RefusalKind,
    /// What happened and what to do.
    pub message: String,
}

/// The answer to `GET /v1/load`; what it tells may be some time old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The life of the engine.
    pub incarnation: Incarnation,
    /// The streams being generated.
    pub running: u64,
    /// The streams waiting to start.
    pub queued: u64,
    /// The most streams generated at once.
    pub slots: u64,
    /// Whether the engine takes no new work.
    pub leaving: bool,
    /// The models in memory.
    pub models: Vec<Model>,
    /// The age of the report in milliseconds.
    pub age_ms: u64,
}

/// The answer to `GET /v1/cache/events?after=N`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The life of the engine.
    pub incarnation: Incarnation,
    /// The events, in order of their numbers; numbers may be missing.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event, counted from 1.
    pub seq: u64,
    /// The hash of a block of prompt and of all blocks before it.
    pub block: u64,
    /// Whether the block was stored, otherwise evicted.
    pub stored: bool,
}

/// The body of `POST /v1/orders`: the whole wanted state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the lease under which the order is given.
    pub fence: u64,
    /// The models to hold; others are unloaded.
    pub models: Vec<Model>,
    /// The role.
    pub role: Role,
}

/// The answer to `GET /v1/orders`, and to an order that was taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// The life of the engine.
    pub incarnation: Incarnation,
    /// The highest fencing number seen.
    pub fence: u64,
    /// The models in memory.
    pub models: Vec<Model>,
    /// The models being loaded.
    pub loading: Vec<Model>,
    /// The role.
    pub role: Role,
}

/// The number of prompt bytes in one block of the prefix cache.
pub const BLOCK_BYTES: usize = 64;

/// One block in this many is followed by those who choose an engine by its cache.
const SAMPLE_INTERVAL: u64 = 8;

/// Whether a block is followed by those who choose an engine by its cache.
///
/// A block's hash covers all blocks before it, so that a part of them tells enough.
pub fn is_sampled(block: u64) -> bool {
    block.is_multiple_of(SAMPLE_INTERVAL)
}

/// The chained hashes of the whole blocks of `prompt`, as cache events name them.
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
