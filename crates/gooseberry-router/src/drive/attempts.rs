//! Engine streams of one generation, one per attempt, and their connections.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use engine::wire::{Generate, StreamName, prompt_blocks};
use generation::{Event, OpenError};
use journal::record::StreamRef;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::Driver;
use crate::backends::{NoBackend, Placement, PlacementRequest, place};
use crate::context::Router;
use crate::stream::{Connection, StreamUpdate, cancel};

/// Weight of a profile's priority in the priority sent to the engine; below it, streams with more
/// output come first.
const PRIORITY_FACTOR: u32 = 1_000;

/// The engine stream of one attempt.
#[derive(Debug)]
struct EngineStream {
    attempt: Attempt,
    backend: BackendId,
    addr: SocketAddr,
    name: StreamName,
    incarnation: Option<Incarnation>,
    /// Number of the current connection; updates from earlier ones are ignored.
    connection: u64,
    stop: CancellationToken,
    is_over: bool,
    /// Counts the stream as in flight at its backend server; `None` once it is over, or if the
    /// server is not listed.
    placement: Option<Placement>,
}

/// All engine streams of a generation, including ended ones.
#[derive(Debug)]
pub(super) struct Attempts {
    streams: Vec<EngineStream>,
    connections: u64,
    updates: mpsc::Sender<StreamUpdate>,
}

impl Attempts {
    pub(super) fn new(updates: mpsc::Sender<StreamUpdate>) -> Self {
        Self {
            streams: Vec::new(),
            connections: 0,
            updates,
        }
    }

    /// Adds the stream of a previous owner as attempt 1, without a connection.
    pub(super) fn adopt(&mut self, router: &Router, stream: &StreamRef) {
        let snapshot = router.snapshot();
        let found = snapshot
            .backends
            .iter()
            .find(|b| b.view.backend == stream.backend);
        self.streams.push(EngineStream {
            attempt: Attempt(1),
            backend: stream.backend.clone(),
            // The address of a backend server may differ from the one that the previous owner used.
            addr: found.map_or(stream.addr, |b| b.view.addr),
            name: StreamName(stream.name.clone()),
            incarnation: Some(stream.incarnation),
            connection: 0,
            stop: CancellationToken::new(),
            is_over: false,
            placement: found.map(|b| Placement::new(b.clone(), router.timer.now(), false)),
        });
    }

    /// Whether `connection` is the current one of an attempt that is not over.
    pub(super) fn is_current(&self, attempt: Attempt, connection: u64) -> bool {
        let counts =
            |s: &EngineStream| s.attempt == attempt && s.connection == connection && !s.is_over;
        self.streams.iter().any(counts)
    }

    /// Updates the health of the backend server of an attempt from the outcome that an update
    /// reports.
    pub(super) fn observe(&mut self, now: Millis, update: &StreamUpdate) {
        let placement = self.find(update.attempt).and_then(|s| s.placement.as_mut());
        let Some(placement) = placement else {
            return;
        };
        match &update.event {
            Event::Opened { .. } => placement.backend.clear_suspicion(),
            Event::Token { .. } => placement.first_token(now),
            Event::OpenFailed { cause, .. } => match cause {
                OpenError::Unreachable => {
                    placement.backend.suspect(now);
                    placement.failed(now);
                }
                OpenError::Busy => placement.failed(now),
                OpenError::NoBackend
                | OpenError::ModelGone
                | OpenError::Invalid
                | OpenError::NoStream => {}
            },
            Event::Broken { .. } => placement.failed(now),
            _ => {}
        }
    }

    /// Sets the incarnation of the engine that runs an attempt.
    pub(super) fn set_incarnation(&mut self, attempt: Attempt, incarnation: Incarnation) {
        if let Some(stream) = self.find(attempt) {
            stream.incarnation = Some(incarnation);
        }
    }

    /// Marks the backend server of an attempt that stalled, broke or could not be opened as
    /// suspected: other requests avoid it until it accepts a stream again or the period ends.
    pub(super) fn suspect(&mut self, attempt: Attempt, now: Millis) {
        let placement = self.find(attempt).and_then(|s| s.placement.as_ref());
        if let Some(placement) = placement {
            placement.backend.suspect(now);
        }
    }

    /// Whether no engine has received a request for a stream.
    pub(super) fn is_unsent(&self) -> bool {
        self.streams.is_empty()
    }

    /// Ends an attempt and cancels its stream on the engine.
    pub(super) fn cancel(&mut self, attempt: Attempt) {
        let Some(stream) = self.find(attempt) else {
            return;
        };
        if stream.is_over {
            return;
        }
        stream.end();
        tokio::spawn(cancel(stream.addr, stream.name.clone()));
    }

    /// Ends an attempt without cancelling its stream on the engine, which another router may own.
    pub(super) fn detach(&mut self, attempt: Attempt) {
        if let Some(stream) = self.find(attempt) {
            stream.end();
        }
    }

    /// Ends all attempts without cancelling their streams on the engines.
    pub(super) fn detach_all(&mut self) {
        self.streams.iter_mut().for_each(EngineStream::end);
    }

    /// Reference with which a takeover resumes an attempt; `None` until the engine has accepted it.
    pub(super) fn stream_ref(&self, attempt: Attempt) -> Option<StreamRef> {
        let stream = self.streams.iter().find(|s| s.attempt == attempt)?;
        Some(StreamRef {
            name: stream.name.0.clone(),
            backend: stream.backend.clone(),
            addr: stream.addr,
            incarnation: stream.incarnation?,
        })
    }

