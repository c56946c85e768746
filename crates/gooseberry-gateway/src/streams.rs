//! Requests whose answers are streams of events, which go on at another server after a loss.

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
use relay::{Action, Event, EventAction, Outcome, Progress, SendHistory, Splitter};
use routing::Kind;

use crate::backups::{self, Backup, BackupTask, KvDemand};
use crate::context::Context;
use crate::fleet::{Lease, PlacementRequest};
use crate::link::Link;
use crate::liveness;
use crate::metrics::Cause;
use crate::polling;
use crate::reply::{Body, StreamCut};
use crate::send::{self, FailureTexts, Job, OpenResponse, StreamOptions};

/// What a caller is told whose stream gave no event.
const FAILURE_TEXTS: FailureTexts = FailureTexts {
    not_run: "no backend server could take the stream; it has not run, come back later",
    retry_ms: 500,
    timeout: "no event came within the time limit; ask again",
    lost: "the stream was lost before its first event; ask again",
};

/// The silence between events after which a server is asked whether it is there.
const PROBE_IDLE: Millis = Millis(300);

/// How long a server of a silent stream may take to accept a connection.
const PROBE_TIMEOUT: Millis = Millis(150);

/// The silence between events that is taken as a loss although the server is there: at least the
/// first, at most the second.
const STALL_RANGE_MS: (u64, u64) = (1_000, 1_500);

/// A run of the stream at one server.
struct Attempt {
    body: Incoming,
    splitter: Splitter,
    link: Link,
    head: Head,
    lease: Lease,
    backup_task: Option<BackupTask>,
}

/// A stream on its way to the caller.
struct StreamState {
    ctx: Arc<Context>,
    job: Arc<Job>,
    kv: KvDemand,
    history: SendHistory,
    avoid: Vec<BackendId>,
    progress: Progress,
    attempt: Option<Attempt>,
    /// The first event, read before the head of the answer was passed on.
    first_event: Option<Event>,
    /// The copy of the memory of the run that was lost last.
    backup: Option<Backup>,
}

/// Why a run gives no more events.
enum AttemptEnd {
    /// The answer is whole.
    Complete,
    /// The run is lost.
    Failed(Outcome),
}

