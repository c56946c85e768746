//! Streaming requests: forwards events to the caller, and resumes at another server when an attempt fails.
//!
//! Each attempt runs at one server. The next attempt resumes after the last event forwarded: from the KV cache
//! backup if there is a usable one, otherwise from the prompt. The caller gets each event once and in order.

use std::sync::Arc;

use balance::place::Load;
use base::prelude::*;
use bytes::Bytes;
use futures_util::stream;
use generation::policy::Policy;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use platform::response::{self, Head};
use relay::{
    Action, Event, EventAction, Outcome, Progress, SendHistory, SplitError, Splitter, Suspicion,
};
use routing::Kind;
use thiserror::Error;

use crate::backups::{self, Backup, BackupTask, KvDemand};
use crate::context::Context;
use crate::fleet::{Lease, PlacementRequest};
use crate::link::Link;
use crate::liveness;
use crate::metrics::Cause;
use crate::paths::{self, NoServer};
use crate::polling;
use crate::reply::{Body, StreamCut};
use crate::send::{self, FailureTexts, Job, OpenResponse, StreamOptions};

/// Error texts for a caller whose stream produced no event.
const FAILURE_TEXTS: FailureTexts = FailureTexts {
    not_run: "no backend server could take the stream; the request has not run, retry later",
    retry_ms: 500,
    timeout: "no event arrived within the time limit; send the request again",
    lost: "the backend server failed before the first event; send the request again",
};

/// Time without an event or other data from a server after which it is probed.
const PROBE_IDLE: Millis = Millis(300);

/// Time limit for the server of an idle stream to accept a connection.
const PROBE_TIMEOUT: Millis = Millis(150);

/// Lower and upper bound of the time without an event after which the attempt counts as failed although the
/// server is reachable.
const STALL_RANGE_MS: (u64, u64) = (1_000, 1_500);

/// An answer with this number of events from one server is past its beginning.
const PROVING_EVENTS: u64 = 2;

/// An attempt to run the stream at one server, from its first event on.
struct Attempt {
    body: Incoming,
    splitter: Splitter,
    link: Link,
    head: Head,
    lease: Lease,
    backup_task: Option<BackupTask>,
    /// Events that the server has sent.
    events: u64,
}

/// State of a stream over all its attempts.
struct StreamState {
    ctx: Arc<Context>,
    job: Arc<Job>,
    kv: KvDemand,
    history: SendHistory,
    avoid: Vec<BackendId>,
    progress: Progress,
    attempt: Option<Attempt>,
    /// First event of the current attempt until it is forwarded; it is read before the attempt counts as started.
    first_event: Option<Event>,
    /// KV cache backup of the last failed attempt, from which the next one resumes.
    backup: Option<Backup>,
    /// Whether the request is the cause of the ends of its servers.
    suspicion: Suspicion,
}

/// Why an attempt has no first event.
enum StartError {
    /// No server can be chosen for it.
    Unplaced(NoServer),
    /// It ended with this outcome.
    Ended(Outcome),
}

/// Reason why an attempt yields no more events.
enum AttemptEnd {
    /// The stream is complete.
    Complete,
    /// The attempt failed.
    Failed(Outcome),
}

