//! Connections from a generation to engines: each reads the frames of one stream and sends them to
//! the driver as updates.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use engine::client::{EngineError, Frames};
use engine::wire::{Finish, Frame, Generate, RefusalKind, StreamName};
use generation::{Event, OpenError, StreamError};
use journal::record::FinishReason;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Waits after failed attempts to cancel a stream on its engine.
const CANCEL_BACKOFF: [Duration; 5] = [
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(10),
    Duration::from_secs(20),
    Duration::from_secs(30),
];

/// Time limit of one attempt to cancel a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// An update from a connection to the driver.
#[derive(Clone, Debug)]
pub struct StreamUpdate {
    /// Attempt whose stream it concerns.
    pub attempt: Attempt,
    /// Number of the connection that sent it.
    pub connection: u64,
    /// Event for the state machine of the generation.
    pub event: Event,
    /// Incarnation of the engine; only with [`Event::Opened`].
    pub incarnation: Option<Incarnation>,
    /// Why the output ended; only with [`Event::Ended`].
    pub end: Option<FinishReason>,
}

/// One connection to an engine.
#[derive(Clone, Debug)]
pub struct Connection {
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Attempt whose stream it reads.
    pub attempt: Attempt,
    /// Number of the connection, unique within the generation.
    pub number: u64,
    /// Incarnation of the engine that runs the stream; `None` if it is not known yet.
    pub incarnation: Option<Incarnation>,
    /// Time limit for the engine to accept the request.
    pub timeout: Duration,
    /// Channel to the driver.
    pub updates: mpsc::Sender<StreamUpdate>,
    /// Cancelled by the driver to close the connection.
    pub stop: CancellationToken,
}

impl Connection {
    /// Starts a stream on the engine and reads it to its end.
    pub async fn generate(self, body: Generate) {
        let opening = engine::client::generate(self.addr, &body, self.timeout);
        let opened = tokio::select! {
            () = self.stop.cancelled() => return,
            opened = opening => opened,
        };
        self.read(opened).await;
    }

    /// Reads a stream that already exists on the engine, from offset `from` to its end.
    pub async fn resume(self, name: StreamName, from: Offset) {
        let opening = engine::client::resume(self.addr, &name, from, self.timeout);
        let opened = tokio::select! {
            () = self.stop.cancelled() => return,
            opened = opening => opened,
        };
        self.read(opened).await;
    }

    /// Reads the frames of a stream until it ends or fails, or the connection is closed.
    async fn read(self, opened: Result<Frames, EngineError>) {
        let mut frames = match opened {
            Ok(frames) => frames,
            Err(e) => {
                self.send(self.open_failed(&e)).await;
                return;
            }
        };
        loop {
            let frame = tokio::select! {
                () = self.stop.cancelled() => return,
                frame = frames.next() => frame,
            };
            let (update, is_last) = self.translate(frame);
            if !self.send(update).await || is_last {
                return;
            }
        }
    }

    /// The update for one frame, and whether it is the last.
    fn translate(&self, frame: Result<Option<Frame>, EngineError>) -> (StreamUpdate, bool) {
        let attempt = self.attempt;
        let broken = |cause| Event::Broken { attempt, cause };
        match frame {
            Ok(Some(Frame::Start {
                offset,
                incarnation,
                ..
            })) => {
                if self.incarnation.is_some_and(|i| i != incarnation) {
                    let cause = OpenError::NoStream;
                    return (self.update(Event::OpenFailed { attempt, cause }), true);
                }
                let mut update = self.update(Event::Opened { attempt, offset });
                update.incarnation = Some(incarnation);
                (update, false)
            }
            Ok(Some(Frame::Token { offset, token })) => {
                let event = Event::Token {
                    attempt,
                    offset,
                    token,
                };
                (self.update(event), false)
            }
            Ok(Some(Frame::End { length, finish })) => {
                let mut update = self.update(Event::Ended { attempt, length });
                update.end = Some(match finish {
                    Finish::Stop => FinishReason::Stop,
                    Finish::Length => FinishReason::Length,
                });
                (update, true)
            }
            Ok(None) => (self.update(broken(StreamError::Closed)), true),
            Err(EngineError::Stream { .. }) => (self.update(broken(StreamError::Closed)), true),
            Err(_) => (self.update(broken(StreamError::Garbled)), true),
        }
    }

    /// The update for a stream that could not be opened.
    fn open_failed(&self, error: &EngineError) -> StreamUpdate {
        let cause = match error {
            EngineError::Refused { kind, .. } => match kind {
                RefusalKind::Busy | RefusalKind::NotReady => OpenError::Busy,
                RefusalKind::NoModel => OpenError::ModelGone,
                RefusalKind::NoStream => OpenError::NoStream,
                RefusalKind::Invalid | RefusalKind::Fenced => OpenError::Invalid,
            },
            EngineError::Call(_) | EngineError::Stream { .. } => OpenError::Unreachable,
        };
        let attempt = self.attempt;
        self.update(Event::OpenFailed { attempt, cause })
    }

    fn update(&self, event: Event) -> StreamUpdate {
        StreamUpdate {
            attempt: self.attempt,
            connection: self.number,
            event,
            incarnation: None,
            end: None,
        }
    }

    /// Sends an update; `false` if the connection is closed or the driver has ended.
    async fn send(&self, update: StreamUpdate) -> bool {
        tokio::select! {
            () = self.stop.cancelled() => false,
            sent = self.updates.send(update) => sent.is_ok(),
        }
    }
}

/// Cancels a stream on its engine; retries with backoff while that fails, and logs a warning after
/// the last attempt.
pub async fn cancel(addr: SocketAddr, name: StreamName) {
    for wait in CANCEL_BACKOFF {
        let is_absent = match engine::client::cancel(addr, &name, CANCEL_TIMEOUT).await {
            Ok(()) => return,
            Err(EngineError::Refused { kind, .. }) => kind == RefusalKind::NoStream,
            Err(EngineError::Call(_) | EngineError::Stream { .. }) => false,
        };
        if is_absent {
            return;
        }
        sleep(wait).await;
    }
    log::warn!(
        "failed to cancel an engine stream; no retries left addr={addr} stream={}",
        name.0
    );
}