/// Runs a stream and answers its caller once its first event has come.
pub async fn run(ctx: Arc<Context>, job: Arc<Job>) -> Response<Body> {
    let mut state = StreamState::new(ctx, job);
    loop {
        let outcome = match state.start_attempt().await {
            Ok(headers) => return state.into_response(headers),
            Err(Some(outcome)) => outcome,
            Err(None) => return state.answer_failure(state.history.abandon(), "no_server"),
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
        }
    }

    /// What is to be done after a send that failed.
    async fn next_action(&mut self, outcome: Outcome) -> Action {
        self.job
            .next_action(&self.ctx, &mut self.history, outcome)
            .await
    }

    /// Starts a run at some server and waits for its first event.
    ///
    /// A copy of the memory of the run before is used if there is one. Returns the headers of the
    /// answer; `Err(None)` if no server can be had.
    async fn start_attempt(&mut self) -> Result<HeaderMap, Option<Outcome>> {
        let now = self.ctx.now();
        let backup = self.backup.take();
        let mut lease = match &backup {
            Some(backup) => self
                .ctx
                .servers
                .lease(now, &backup.server.id, self.load(false))
                .ok_or(Some(Outcome::Unsent))?,
            None => self.place().await.ok_or(None)?,
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
        let left = job.time_left(now).duration();
        let result = tokio::select! {
            biased;
            result = first_event(&ctx, &job, &lease, &options) => result,
            () = liveness::until_unreachable(&ctx, &id) => Err(Outcome::TimedOut),
            () = tokio::time::sleep(left) => Err(Outcome::TimedOut),
        };
        let (opened, splitter, event) = match result {
            Ok(parts) => parts,
            Err(outcome) => {
                self.avoid.push(id);
                return Err(Some(outcome));
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
        });
        Ok(parts.headers)
    }

    /// Answers the caller with the head of the first run and the events of all.
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

    /// The next bytes for the caller; `None` after the last.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, StreamCut> {
        loop {
            match self.read_event().await {
                Ok(event) => match self.progress.record(self.ctx.now(), &event) {
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

    /// The next event of the current run.
    async fn read_event(&mut self) -> Result<Event, AttemptEnd> {
        if let Some(event) = self.first_event.take() {
            return Ok(event);
        }
        let Some(attempt) = &mut self.attempt else {
            return Err(AttemptEnd::Failed(Outcome::Broken));
        };
        let deadline = self.progress.stall_deadline().min(self.job.deadline);
        tokio::select! {
            biased;
            event = next_event(&mut attempt.body, &mut attempt.splitter) => match event {
                Ok(Some(event)) => {
                    self.ctx.servers.record_activity(&attempt.lease.id, self.ctx.now());
                    Ok(event)
                }
                Ok(None) => Err(AttemptEnd::Complete),
                Err(outcome) => Err(AttemptEnd::Failed(outcome)),
            },
            () = self.ctx.timer.at(deadline) => Err(AttemptEnd::Failed(Outcome::TimedOut)),
            () = until_unreachable(&self.ctx, &attempt.lease.id, self.progress.idle_since()) => {
                Err(AttemptEnd::Failed(Outcome::TimedOut))
            }
        }
    }

    /// Continues the stream at another server.
    async fn resume(&mut self, mut outcome: Outcome) -> Result<(), StreamCut> {
        if self.job.time_left(self.ctx.now()) == Millis(0) {
            // The caller's time is over, which says nothing of the server.
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
                Err(Some(failed)) => outcome = failed,
                Err(None) => return Err(self.cut_off("no_server")),
            }
            if outcome == Outcome::NotRun
                && source == "prompt"
                && !self.job.back_off(&self.ctx, &self.history).await
            {
                return Err(self.cut_off(outcome.into()));
            }
        }
    }

    /// Ends the current run; the copy of its memory remains to go on from.
    fn abandon_attempt(&mut self, outcome: Outcome) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let now = self.ctx.now();
        liveness::handle_failure(&self.ctx, &attempt.lease.id);
        tracing::info!(
            id = %self.job.call.id, server = %attempt.lease.id, %outcome, last = ?self.progress.last_id(),
            silence_ms = now.since(self.progress.idle_since()).0, "run lost"
        );
        self.avoid.push(attempt.lease.id.clone());
        self.backup = attempt.backup_task.and_then(BackupTask::into_backup);
    }

    fn record_resume(&self, cause: &'static str, silence: Millis) {
        let server = self.attempt.as_ref().map_or("", |r| r.lease.id.as_str());
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

    /// The stream is whole.
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
        self.job.ended(
            &self.ctx,
            "answered",
            attempt.head.status,
            Some(&attempt.lease.id),
        );
    }

    /// The stream cannot go on.
    fn cut_off(&mut self, cause: &'static str) -> StreamCut {
        self.attempt = None;
        self.job
            .ended(&self.ctx, cause, StatusCode::BAD_GATEWAY, None);
        StreamCut
    }

    /// Answers a caller who got no event.
    fn answer_failure(&self, action: Action, cause: &'static str) -> Response<Body> {
        self.job
            .answer_failure(&self.ctx, action, cause, &FAILURE_TEXTS)
    }

    async fn place(&self) -> Option<Lease> {
        let request = PlacementRequest {
            service: self.job.plan.service.as_str(),
            load: self.load(true),
            capacity: self.kv.capacity,
            avoid: &self.avoid,
            avoid_centre: None,
            prefer_centre: None,
            prompt_hash: self.job.call.size.and_then(|s| s.content_hash),
        };
        if self.kv.capacity == 0 {
            return self.ctx.servers.place(self.ctx.now(), &request);
        }
        polling::place(&self.ctx, &request).await
    }

    /// A server in another data centre for a copy of the run's memory.
    async fn place_backup(&self, lease: &Lease, is_resuming: bool) -> Option<Lease> {
        if !self.kv.has_backups {
            return None;
        }
        let mut avoid = self.avoid.clone();
        avoid.push(lease.id.clone());
        let (ctx, job, centre) = (&self.ctx, &self.job, &lease.centre);
        if is_resuming {
            // The caller is waiting; the keeper checks the server once the stream goes on.
            return backups::place(ctx, job, self.kv, centre, &avoid);
        }
        backups::place_reachable(ctx, job, self.kv, centre, &avoid).await
    }

    fn load(&self, has_prefill: bool) -> Load {
        Load {
            prefill: if has_prefill { self.kv.prompt } else { 0 },
            memory: self.kv.needed,
            backups: 0,
            running: 1,
        }
    }
}

/// Opens a stream and waits for its first event.
///
/// A caller that goes on with a stream may hold all of it already; the answer then has no event.
async fn first_event(
    ctx: &Arc<Context>,
    job: &Job,
    lease: &Lease,
    options: &StreamOptions<'_>,
) -> Result<(OpenResponse, Splitter, Option<Event>), Outcome> {
    let mut opened = send::send_request(ctx, job, lease, options).await?;
    if !opened.head.status.is_success() {
        return Err(Outcome::Failed);
    }
    let mut splitter = Splitter::default();
    let event = next_event(opened.response.body_mut(), &mut splitter).await?;
    ctx.servers.record_activity(&lease.id, ctx.now());
    if event.is_none() && options.last_event.is_none() {
        return Err(Outcome::Broken);
    }
    Ok((opened, splitter, event))
}

/// The next whole event of a body; `None` at its end.
async fn next_event(
    body: &mut Incoming,
    splitter: &mut Splitter,
) -> Result<Option<Event>, Outcome> {
    loop {
        if let Some(event) = splitter.pop().map_err(|_| Outcome::Broken)? {
            return Ok(Some(event));
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    splitter.push(bytes);
                }
            }
            Some(Err(_)) => return Err(Outcome::Broken),
            None if splitter.is_partial() => return Err(Outcome::Broken),
            None => return Ok(None),
        }
    }
}

/// Waits until the server of a stream without events since `heard` is found to be gone.
async fn until_unreachable(ctx: &Context, id: &BackendId, idle_since: Millis) {
    loop {
        // Another stream of the server may have had events meanwhile.
        ctx.timer
            .at(probe_time(idle_since, ctx.servers.last_activity(id)))
            .await;
        if !liveness::is_reachable(ctx, id, PROBE_IDLE, PROBE_TIMEOUT).await {
            return;
        }
    }
}

/// When a server is asked whether it is there, of a stream whose last event came at `event` and that
/// itself was heard last at `server`, in whatever way.
pub fn probe_time(last_event: Millis, last_activity: Millis) -> Millis {
    last_event.max(last_activity) + PROBE_IDLE
}

/// What the request needs of the engines' memory.
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
