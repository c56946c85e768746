//! Driver task of one generation, from claim to end.
//!
//! It passes events of the caller, the engines and the witness to the state machines of the
//! `generation` and `journal` crates, and performs the actions that they return.

mod attempts;
mod journalling;

use std::collections::VecDeque;
use std::sync::Arc;

use base::prelude::*;
use cadence::prelude::*;
use generation::{Action, Event, Failure, Generation};
use journal::record::{FinishReason, Header, Segment};
use journal::replicator::Replicator;
use profiles::document::Profile;
use serde_json::json;
use tokio::sync::mpsc;

use crate::context::Router;
use crate::errors::{CallerError, Kind, Ran};
use crate::links::AppendAck;
use crate::output::Output;
use crate::stream::StreamUpdate;
use crate::takeover::Ownership;
use attempts::Attempts;

/// Number of tokens queued for a slow caller at which reading from the engines pauses.
const MAX_QUEUED: usize = 256;

/// Capacity of the channel from the engine connections to the driver.
const MAX_UPDATES: usize = 64;

/// Interval of appends to this host's own journal while there are no tokens, so that it is not
/// expired as idle.
const APPEND_INTERVAL: Millis = Millis(2_000);

/// Minimum interval between updates of the request's state for dumps.
const STATE_INTERVAL: Millis = Millis(100);

/// Part of the deadline reserved for the response to reach the caller.
const RETURN_MARGIN: Millis = Millis(50);

/// `Retry-After` of failures that a retry may cure, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Parameters of a generation.
#[derive(Clone, Debug)]
pub struct Job {
    /// Key of the request, prefixed with its workspace.
    pub key: RequestKey,
    /// Service that the request names.
    pub service: ServiceName,
    /// Model that generates the output.
    pub model: Model,
    /// Profile of the service, as of the arrival of the request.
    pub profile: Profile,
    /// Prompt of the request, without any output.
    pub prompt: Arc<str>,
    /// Maximum number of tokens in the output.
    pub max_tokens: u64,
    /// Time by which the caller must have the first token.
    pub deadline: Millis,
}

/// The state of one generation in flight.
struct Driver {
    router: Arc<Router>,
    job: Job,
    epoch: Epoch,
    header: Header,
    generation: Generation,
    replica: Replicator,
    attempts: Attempts,
    ack_sender: mpsc::UnboundedSender<AppendAck>,
    ack_receiver: mpsc::UnboundedReceiver<AppendAck>,
    /// Why the output ended, as reported by the engine or a sealed journal; `None` until then.
    end: Option<FinishReason>,
    /// Number of tokens in this host's own journal.
    local_length: Offset,
    /// When this host's own journal was last appended to.
    last_append: Millis,
    /// When the state for dumps was last updated.
    last_record: Option<Millis>,
    /// Whether an append to the witness that verifies the ownership is awaited.
    is_verifying: bool,
    /// Output that the writer has not accepted yet.
    queue: VecDeque<Output>,
    /// Number of tokens in the queue.
    queued: usize,
    /// Whether updates from the engines are received; paused while the caller is slow.
    is_reading: bool,
    is_disconnected: bool,
    /// Number of the request in the registry.
    number: u64,
}

/// Runs one generation to its end and sends its output to `output`.
pub async fn drive(
    router: Arc<Router>,
    job: Job,
    ownership: Ownership,
    output: mpsc::Sender<Output>,
) {
    let number = router.registry.insert(&job.key);
    let (sender, mut updates) = mpsc::channel(MAX_UPDATES);
    let mut driver = Driver::new(router, job, ownership, sender, number);
    driver.run(&mut updates, &output).await;
    driver.router.registry.remove(number);
}

impl Driver {
    fn new(
        router: Arc<Router>,
        job: Job,
        ownership: Ownership,
        updates: mpsc::Sender<StreamUpdate>,
        number: u64,
    ) -> Self {
        let now = router.timer.now();
        let policy = job.profile.resume;
        let generation = if ownership.tokens.is_empty() {
            Generation::new(now, policy)
        } else {
            let is_complete = ownership.finish.is_some();
            Generation::takeover(
                now,
                policy,
                ownership.tokens,
                is_complete,
                ownership.delivered,
            )
        };
        let witnesses = router.witnesses(&job.key);
        let replica = Replicator::new(now, job.profile.witness, witnesses);
        let (ack_sender, ack_receiver) = mpsc::unbounded_channel();
        let mut queue = VecDeque::new();
        if ownership.is_restart {
            queue.push_back(Output::Restart(ownership.header.generation()));
        }
        Self {
            router,
            job,
            epoch: ownership.epoch,
            header: ownership.header,
            generation,
            replica,
            attempts: Attempts::new(updates),
            ack_sender,
            ack_receiver,
            end: ownership.finish,
            local_length: Offset(0),
            last_append: now,
            last_record: None,
            is_verifying: false,
            queue,
            queued: 0,
            is_reading: true,
            is_disconnected: false,
            number,
        }
    }

