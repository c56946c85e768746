//! Splits a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Bytes that may be buffered without the end of an event; more are not a stream of events.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Value of its `id` field; `None` if it has none.
    pub id: Option<u64>,
    /// All bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
}

/// Why bytes are not a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// More than the limit was buffered without the end of an event.
    #[error("no end of a server-sent event within {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The `id` field of an event is not an unsigned 64-bit integer.
    #[error("id of a server-sent event is not an unsigned 64-bit integer")]
    BadId,
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
        let id = parse_id(&bytes)?;
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

/// Parses the `id` field of an event; `None` if it has none.
fn parse_id(bytes: &[u8]) -> Result<Option<u64>, SplitError> {
    let Some(line) = bytes
        .split(|b| *b == b'\n')
        .find_map(|l| l.strip_prefix(b"id:"))
    else {
        return Ok(None);
    };
    let text = str::from_utf8(line).map_err(|_| SplitError::BadId)?;
    text.trim().parse().map(Some).map_err(|_| SplitError::BadId)
}
