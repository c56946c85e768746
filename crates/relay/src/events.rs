//! Splits a stream into whole server-sent events.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// The largest event in bytes; a server that sends more is not sending events.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event, with the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Bytes,
}

/// Why bytes are not a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// An event does not end.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The number of an event is not a number.
    #[error("the id of an event is not a number")]
    BadId,
}

/// Collects bytes until an event is whole.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// How far the bytes held have been searched for the end of an event.
    scanned: usize,
}

impl Splitter {
    /// Takes in bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether part of an event is held.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next whole event, if there is one.
    ///
    /// # Errors
    ///
    /// [`SplitError`] if the bytes are not events.
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

    /// The length of the first event with its empty line, if that has come.
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

/// The number in the `id` field of an event.
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