    /// The backend servers of some attempts.
    fn backends(&self, attempts: &[Attempt]) -> Vec<BackendId> {
        let is_included = |s: &&EngineStream| attempts.contains(&s.attempt);
        let found = self.streams.iter().filter(is_included);
        found.map(|s| s.backend.clone()).collect()
    }

    pub(super) fn dump(&self) -> Vec<Value> {
        let to_json = |s: &EngineStream| {
            json!({
                "attempt": s.attempt,
                "backend": s.backend,
                "stream": s.name,
                "connection": s.connection,
                "is_over": s.is_over,
            })
        };
        self.streams.iter().map(to_json).collect()
    }

    /// Creates a new connection for an attempt and closes its previous one.
    fn connect(&mut self, attempt: Attempt, timeout: Duration) -> Option<(Connection, StreamName)> {
        self.connections += 1;
        let number = self.connections;
        let updates = self.updates.clone();
        let stream = self.find(attempt)?;
        stream.stop.cancel();
        stream.stop = CancellationToken::new();
        stream.connection = number;
        let connection = Connection {
            addr: stream.addr,
            attempt,
            number,
            incarnation: stream.incarnation,
            timeout,
            updates,
            stop: stream.stop.clone(),
        };
        Some((connection, stream.name.clone()))
    }

    fn find(&mut self, attempt: Attempt) -> Option<&mut EngineStream> {
        self.streams.iter_mut().find(|s| s.attempt == attempt)
    }
}

impl EngineStream {
    fn end(&mut self) {
        self.stop.cancel();
        self.is_over = true;
        self.placement = None;
    }
}

impl Driver {
    /// Chooses a backend server and starts a stream there.
    pub(super) fn open(&mut self, attempt: Attempt, avoid: &[Attempt]) {
        let avoid = self.attempts.backends(avoid);
        let is_resume = !self.generation.tokens().is_empty();
        let is_retry = attempt.0 > 1 && !is_resume;
        if is_retry && !self.router.admission.spend_retry(&self.job.profile.name) {
            let cause = OpenError::NoBackend;
            self.dispatch(Event::OpenFailed { attempt, cause });
            return;
        }
        let blocks = prompt_blocks(&self.job.prompt);
        let request = PlacementRequest {
            service: &self.job.service,
            profile: &self.job.profile,
            model: Some(&self.job.model),
            blocks: &blocks,
            avoid: &avoid,
            is_resume,
        };
        let placement = place(&self.router, &request);
        match placement {
            Ok(placement) => self.open_at(attempt, placement),
            Err(error) => {
                let cause = match error {
                    NoBackend::None => OpenError::NoBackend,
                    NoBackend::NoModel => OpenError::ModelGone,
                };
                self.dispatch(Event::OpenFailed { attempt, cause });
            }
        }
    }

    fn open_at(&mut self, attempt: Attempt, placement: Placement) {
        let generation = self.header.generation();
        let name = StreamName::new(generation, self.router.incarnation, attempt);
        let view = &placement.backend.view;
        log::debug!(
            "opening an engine stream key={} host={} attempt={attempt} backend={}",
            self.job.key,
            self.router.settings.host,
            view.backend
        );
        self.attempts.streams.push(EngineStream {
            attempt,
            backend: view.backend.clone(),
            addr: view.addr,
            name: name.clone(),
            incarnation: None,
            connection: 0,
            stop: CancellationToken::new(),
            is_over: false,
            placement: Some(placement),
        });
        let body = self.engine_request(name);
        let timeout = self.open_timeout();
        if let Some((connection, _)) = self.attempts.connect(attempt, timeout) {
            tokio::spawn(connection.generate(body));
        }
    }

    /// Resumes the stream of an attempt at offset `from` over a new connection.
    pub(super) fn reattach(&mut self, attempt: Attempt, from: Offset) {
        let now = self.router.timer.now();
        self.attempts.suspect(attempt, now);
        // A paused engine does not accept the connection; `confirm_ms` of the profile bounds the
        // wait.
        let timeout = Millis(self.job.profile.resume.confirm_ms).duration();
        if let Some((connection, name)) = self.attempts.connect(attempt, timeout) {
            tokio::spawn(connection.resume(name, from));
        }
    }

    fn open_timeout(&self) -> Duration {
        Millis(self.job.profile.resume.open_ms).duration()
    }

    /// Builds the request to the engine, which continues after the tokens generated so far.
    fn engine_request(&self, stream: StreamName) -> Generate {
        let tokens = self.generation.tokens();
        let done = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        let priority = self.job.profile.priority;
        Generate {
            stream,
            model: self.job.model.clone(),
            prompt: self.job.prompt.to_string(),
            prefix: tokens.iter().map(|t| t.id).collect(),
            max_tokens: self.job.max_tokens,
            priority: priority.saturating_mul(PRIORITY_FACTOR) + done.min(PRIORITY_FACTOR - 1),
            deadline_ms: tokens.is_empty().then(|| {
                let left = self.job.deadline.since(self.router.timer.now());
                left.0
            }),
        }
    }

    /// Writes the stream of an attempt to the header of the journal, so that a takeover can resume
    /// it.
    pub(super) fn make_current(&mut self, attempt: Attempt) {
        self.header.stream = self.attempts.stream_ref(attempt);
        self.write_header();
    }
}
