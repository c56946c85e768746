//! The connections of one generation to engines.

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

/// The waits between tries to end a stream on its engine.
const CANCEL_BACKOFF: [Duration; 5] = [
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(10),
    Duration::from_secs(20),
    Duration::from_secs(30),
];

/// The time limit of one try to end a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// An update of a connection.
#[derive(Clone, Debug)]
pub struct StreamUpdate {
    /// The attempt.
    pub attempt: Attempt,
    /// Which of the attempt's connections it came over.
    pub connection: u64,
    /// What happened.
    pub event: Event,
    /// The life of the engine, with [`Event::Opened`].
    pub incarnation: Option<Incarnation>,
    /// Why the output ended, with [`Event::Ended`].
    pub end: Option<FinishReason>,
}

/// One connection to an engine.
#[derive(Clone, Debug)]
pub struct Connection {
    /// The engine.
    pub addr: SocketAddr,
    /// The attempt.
    pub attempt: Attempt,
    /// The number of the connection within the generation.
    pub number: u64,
    /// The life of the engine that is expected, if any.
    pub incarnation: Option<Incarnation>,
    /// The longest wait for the engine's acceptance.
    pub timeout: Duration,
    /// Where news goes.
    pub updates: mpsc::Sender<StreamUpdate>,
    /// Cancelled when the connection is no longer wanted.
    pub stop: CancellationToken,
}

impl Connection {
    /// Starts a stream and reads it.
    pub async fn generate(self, body: Generate) {
        let opening = engine::client::generate(self.addr, &body, self.timeout);
        let opened = tokio::select! {
            () = self.stop.cancelled() => return,
            opened = opening => opened,
        };
        self.read(opened).await;
    }

    /// Reads a stream that runs already.
    pub async fn resume(self, name: StreamName, from: Offset) {
        let opening = engine::client::resume(self.addr, &name, from, self.timeout);
        let opened = tokio::select! {
            () = self.stop.cancelled() => return,
            opened = opening => opened,
        };
        self.read(opened).await;
    }

    /// Reads a stream to its end.
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

    /// An update of one frame, and whether it is the last.
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

    /// An update of a stream that could not be opened.
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

    /// Sends news; returns whether anybody listens.
    async fn send(&self, update: StreamUpdate) -> bool {
        tokio::select! {
            () = self.stop.cancelled() => false,
            sent = self.updates.send(update) => sent.is_ok(),
        }
    }
}

/// Ends a stream on its engine, trying again for a while if the engine is away.
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
    log::warn!("engine stream not cancelled addr={addr} stream={}", name.0);
}