/// Runs a stream; returns the response once the first event has arrived, or an error response.
pub async fn run(ctx: Arc<Context>, job: Arc<Job>) -> Response<Body> {
    let mut state = StreamState::new(ctx, job);
    loop {
        if !state.ctx.may_start(state.job.deadline) {
            return state.answer_failure(state.history.abandon(), "stopping");
        }
        if let Err(left) = state.job.until_admitted(&state.ctx).await {
            let (ctx, history) = (&state.ctx, &state.history);
            return state
                .job
                .answer_quarantined(ctx, history, left, &FAILURE_TEXTS);
        }
        let outcome = match state.start_attempt().await {
            Ok(headers) => return state.into_response(headers),
            Err(StartError::Ended(outcome)) => outcome,
            Err(StartError::Unplaced(none)) => {
                let (ctx, history) = (&state.ctx, &state.history);
                return state
                    .job
                    .answer_unplaced(ctx, history, none.retry, &FAILURE_TEXTS);
            }
        };
        if outcome == Outcome::TimedOut && state.job.time_left(state.ctx.now()) == Millis(0) {
            return state.answer_failure(Action::ReportUnknown, "timeout");
        }
        match state.next_action(outcome).await {
            Action::Resend => {}
            action => return state.answer_failure(action, outcome.into()),
        }
        if outcome == Outcome::NotRun && !state.job.back_off(&state.ctx, &state.history).await {
            return state.answer_failure(state.history.abandon(), outcome.into());
        }
    }
}

impl StreamState {
    fn new(ctx: Arc<Context>, job: Arc<Job>) -> Self {
        let policy = Policy {
            floor_ms: STALL_RANGE_MS.0,
            ceiling_ms: STALL_RANGE_MS.1,
            ..Policy::default()
        };
        let progress = Progress::new(ctx.now(), job.call.last_event, policy);
        Self {
            kv: kv_demand(&ctx, &job),
            ctx,
            job,
            history: SendHistory::default(),
            avoid: Vec::new(),
            progress,
            attempt: None,
            first_event: None,
            backup: None,
            suspicion: Suspicion::default(),
        }
    }

    /// The next step after an attempt that ended with `outcome`; may wait for the retry budget.
    async fn next_action(&mut self, outcome: Outcome) -> Action {
        self.job
            .next_action(&self.ctx, &mut self.history, &self.suspicion, outcome)
            .await
    }

    /// Starts an attempt and waits for its first event; returns the headers of the server's response.
    ///
    /// Uses up the KV cache backup of the previous attempt, if there is one, and then runs at the backup server.
    ///
    /// # Errors
    ///
    /// A [`StartError`].
    async fn start_attempt(&mut self) -> Result<HeaderMap, StartError> {
        let now = self.ctx.now();
        let backup = self.backup.take();
        let mut lease = match &backup {
            Some(backup) => self
                .lease_backup(backup, now)
                .ok_or(StartError::Ended(Outcome::Unsent))?,
            None => match self.place().await {
                Ok(lease) => lease,
                Err(none) => {
                    self.job.log_no_server(&self.ctx);
                    return Err(StartError::Unplaced(none));
                }
            },
        };
        let target = self
            .place_backup(&lease, self.progress.forwarded() > 0)
            .await;
        let options = StreamOptions {
            last_event: self.progress.last_id(),
            backup_to: target.as_ref().map(|t| t.addr),
            backup: backup.as_ref().map(|b| &b.handle),
        };
        let (ctx, job) = (Arc::clone(&self.ctx), Arc::clone(&self.job));
        tracing::info!(
            id = %job.call.id, server = %lease.id, copy = target.as_ref().map_or("", |t| t.id.as_str()),
            from = ?options.backup, last = ?options.last_event, age_ms = now.since(job.received).0,
            left_ms = job.time_left(now).0, version = job.plan.version.0, "stream placed"
        );
        let id = lease.id.clone();
        let is_indirect = ctx.servers.is_indirect(&id);
        let left = job.time_left(now).duration();
        let mut has_head = false;
        let result = tokio::select! {
            biased;
            result = first_event(&ctx, &job, &lease, &options, &mut has_head) => result,
            () = liveness::until_unreachable(&ctx, &id) => Err(Outcome::TimedOut),
            () = tokio::time::sleep(left) => Err(Outcome::TimedOut),
        };
        let (opened, splitter, event) = match result {
            Ok(parts) => parts,
            Err(outcome) => {
                tracing::info!(
                    id = %job.call.id, server = %id, %outcome, has_head, parts = ?job.call.shared_parts,
                    "stream attempt ended before its first event"
                );
                if outcome == Outcome::Failed {
                    self.job.record_run(&self.ctx);
                }
                self.record_lost(&id, outcome, has_head, is_indirect);
                self.avoid.push(id);
                return Err(StartError::Ended(outcome));
            }
        };
        lease.record_first_output();
        let (parts, body) = opened.response.into_parts();
        let backup_task = self.kv.has_backups.then(|| {
            let backup = target.map(|t| Backup::followed(t, now));
            BackupTask::start(&self.ctx, &self.job, self.kv, &lease, backup)
        });
        self.first_event = event;
        self.attempt = Some(Attempt {
            body,
            splitter,
            link: opened.link,
            head: opened.head,
            lease,
            backup_task,
            events: 0,
        });
        Ok(parts.headers)
    }

