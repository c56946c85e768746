//! Data exchanged between the owner of a request, its witness and a router that takes over.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What a takeover needs besides the tokens of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Digest of the request body, which tells a retry from another request under the same key.
    pub digest: u64,
    /// The generations that produced the tokens, each with the offset at which it begins.
    ///
    /// # Invariants
    ///
    /// Not empty once a generation has started; offsets never decrease.
    pub lineage: Vec<Segment>,
    /// Model, version and adapter that produce the tokens.
    pub model: Model,
    /// The engine stream last in use; `None` before an engine accepts one.
    pub stream: Option<StreamRef>,
}

impl Header {
    /// The generation of the next token: the last of the lineage.
    pub fn generation(&self) -> GenerationId {
        self.lineage
            .last()
            .map_or_else(GenerationId::default, |s| s.generation)
    }

    /// Whether a caller that received `offset` tokens, the last under `generation`, holds a prefix
    /// of the `length` tokens under this header.
    pub fn covers(&self, generation: GenerationId, offset: Offset, length: Offset) -> bool {
        let place = self.lineage.iter().position(|s| s.generation == generation);
        let Some(i) = place else { return false };
        let end = self.lineage.get(i + 1).map_or(length, |s| s.start);
        offset <= end
    }
}

/// A run of tokens that one generation produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The generation.
    pub generation: GenerationId,
    /// The offset of its first token; the segment ends where the next one begins.
    pub start: Offset,
}

/// An engine stream that a takeover may resume.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRef {
    /// The name of the stream on the engine.
    pub name: String,
    /// The backend server whose engine runs the stream.
    pub backend: BackendId,
    /// The address of the backend server.
    pub addr: SocketAddr,
    /// The incarnation of the engine; after a restart it does not know the stream.
    pub incarnation: Incarnation,
}

/// Request to append tokens to a journal; without tokens, a heartbeat of the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The request.
    pub key: RequestKey,
    /// The epoch of the owner that sends the append.
    pub epoch: Epoch,
    /// The header, if it changed since the last append to the same witness.
    pub header: Option<Header>,
    /// The offset of the first token.
    pub from: Offset,
    /// The tokens from that offset on.
    pub tokens: Vec<Token>,
    /// Why the output ends after these tokens; `None` while it is incomplete.
    pub finish: Option<FinishReason>,
}

/// Why an output ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// It reached the maximum number of tokens that the request allows.
    Length,
}

impl FinishReason {
    /// The `finish_reason` in responses to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}

/// Why a store refuses an append or a seal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// Another router has taken the request over under this epoch.
    #[error("the request is owned under epoch {0}; end this stream and leave the engine's alone")]
    Sealed(Epoch),
    /// The host has reached its limit of bytes or journals.
    #[error("the witness is full; choose another")]
    Full,
    /// The append starts after the end of the journal, which is at this offset.
    #[error("the journal ends at offset {0}; send from there")]
    Gap(Offset),
    /// The key belongs to a request with another body digest.
    #[error("the key was used for another request; choose a new key")]
    OtherRequest,
    /// The host is leaving: it accepts no new journals and no appends from other hosts.
    #[error("the witness is leaving; choose another")]
    Leaving,
}

/// Contents of a journal at the time it was sealed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The epoch of its last append.
    pub epoch: Epoch,
    /// The header last appended.
    pub header: Header,
    /// The tokens from offset 0.
    pub tokens: Vec<Token>,
    /// Why the output ended; `None` while it is incomplete.
    pub finish: Option<FinishReason>,
}
