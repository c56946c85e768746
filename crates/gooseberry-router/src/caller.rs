//! What a caller asks for and where it stands.

use base::prelude::*;
use hyper::HeaderMap;
use serde::Deserialize;

use crate::errors::{CallerError, Kind};

/// The header that names a request.
pub const KEY_HEADER: &str = "idempotency-key";

/// The header with which a caller says what it already has.
pub const LAST_EVENT_HEADER: &str = "last-event-id";

/// The longest key that a caller may choose, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Completion {
    /// The service to run it on.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The most tokens in the output.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether the output is sent as it comes.
    #[serde(default)]
    pub stream: bool,
}

/// The default of [`Completion::max_tokens`].
fn default_max_tokens() -> u64 {
    1_024
}

/// The place that a caller has reached in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The generation.
    pub generation: GenerationId,
    /// The offset of the next token.
    pub offset: Offset,
}

/// The key in the headers, if there is one.
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

/// The place named in the headers, if there is one.
///
/// # Errors
///
/// `Malformed` if it is not an event id of this system.
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

/// Reads `<generation>:<offset>`.
fn parse_event_id(text: &str) -> Option<Position> {
    let (generation, offset) = text.split_once(':')?;
    Some(Position {
        generation: generation.parse().ok()?,
        offset: Offset(offset.parse().ok()?),
    })
}