    /// Records a server that failed with an attempt, reached through another host or not, if the request may be the
    /// cause.
    fn record_lost(
        &mut self,
        server: &BackendId,
        outcome: Outcome,
        has_begun: bool,
        is_indirect: bool,
    ) {
        if outcome == Outcome::Broken && !self.suspicion.is_cleared() {
            self.job.spawn_crash_check(&self.ctx, server, is_indirect);
        }
        let is_lost = match outcome {
            Outcome::Broken => true,
            Outcome::TimedOut => self.job.time_left(self.ctx.now()) > Millis(0),
            _ => false,
        };
        if is_lost && self.suspicion.record_lost(has_begun) {
            self.job.record_crash(&self.ctx, server);
        }
    }

    /// The response: the headers of the first attempt and the events of all attempts.
    fn into_response(self, headers: HeaderMap) -> Response<Body> {
        let seconds = self.ctx.now().since(self.job.received).0 as f64 / 1_000.0;
        let cause = self.job.plan.route.kind.into();
        self.ctx
            .metrics
            .latency
            .get_or_create(&Cause { cause })
            .observe(seconds);
        let frames = stream::unfold(Some(self), |state| async {
            let mut state = state?;
            match state.next_bytes().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(state))),
                Ok(None) => None,
                Err(cut) => Some((Err(cut), None)),
            }
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        *response.headers_mut() = response::forward_headers(&headers);
        response
    }

    /// The next event to be forwarded, as bytes; `None` after the last one.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, StreamCut> {
        // While the caller reads nothing, the server is not read either, which is no failure of it.
        self.progress.reset_idle_timer(self.ctx.now());
        loop {
            match self.read_event().await {
                Ok(event) => match self.progress.record(self.ctx.now(), &event) {
                    // The process must not end before the last events have been written.
                    EventAction::Forward if self.ctx.grace_period().is_some() => {
                        return Ok(Some(self.job.in_flight(event.bytes)));
                    }
                    EventAction::Forward => return Ok(Some(event.bytes)),
                    EventAction::Drop => {}
                    EventAction::Gap => self.resume(Outcome::Broken).await?,
                },
                Err(AttemptEnd::Complete) => {
                    self.complete();
                    return Ok(None);
                }
                Err(AttemptEnd::Failed(outcome)) => self.resume(outcome).await?,
            }
        }
    }

    /// Reads the next event of the current attempt.
    async fn read_event(&mut self) -> Result<Event, AttemptEnd> {
        let Some(attempt) = &mut self.attempt else {
            return Err(AttemptEnd::Failed(Outcome::Broken));
        };
        if let Some(event) = self.first_event.take() {
            attempt.events += 1;
            return Ok(event);
        }
        let deadline = self.progress.stall_deadline().min(self.job.deadline);
        tokio::select! {
            biased;
            event = next_event(&mut attempt.body, &mut attempt.splitter) => match event {
                Ok(Some(event)) => {
                    attempt.events += 1;
                    if attempt.events == PROVING_EVENTS {
                        self.suspicion.clear();
                        self.job.record_sound(&self.ctx);
                        self.job.record_run(&self.ctx);
                    }
                    self.ctx.servers.record_activity(&attempt.lease.id, self.ctx.now());
                    Ok(event)
                }
                Ok(None) => Err(AttemptEnd::Complete),
                Err(error) => {
                    log_read_error(&self.job, &attempt.lease.id, &error);
                    Err(AttemptEnd::Failed(Outcome::from(&error)))
                }
            },
            () = self.ctx.timer.at(deadline) => Err(AttemptEnd::Failed(Outcome::TimedOut)),
            () = until_unreachable(&self.ctx, &attempt.lease.id, self.progress.idle_since()) => {
                Err(AttemptEnd::Failed(Outcome::TimedOut))
            }
        }
    }

    /// Resumes the stream at another server after an attempt that ended with `outcome`.
    async fn resume(&mut self, mut outcome: Outcome) -> Result<(), StreamCut> {
        if self.job.time_left(self.ctx.now()) == Millis(0) {
            // The caller's time limit has passed; this is no failure of the server.
            return Err(self.cut_off("timeout"));
        }
        let idle_since = self.progress.idle_since();
        self.abandon_attempt(outcome);
        loop {
            if self.job.time_left(self.ctx.now()) == Millis(0) {
                return Err(self.cut_off("timeout"));
            }
            if self.next_action(outcome).await != Action::Resend {
                return Err(self.cut_off(outcome.into()));
            }
            // A stream that has had output cannot be the cause, and is not made to wait.
            if !self.suspicion.is_cleared() && self.job.until_admitted(&self.ctx).await.is_err() {
                return Err(self.cut_off("quarantined"));
            }
            let source = if self.backup.is_some() {
                "copy"
            } else {
                "prompt"
            };
            match self.start_attempt().await {
                Ok(_) => {
                    let now = self.ctx.now();
                    self.record_resume(source, now.since(idle_since));
                    self.progress.reset_idle_timer(now);
                    return Ok(());
                }
                Err(StartError::Ended(failed)) => outcome = failed,
                Err(StartError::Unplaced(_)) => return Err(self.cut_off("no_server")),
            }
            if outcome == Outcome::NotRun
                && source == "prompt"
                && !self.job.back_off(&self.ctx, &self.history).await
            {
                return Err(self.cut_off(outcome.into()));
            }
        }
    }

    /// Ends the current attempt as failed; keeps its KV cache backup for the next one.
    fn abandon_attempt(&mut self, outcome: Outcome) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let now = self.ctx.now();
        self.ctx.record_broken(&attempt.link);
        liveness::handle_failure(&self.ctx, &attempt.lease.id);
        tracing::info!(
            id = %self.job.call.id, server = %attempt.lease.id, %outcome, last = ?self.progress.last_id(),
            silence_ms = now.since(self.progress.idle_since()).0, parts = ?self.job.call.shared_parts,
            "stream attempt failed"
        );
        let is_indirect = attempt.link.tunnel.is_some();
        self.record_lost(&attempt.lease.id, outcome, true, is_indirect);
        self.avoid.push(attempt.lease.id.clone());
        self.backup = attempt.backup_task.and_then(BackupTask::into_backup);
    }

    /// Logs and counts a resumed stream; `cause` names the source, `silence` is the gap that the caller sees.
    fn record_resume(&self, cause: &'static str, silence: Millis) {
        let server = self.attempt.as_ref().map_or("", |a| a.lease.id.as_str());
        tracing::info!(
            id = %self.job.call.id, server, source = cause, silence_ms = silence.0,
            last = ?self.progress.last_id(), "stream resumed"
        );
        let metrics = &self.ctx.metrics;
        metrics.resumes.get_or_create(&Cause { cause }).inc();
        let seconds = silence.0 as f64 / 1_000.0;
        metrics
            .resume_gap
            .get_or_create(&Cause { cause })
            .observe(seconds);
    }

    /// Records the end of a complete stream and keeps its connection for reuse.
    fn complete(&mut self) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let now = self.ctx.now();
        if !attempt.head.closes {
            self.ctx
                .servers
                .keep_idle(&attempt.lease.id, attempt.link, now, attempt.head.idle);
        }
        self.job.record_end(
            &self.ctx,
            "answered",
            attempt.head.status,
            Some(&attempt.lease.id),
        );
    }

    /// Records the end of a stream that cannot be resumed; the error returned closes the caller's connection.
    fn cut_off(&mut self, cause: &'static str) -> StreamCut {
        self.attempt = None;
        self.job
            .record_end(&self.ctx, cause, StatusCode::BAD_GATEWAY, None);
        StreamCut
    }

    /// The error response for a stream that produced no event.
    fn answer_failure(&self, action: Action, cause: &'static str) -> Response<Body> {
        self.job
            .answer_failure(&self.ctx, action, cause, &FAILURE_TEXTS)
    }

    /// Leases a server for an attempt that starts from the prompt.
    ///
    /// # Errors
    ///
    /// [`NoServer`] if there is none, or none has a turn soon.
    async fn place(&self) -> Result<Lease, NoServer> {
        let request = PlacementRequest {
            service: self.job.plan.service.as_str(),
            load: self.load(true),
            capacity: self.kv.capacity,
            avoid: &self.avoid,
            avoid_centre: None,
            prefer_centre: None,
            prompt_hash: self.job.call.size.and_then(|s| s.content_hash),
            is_resumed: self.progress.last_id().is_some(),
        };
        if self.kv.capacity == 0 {
            return paths::place_in_turn(&self.ctx, &self.job, &request).await;
        }
        polling::place(&self.ctx, &self.job, &request).await
    }

    /// Leases the server of a backup for an attempt that resumes from it; `None` if it may not take requests now.
    fn lease_backup(&self, backup: &Backup, now: Millis) -> Option<Lease> {
        let servers = &self.ctx.servers;
        let id = &backup.server.id;
        if !servers.take_turns(id, now, 1) {
            return None;
        }
        servers.lease(now, id, self.load(false))
    }

    /// Leases a server for the KV cache backup of the attempt at `lease`; `None` without backups or a usable server.
    async fn place_backup(&self, lease: &Lease, is_resuming: bool) -> Option<Lease> {
        if !self.kv.has_backups {
            return None;
        }
        let mut avoid = self.avoid.clone();
        avoid.push(lease.id.clone());
        let (ctx, job, centre) = (&self.ctx, &self.job, &lease.centre);
        if is_resuming {
            // The caller is waiting; the backup task probes the server once the stream has resumed.
            return backups::place(ctx, job, self.kv, centre, &avoid);
        }
        backups::place_reachable(ctx, job, self.kv, centre, &avoid).await
    }

    /// Load of an attempt; `has_prefill` unless it resumes from a KV cache backup.
    fn load(&self, has_prefill: bool) -> Load {
        Load {
            prefill: if has_prefill { self.kv.prompt } else { 0 },
            memory: self.kv.needed,
            backups: 0,
            running: 1,
        }
    }
}