    async fn run(
        &mut self,
        updates: &mut mpsc::Receiver<StreamUpdate>,
        output: &mpsc::Sender<Output>,
    ) {
        self.begin();
        loop {
            self.record_state();
            if self.generation.is_over() && (self.queue.is_empty() || self.is_disconnected) {
                break;
            }
            let now = self.router.timer.now();
            let wake = self
                .generation
                .wake_at(now)
                .min(self.replica.wake_at(now))
                .min(self.last_append + APPEND_INTERVAL)
                .min(self.first_deadline());
            let is_over = self.generation.is_over();
            tokio::select! {
                biased;
                Some(ack) = self.ack_receiver.recv() => self.on_ack(ack),
                permit = output.reserve(), if !self.queue.is_empty() && !self.is_disconnected => {
                    match permit {
                        Ok(permit) => self.write(permit),
                        Err(_) => self.on_disconnect(),
                    }
                }
                () = output.closed(), if !self.is_disconnected => self.on_disconnect(),
                Some(update) = updates.recv(), if self.is_reading && !is_over =>
                    self.on_update(update),
                () = self.router.timer.at(wake), if !is_over => self.tick(),
            }
        }
        self.finish();
    }

    /// Writes the initial journal, and opens the first stream or reattaches to that of a previous
    /// owner.
    fn begin(&mut self) {
        let now = self.router.timer.now();
        let mut actions = Vec::new();
        let has_stream = self.header.stream.is_some();
        if let Some(stream) = &self.header.stream {
            self.attempts.adopt(&self.router, stream);
        }
        self.generation.start(now, has_stream, &mut actions);
        self.perform(actions);
        self.dispatch(Event::Tick);
    }

