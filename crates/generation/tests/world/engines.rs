//! Simulated engines: each token is a function of the previous one, so that a mix of generations
//! shows.

use base::hash::stable;
use base::prelude::*;
use generation::{Event, OpenError, StreamError};

use super::LENGTH;

/// One engine stream.
#[derive(Debug)]
struct Stream {
    prefix: u64,
    /// All tokens, including the prefix.
    tokens: Vec<Token>,
    is_alive: bool,
}

/// One connection of an owner to a stream.
#[derive(Debug)]
struct Connection {
    owner: u64,
    attempt: Attempt,
    stream: usize,
    next: Option<u64>,
    is_opened: bool,
    is_silent: bool,
    is_closed: bool,
}

/// The streams of all engines and the connections to them.
#[derive(Debug, Default)]
pub(crate) struct Engines {
    streams: Vec<Stream>,
    connections: Vec<Connection>,
}

/// The token that follows the token with id `previous`.
pub(crate) fn following(previous: u32) -> Token {
    let id = stable(&previous.to_le_bytes()) as u32;
    Token {
        id,
        text: String::new(),
    }
}

impl Engines {
    /// Starts a stream after `prefix`; without a prefix the first token is unique to the stream.
    pub(crate) fn open(&mut self, owner: u64, attempt: Attempt, prefix: &[Token]) -> usize {
        self.streams.push(Stream {
            prefix: prefix.len() as u64,
            tokens: prefix.to_vec(),
            is_alive: true,
        });
        let stream = self.streams.len() - 1;
        self.connect(owner, attempt, stream, prefix.len() as u64);
        stream
    }

    /// Connects an owner to a stream at offset `from` and closes its earlier connection of that
    /// attempt.
    pub(crate) fn connect(&mut self, owner: u64, attempt: Attempt, stream: usize, from: u64) {
        self.close(owner, attempt);
        self.connections.push(Connection {
            owner,
            attempt,
            stream,
            next: Some(from),
            is_opened: false,
            is_silent: false,
            is_closed: false,
        });
    }

    pub(crate) fn close(&mut self, owner: u64, attempt: Attempt) {
        for c in &mut self.connections {
            c.is_closed |= c.owner == owner && c.attempt == attempt;
        }
    }

    pub(crate) fn disconnect(&mut self, owners: &[u64]) {
        self.connections.retain(|c| !owners.contains(&c.owner));
    }

    pub(crate) fn cancel(&mut self, stream: usize) {
        self.streams[stream].is_alive = false;
    }

    /// Produces the next token of one of the running streams.
    pub(crate) fn generate(&mut self, n: usize) {
        let mut running: Vec<(usize, &mut Stream)> = self
            .streams
            .iter_mut()
            .enumerate()
            .filter(|(_, s)| s.is_alive && (s.tokens.len() as u64) < LENGTH)
            .collect();
        if running.is_empty() {
            return;
        }
        let count = running.len();
        let (i, stream) = &mut running[n % count];
        let token = match stream.tokens.last() {
            Some(last) => following(last.id),
            None => following(u32::try_from(*i).expect("streams are few") + 1_000_000),
        };
        stream.tokens.push(token);
    }

    pub(crate) fn kill(&mut self, n: usize) {
        if !self.streams.is_empty() {
            let i = n % self.streams.len();
            self.streams[i].is_alive = false;
        }
    }

    pub(crate) fn silence(&mut self, n: usize) {
        if !self.connections.is_empty() {
            let i = n % self.connections.len();
            self.connections[i].is_silent = true;
        }
    }

    /// The next event that an owner receives over one of its connections, closed ones included.
    pub(crate) fn next_event(&mut self, owner: u64, n: usize, held: Offset) -> Option<Event> {
        let mut own: Vec<&mut Connection> = self
            .connections
            .iter_mut()
            .filter(|c| c.owner == owner && !c.is_silent && c.next.is_some())
            .collect();
        if own.is_empty() {
            return None;
        }
        let count = own.len();
        let connection = &mut *own[n / 3 % count];
        let stream = &self.streams[connection.stream];
        let attempt = connection.attempt;
        let next = connection.next?;
        if connection.is_closed {
            // After the close only tokens that were in transit arrive, and only those that the
            // owner has received already.
            let token = stream.tokens.get(next as usize).cloned();
            connection.next = token.as_ref().map(|_| next + 1);
            let is_late = next < held.0;
            return token.filter(|_| is_late).map(|token| Event::Token {
                attempt,
                offset: Offset(next),
                token,
            });
        }
        if !stream.is_alive {
            connection.next = None;
            return Some(if connection.is_opened {
                Event::Broken {
                    attempt,
                    cause: StreamError::Closed,
                }
            } else {
                Event::OpenFailed {
                    attempt,
                    cause: OpenError::Unreachable,
                }
            });
        }
        if !connection.is_opened {
            connection.is_opened = true;
            if next < stream.prefix {
                connection.next = None;
                let cause = OpenError::NoStream;
                return Some(Event::OpenFailed { attempt, cause });
            }
            let offset = Offset(next);
            return Some(Event::Opened { attempt, offset });
        }
        if let Some(token) = stream.tokens.get(next as usize).cloned() {
            connection.next = Some(next + 1);
            return Some(Event::Token {
                attempt,
                offset: Offset(next),
                token,
            });
        }
        if next == LENGTH {
            connection.next = None;
            return Some(Event::Ended {
                attempt,
                length: LENGTH,
            });
        }
        None
    }
}
