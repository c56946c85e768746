//! Heads of the answers that pass through a tunnel.

use hyper::Response;
use hyper::http::response::Parts;

/// Maximum size of the head of an answer, interim ones before it included; a longer one is not read.
const MAX_BYTES: usize = 16 << 10;

/// Maximum number of headers in a head.
const MAX_HEADERS: usize = 100;

/// Reads the head of an answer from the bytes that a server sends, which are passed on unchanged.
#[derive(Clone, Debug, Default)]
pub struct HeadReader {
    bytes: Vec<u8>,
    /// Whether the head was complete, malformed or too long.
    is_done: bool,
}

impl HeadReader {
    /// Whether no more bytes are needed.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Adds bytes; returns the head once it is complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Parts> {
        if self.is_done {
            return None;
        }
        let room = MAX_BYTES - self.bytes.len();
        self.bytes
            .extend_from_slice(&bytes[..bytes.len().min(room)]);
        loop {
            let (length, head) = match parse(&self.bytes) {
                Ok(Some(parsed)) => parsed,
                Ok(None) => {
                    self.is_done = self.bytes.len() >= MAX_BYTES;
                    return None;
                }
                Err(Malformed) => {
                    self.is_done = true;
                    return None;
                }
            };
            if head.status.is_informational() {
                self.bytes.drain(..length);
                continue;
            }
            self.is_done = true;
            self.bytes = Vec::new();
            return Some(head);
        }
    }
}

/// The bytes are no head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Malformed;

/// The length of the first head in `bytes` and its content; `None` if it is not complete.
fn parse(bytes: &[u8]) -> Result<Option<(usize, Parts)>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(bytes).map_err(|_| Malformed)?;
    let httparse::Status::Complete(length) = parsed else {
        return Ok(None);
    };
    let mut builder = Response::builder().status(response.code.unwrap_or_default());
    for header in response.headers.iter() {
        builder = builder.header(header.name, header.value);
    }
    let (parts, ()) = builder.body(()).map_err(|_| Malformed)?.into_parts();
    Ok(Some((length, parts)))
}