    /// Passes an event to the state machine of the generation and performs the resulting actions.
    fn dispatch(&mut self, event: Event) {
        let mut actions = Vec::new();
        let now = self.router.timer.now();
        self.generation.on_event(now, event, &mut actions);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.perform_one(action);
        }
    }

    fn perform_one(&mut self, action: Action) {
        match action {
            Action::Open { attempt, avoid, .. } => self.open(attempt, &avoid),
            Action::Reattach { attempt, from } => self.reattach(attempt, from),
            Action::Cancel(attempt) => self.attempts.cancel(attempt),
            Action::Detach(attempt) => self.attempts.detach(attempt),
            Action::SetCurrent(attempt) => self.make_current(attempt),
            Action::Journal { length, finished } => self.journal(length, finished),
            Action::Verify => self.verify(),
            Action::Deliver { from, to } => self.deliver(from, to),
            Action::KeepAlive => self.push(Output::KeepAlive),
            Action::Recovered {
                silence_ms,
                same_stream,
            } => self.on_recovered(silence_ms, same_stream),
            Action::Restart => self.restart(),
            Action::Finish => self.push_done(),
            Action::Fail(failure) => self.fail(failure),
        }
    }

    fn on_update(&mut self, update: StreamUpdate) {
        if !self.attempts.is_current(update.attempt, update.connection) {
            return;
        }
        self.attempts.observe(self.router.timer.now(), &update);
        if let Some(incarnation) = update.incarnation {
            self.attempts.set_incarnation(update.attempt, incarnation);
        }
        if update.end.is_some() && self.end.is_none() {
            self.end = update.end;
        }
        self.dispatch(update.event);
    }

    fn tick(&mut self) {
        let now = self.router.timer.now();
        if now.since(self.last_append) >= APPEND_INTERVAL {
            self.append_local();
            let mut actions = Vec::new();
            let witnesses = self.router.witnesses(&self.job.key);
            self.replica.set_candidates(now, witnesses, &mut actions);
            self.perform_replica(actions);
        }
        let mut actions = Vec::new();
        self.replica.tick(now, &mut actions);
        self.perform_replica(actions);
        if now >= self.first_deadline() {
            self.dispatch(Event::DeadlineExpired);
        }
        self.dispatch(Event::Tick);
    }

    /// When the generation fails for lack of a first token; [`Millis::MAX`] once there is one.
    fn first_deadline(&self) -> Millis {
        if self.generation.tokens().is_empty() {
            self.job.deadline - RETURN_MARGIN
        } else {
            Millis::MAX
        }
    }

    fn on_disconnect(&mut self) {
        self.is_disconnected = true;
        self.queue.clear();
        self.queued = 0;
        self.dispatch(Event::CallerDisconnected);
        self.set_reading();
    }

    /// Starts a new generation under a higher epoch, so that the old journal is not continued.
    fn restart(&mut self) {
        let now = self.router.timer.now();
        self.epoch = self.epoch.next_for(self.router.incarnation);
        let segment = Segment {
            generation: GenerationId(rand::random()),
            start: Offset(0),
        };
        self.header.lineage = vec![segment];
        self.header.stream = None;
        self.local_length = Offset(0);
        self.end = None;
        let witnesses = self.router.witnesses(&self.job.key);
        self.replica = Replicator::new(now, self.job.profile.witness, witnesses);
        (self.ack_sender, self.ack_receiver) = mpsc::unbounded_channel();
        self.push(Output::Restart(segment.generation));
    }

    fn on_recovered(&mut self, silence_ms: u64, same_stream: bool) {
        let how = if same_stream { "reconnect" } else { "resume" };
        let _ = self.router.metrics.count(&format!("recovered.{how}"), 1);
        let _ = self.router.metrics.time("silence_ms", silence_ms);
        log::info!(
            "output continues after an interruption key={} host={} generation={} how={how} silence_ms={silence_ms}",
            self.job.key,
            self.router.settings.host,
            self.header.generation()
        );
    }

    fn deliver(&mut self, from: Offset, to: Offset) {
        let range = from.0 as usize..to.0 as usize;
        let tokens = self.generation.tokens()[range].to_vec();
        self.queued += tokens.len();
        self.push(Output::Tokens {
            generation: self.header.generation(),
            from,
            tokens,
        });
        self.set_reading();
    }

    fn push_done(&mut self) {
        self.push(Output::Done {
            generation: self.header.generation(),
            length: self.generation.next_offset(),
            end: self.end.unwrap_or(FinishReason::Stop),
        });
    }

    fn fail(&mut self, failure: Failure) {
        log::warn!(
            "request failed before its output was complete key={} host={} cause=\"{failure}\"",
            self.job.key,
            self.router.settings.host
        );
        let kind = match failure {
            Failure::Superseded => Kind::Superseded,
            Failure::Late => Kind::Overloaded,
            Failure::Invalid => Kind::Malformed,
            Failure::Stalled | Failure::Attempts | Failure::ModelGone | Failure::Abandoned => {
                Kind::Lost
            }
        };
        let is_retryable = matches!(
            failure,
            Failure::Stalled | Failure::Attempts | Failure::Late
        );
        self.push(Output::Failed(CallerError {
            kind,
            message: failure.to_string(),
            ran: self.ran(),
            retry_after: is_retryable.then_some(RETRY_AFTER_S),
        }));
    }

    /// Whether the request was executed, as far as the driver can tell.
    fn ran(&self) -> Ran {
        if !self.generation.tokens().is_empty() {
            Ran::Ran
        } else if self.attempts.is_unsent() {
            Ran::NotRun
        } else {
            Ran::Unknown
        }
    }

    fn push(&mut self, output: Output) {
        if !self.is_disconnected {
            self.queue.push_back(output);
        }
    }

    /// Sends the next queued output to the writer.
    fn write(&mut self, permit: mpsc::Permit<'_, Output>) {
        let Some(output) = self.queue.pop_front() else {
            return;
        };
        if let Output::Tokens { tokens, .. } = &output {
            self.queued -= tokens.len();
        }
        permit.send(output);
        self.set_reading();
    }

    /// Pauses or continues reading from the engines, depending on the queued tokens.
    fn set_reading(&mut self) {
        let is_reading = self.queued < MAX_QUEUED;
        if is_reading != self.is_reading {
            self.is_reading = is_reading;
            self.dispatch(Event::Reading(is_reading));
        }
    }

    /// Updates the state for dumps, at most once per [`STATE_INTERVAL`] to save the work per token.
    fn record_state(&mut self) {
        let now = self.router.timer.now();
        if self
            .last_record
            .is_some_and(|t| now.since(t) < STATE_INTERVAL)
        {
            return;
        }
        self.last_record = Some(now);
        self.router.registry.update(self.number, || {
            json!({
                "service": self.job.service,
                "model": self.job.model,
                "epoch": self.epoch,
                "generation": self.header.generation(),
                "length": self.generation.next_offset(),
                "delivered": self.generation.delivered(),
                "machine": self.generation,
                "witness": self.replica,
                "attempts": self.attempts.dump(),
            })
        });
    }

    /// Ends all connections, and closes the journal if the caller has received the complete output.
    fn finish(&mut self) {
        self.attempts.detach_all();
        if self.generation.is_complete() && !self.is_disconnected {
            self.close_journal();
        }
    }
}