/// Sends a stream's request and waits for its first event; a server that begins the event has to complete it within the
/// upper bound of [`STALL_RANGE_MS`].
///
/// There is no event if the stream is resumed and the caller already has all of it. Sets `has_head` once the
/// head of the response has arrived.
async fn first_event(
    ctx: &Arc<Context>,
    job: &Job,
    lease: &Lease,
    options: &StreamOptions<'_>,
    has_head: &mut bool,
) -> Result<(OpenResponse, Splitter, Option<Event>), Outcome> {
    let mut opened = send::send_request(ctx, job, lease, options).await?;
    *has_head = true;
    if !opened.head.status.is_success() {
        return Err(Outcome::Failed);
    }
    let mut splitter = Splitter::default();
    let body = opened.response.body_mut();
    let read = async {
        while !splitter.is_partial() && fill(body, &mut splitter).await? {}
        let event = next_event(body, &mut splitter);
        tokio::select! {
            biased;
            event = event => event,
            () = ctx.timer.after(Millis(STALL_RANGE_MS.1)) => Err(ReadError::Stalled),
        }
    };
    let event = read.await.map_err(|error| {
        log_read_error(job, &lease.id, &error);
        Outcome::from(&error)
    })?;
    ctx.servers.record_activity(&lease.id, ctx.now());
    if event.is_none() && options.last_event.is_none() {
        return Err(Outcome::Broken);
    }
    Ok((opened, splitter, event))
}

