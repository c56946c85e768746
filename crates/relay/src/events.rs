//! Splits a byte stream into server-sent events and checks their form.
//!
//! Each event has one id. Its lines are fields of UTF-8 text: a lowercase name, a colon and a value. Lines that begin
//! with a colon are comments, which may stand within an event only.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Bytes that may be buffered without the end of an event; more are not a stream of events.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Value of its `id` field.
    pub id: u64,
    /// All bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
}

/// Why bytes are not a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// More than the limit was buffered without the end of an event.
    #[error("no end of a server-sent event within {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// An event has no `id` field, or several.
    #[error("server-sent event without exactly one id")]
    NoSingleId,
    /// The `id` field of an event is not an unsigned 64-bit integer.
    #[error("id of a server-sent event is not an unsigned 64-bit integer")]
    BadId,
    /// A line of an event is not a field or a comment.
    #[error("line of a server-sent event that is no field")]
    BadLine,
}

/// Buffers bytes of a stream until an event is complete.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the prefix of the buffer that contains no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Appends bytes of the stream to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether bytes are buffered; at the end of the stream, whether it was cut within an event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes the next complete event from the buffer; `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// [`SplitError`] if the bytes are not a stream of events.
    pub fn pop(&mut self) -> Result<Option<Event>, SplitError> {
        let Some(end) = self.event_end() else {
            self.scanned = self.buffer.len().saturating_sub(3);
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(SplitError::TooLarge);
            }
            return Ok(None);
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let lines = bytes.strip_suffix(b"\n").unwrap_or(&bytes);
        let id = parse_event(lines.strip_suffix(b"\r").unwrap_or(lines))?;
        Ok(Some(Event { id, bytes }))
    }

    /// Length of the first event with the empty line that ends it; `None` if that has not arrived.
    fn event_end(&self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut from = self.scanned;
        while let Some(at) = bytes[from..].iter().position(|b| *b == b'\n') {
            let next = from + at + 1;
            if bytes[next..].starts_with(b"\n") {
                return Some(next + 1);
            }
            if bytes[next..].starts_with(b"\r\n") {
                return Some(next + 2);
            }
            from = next;
        }
        None
    }
}

/// Checks the lines of an event, without the empty line that ends it; returns its id.
fn parse_event(bytes: &[u8]) -> Result<u64, SplitError> {
    let text = str::from_utf8(bytes).map_err(|_| SplitError::BadLine)?;
    let mut id = None;
    for line in text.lines() {
        let (name, value) = line.split_once(':').ok_or(SplitError::BadLine)?;
        if !is_field_name(name) || value.chars().any(|c| c.is_control() && c != '\t') {
            return Err(SplitError::BadLine);
        }
        if name == "id" {
            let number = value.trim().parse().map_err(|_| SplitError::BadId)?;
            if id.replace(number).is_some() {
                return Err(SplitError::NoSingleId);
            }
        }
    }
    id.ok_or(SplitError::NoSingleId)
}

/// Whether a field may have this name; comments have an empty one.
fn is_field_name(name: &str) -> bool {
    name.bytes().all(|b| b.is_ascii_lowercase() || b == b'-')
}
