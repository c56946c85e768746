//! The data that an owner and its witness exchange.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What a takeover must know of a generation besides its tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The digest of the request body, to tell a repeat from another request.
    pub digest: u64,
    /// The generations that make up the sequence, each with the offset at which it begins.
    ///
    /// # Invariants
    ///
    /// Not empty once a generation runs; offsets never fall.
    pub lineage: Vec<Segment>,
    /// The model, version and adapter that produced the tokens.
    pub model: Model,
    /// The engine stream last in use, if any.
    pub stream: Option<StreamRef>,
}

impl Header {
    /// The generation under which the next token is written.
    pub fn generation(&self) -> GenerationId {
        self.lineage
            .last()
            .map_or_else(GenerationId::default, |s| s.generation)
    }

    /// Whether a caller that holds `offset` tokens of `generation` holds a prefix of a sequence
    /// of `length` tokens under this header.
    pub fn covers(&self, generation: GenerationId, offset: Offset, length: Offset) -> bool {
        let place = self.lineage.iter().position(|s| s.generation == generation);
        let Some(i) = place else { return false };
        let end = self.lineage.get(i + 1).map_or(length, |s| s.start);
        offset <= end
    }
}

/// One generation of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The generation.
    pub generation: GenerationId,
    /// The offset of its first token.
    pub start: Offset,
}

/// An engine stream that a takeover may resume.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRef {
    /// The name of the stream on the engine.
    pub name: String,
    /// The backend server.
    pub backend: BackendId,
    /// Its address.
    pub addr: SocketAddr,
    /// The life of the engine that runs the stream.
    pub incarnation: Incarnation,
}

/// Tokens to add to a journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The request.
    pub key: RequestKey,
    /// The ownership under which the tokens are written.
    pub epoch: Epoch,
    /// The header, if it changed since the last append to the same witness.
    pub header: Option<Header>,
    /// The offset of the first token.
    pub from: Offset,
    /// The tokens.
    pub tokens: Vec<Token>,
    /// Whether the sequence is whole after these tokens.
    pub finish: Option<FinishReason>,
}

/// Why a sequence is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// It reached the most tokens asked for.
    Length,
}

impl FinishReason {
    /// The name used in answers to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}

/// Why a witness does not take tokens or a seal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// Another router has taken the request over.
    #[error("the request is owned under epoch {0}; end this stream and leave the engine's alone")]
    Sealed(Epoch),
    /// The witness holds as many bytes or journals as it may.
    #[error("the witness is full; choose another")]
    Full,
    /// Tokens are missing before these.
    #[error("the journal ends at offset {0}; send from there")]
    Gap(Offset),
    /// The key belongs to a request with another body.
    #[error("the key was used for another request; choose a new key")]
    OtherRequest,
    /// The host is leaving.
    #[error("the witness is leaving; choose another")]
    Leaving,
}

/// A journal as it stood when it was sealed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The ownership under which the last token was written.
    pub epoch: Epoch,
    /// The header.
    pub header: Header,
    /// The tokens from offset 0.
    pub tokens: Vec<Token>,
    /// Whether the sequence is whole.
    pub finish: Option<FinishReason>,
}