/// Why a body has no further event.
#[derive(Debug, Error)]
enum ReadError {
    /// The connection broke, or the body is malformed.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
    /// The server sent bytes that are no event.
    #[error(transparent)]
    Foreign(#[from] SplitError),
    /// The body ended within an event.
    #[error("the body ended within an event")]
    Partial,
    /// The server began the first event and did not complete it in time.
    #[error("the first event was begun and not completed in time")]
    Stalled,
}

impl From<&ReadError> for Outcome {
    fn from(error: &ReadError) -> Self {
        match error {
            ReadError::Stalled => Self::TimedOut,
            ReadError::Broken(_) | ReadError::Foreign(_) | ReadError::Partial => Self::Broken,
        }
    }
}

fn log_read_error(job: &Job, server: &BackendId, error: &ReadError) {
    tracing::info!(id = %job.call.id, %server, %error, "failed to read an event");
}

/// Reads the next complete event of a body; `None` at its end.
async fn next_event(
    body: &mut Incoming,
    splitter: &mut Splitter,
) -> Result<Option<Event>, ReadError> {
    loop {
        if let Some(event) = splitter.pop()? {
            return Ok(Some(event));
        }
        if !fill(body, splitter).await? {
            return match splitter.is_partial() {
                true => Err(ReadError::Partial),
                false => Ok(None),
            };
        }
    }
}

/// Passes the next bytes of a body to the splitter; returns `false` at its end.
async fn fill(body: &mut Incoming, splitter: &mut Splitter) -> Result<bool, ReadError> {
    let Some(frame) = body.frame().await else {
        return Ok(false);
    };
    if let Some(bytes) = frame?.data_ref() {
        splitter.push(bytes);
    }
    Ok(true)
}

/// Waits until the server of a stream without events since `idle_since` fails a probe.
async fn until_unreachable(ctx: &Arc<Context>, id: &BackendId, idle_since: Millis) {
    loop {
        // The server may have sent events of another stream meanwhile.
        ctx.timer
            .at(probe_time(idle_since, ctx.servers.last_activity(id)))
            .await;
        if !liveness::is_reachable(ctx, id, PROBE_IDLE, PROBE_TIMEOUT).await
            || ctx.servers.hangs_since(id, idle_since)
        {
            return;
        }
    }
}

/// When to probe the server of a stream: `last_event` is the time of the stream's last event, `last_activity`
/// the time of the last data from the server on any connection.
pub fn probe_time(last_event: Millis, last_activity: Millis) -> Millis {
    last_event.max(last_activity) + PROBE_IDLE
}

/// KV cache demand of the request; all zero for a service without engines.
fn kv_demand(ctx: &Context, job: &Job) -> KvDemand {
    let snapshot = ctx.snapshot.load();
    let service = snapshot.as_ref().and_then(|s| s.service(&job.plan.service));
    let Some(engine) = service.and_then(|s| s.engine) else {
        return KvDemand::default();
    };
    let size = job.call.size.unwrap_or_default();
    KvDemand {
        capacity: engine.kv_capacity,
        needed: size.kv_tokens(),
        prompt: size.input,
        has_backups: engine.has_backups && job.plan.route.kind == Kind::Resumable,
    }
}
