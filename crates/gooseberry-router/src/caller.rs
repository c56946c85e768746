//! Parsing of requests from callers: body, key, and the position to resume from.

use base::prelude::*;
use hyper::HeaderMap;
use serde::Deserialize;

use crate::errors::{CallerError, Kind};

/// Request and response header with the key of a request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Request header with the id of the last event that the caller has received.
pub const LAST_EVENT_HEADER: &str = "last-event-id";

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Completion {
    /// Name of the service that runs the request.
    pub model: String,
    /// Prompt of the model; must not be empty.
    pub prompt: String,
    /// Maximum number of tokens in the output; the limit of the profile applies as well.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether the output is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// Default of [`Completion::max_tokens`].
fn default_max_tokens() -> u64 {
    1_024
}

/// Position in an output up to which a caller has received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Generation of the last event that it has received.
    pub generation: GenerationId,
    /// Offset of the next token to send.
    pub offset: Offset,
}

/// Reads the key from the headers; `None` if there is none.
///
/// # Errors
///
/// `Malformed` if it is empty, too long or not visible ASCII.
pub fn key(headers: &HeaderMap) -> Result<Option<String>, CallerError> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let is_plain = |text: &&str| {
        !text.is_empty()
            && text.len() <= MAX_KEY_BYTES
            && text.bytes().all(|b| b.is_ascii_graphic())
    };
    match value.to_str().ok().filter(is_plain) {
        Some(text) => Ok(Some(text.to_owned())),
        None => Err(CallerError::not_run(
            Kind::Malformed,
            format!("`{KEY_HEADER}` must be 1 to {MAX_KEY_BYTES} visible ASCII characters"),
        )),
    }
}

/// Reads the position from the headers; `None` if there is none.
///
/// # Errors
///
/// `Malformed` if it is not the id of an event, `<generation>:<offset>`.
pub fn position(headers: &HeaderMap) -> Result<Option<Position>, CallerError> {
    let Some(value) = headers.get(LAST_EVENT_HEADER) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(parse_event_id);
    match parsed {
        Some(position) => Ok(Some(position)),
        None => Err(CallerError::not_run(
            Kind::Malformed,
            format!("`{LAST_EVENT_HEADER}` must be the `id` of an event, as 00000000000000a1:7"),
        )),
    }
}

/// Parses `<generation>:<offset>`.
fn parse_event_id(text: &str) -> Option<Position> {
    let (generation, offset) = text.split_once(':')?;
    Some(Position {
        generation: generation.parse().ok()?,
        offset: Offset(offset.parse().ok()?),
    })
}
