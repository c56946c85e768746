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

use crate::context::Context;
use crate::copies::{self, Held, Keeper, Memory};
use crate::fleet::{Lease, Want};
use crate::link::Link;
use crate::liveness;
use crate::metrics::Cause;
use crate::probe;
use crate::reply::{Body, Cut};
use crate::send::{self, Extra, Job, Opened, Unanswered};

/// What a caller is told whose stream gave no event.
const UNANSWERED: Unanswered = Unanswered {
    refused: "no backend server could take the stream; it has not run, come back later",
    after_ms: 500,
    timeout: "no event came within the time limit; ask again",
    lost: "the stream was lost before its first event; ask again",
};

/// The silence between events after which a server is asked whether it is there.
const ASK_AFTER: Millis = Millis(300);

/// How long a server of a silent stream may take to accept a connection.
const ASK_LIMIT: Millis = Millis(150);

/// The silence between events that is taken as a loss although the server is there: at least the
/// first, at most the second.
const SILENCE_MS: (u64, u64) = (1_000, 1_500);

/// A run of the stream at one server.
struct Run {
    body: Incoming,
    splitter: Splitter,
    link: Link,
    head: Head,
    lease: Lease,
    keeper: Option<Keeper>,
}

/// A stream on its way to the caller.
struct Flow {
    ctx: Arc<Context>,
    job: Arc<Job>,
    memory: Memory,
    tries: SendHistory,
    avoid: Vec<BackendId>,
    progress: Progress,
    run: Option<Run>,
    /// The first event, read before the head of the answer was passed on.
    first: Option<Event>,
    /// The copy of the memory of the run that was lost last.
    spare: Option<Held>,
}

/// Why a run gives no more events.
enum End {
    /// The answer is whole.
    Whole,
    /// The run is lost.
    Lost(Outcome),
}

/// Runs a stream and answers its caller once its first event has come.
pub async fn run(ctx: Arc<Context>, job: Arc<Job>) -> Response<Body> {
    let mut flow = Flow::new(ctx, job);
    loop {
        let outcome = match flow.begin().await {
            Ok(headers) => return flow.answer(headers),
            Err(Some(outcome)) => outcome,
            Err(None) => return flow.end(flow.tries.abandon(), "no_server"),
        };
        if outcome == Outcome::TimedOut && flow.job.left(flow.ctx.now()) == Millis(0) {
            return flow.end(Action::ReportUnknown, "timeout");
        }
        match flow.next(outcome).await {
            Action::Resend => {}
            next => return flow.end(next, outcome.into()),
        }
        if outcome == Outcome::NotRun && !flow.job.pause(&flow.ctx, &flow.tries).await {
            return flow.end(flow.tries.abandon(), outcome.into());
        }
    }
}

impl Flow {
    fn new(ctx: Arc<Context>, job: Arc<Job>) -> Self {
        let policy = Policy {
            floor_ms: SILENCE_MS.0,
            ceiling_ms: SILENCE_MS.1,
            ..Policy::default()
        };
        let progress = Progress::new(ctx.now(), job.call.last_event, policy);
        Self {
            memory: memory(&ctx, &job),
            ctx,
            job,
            tries: SendHistory::default(),
            avoid: Vec::new(),
            progress,
            run: None,
            first: None,
            spare: None,
        }
    }

    /// What is to be done after a send that failed.
    async fn next(&mut self, outcome: Outcome) -> Action {
        self.job.after(&self.ctx, &mut self.tries, outcome).await
    }

    /// Starts a run at some server and waits for its first event.
    ///
    /// A copy of the memory of the run before is used if there is one. Returns the headers of the
    /// answer; `Err(None)` if no server can be had.
    async fn begin(&mut self) -> Result<HeaderMap, Option<Outcome>> {
        let now = self.ctx.now();
        let spare = self.spare.take();
        let mut lease = match &spare {
            Some(held) => self
                .ctx
                .servers
                .take(now, &held.holder.id, self.load(false))
                .ok_or(Some(Outcome::Unsent))?,
            None => self.place().await.ok_or(None)?,
        };
        let holder = self.holder(&lease, self.progress.forwarded() > 0).await;
        let extra = Extra {
            last_event: self.progress.last_id(),
            copy_to: holder.as_ref().map(|h| h.addr),
            copy: spare.as_ref().map(|h| &h.copy),
        };
        let (ctx, job) = (Arc::clone(&self.ctx), Arc::clone(&self.job));
        tracing::info!(
            id = %job.call.id, server = %lease.id, copy = holder.as_ref().map_or("", |h| h.id.as_str()),
            from = ?extra.copy, last = ?extra.last_event, age_ms = now.since(job.since).0,
            left_ms = job.left(now).0, version = job.plan.version.0, "stream placed"
        );
        let id = lease.id.clone();
        let left = job.left(now).duration();
        let result = tokio::select! {
            biased;
            result = first_event(&ctx, &job, &lease, &extra) => result,
            () = liveness::gone(&ctx, &id) => Err(Outcome::TimedOut),
            () = tokio::time::sleep(left) => Err(Outcome::TimedOut),
        };
        let (opened, splitter, event) = match result {
            Ok(parts) => parts,
            Err(outcome) => {
                self.avoid.push(id);
                return Err(Some(outcome));
            }
        };
        lease.started();
        let (parts, body) = opened.response.into_parts();
        let keeper = self.memory.copies.then(|| {
            let held = holder.map(|h| Held::followed(h, now));
            Keeper::start(&self.ctx, &self.job, self.memory, &lease, held)
        });
        self.first = event;
        self.run = Some(Run {
            body,
            splitter,
            link: opened.link,
            head: opened.head,
            lease,
            keeper,
        });
        Ok(parts.headers)
    }

    /// Answers the caller with the head of the first run and the events of all.
    fn answer(self, headers: HeaderMap) -> Response<Body> {
        let seconds = self.ctx.now().since(self.job.since).0 as f64 / 1_000.0;
        let cause = self.job.plan.route.kind.into();
        self.ctx
            .metrics
            .latency
            .get_or_create(&Cause { cause })
            .observe(seconds);
        let frames = stream::unfold(Some(self), |flow| async {
            let mut flow = flow?;
            match flow.pull().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(flow))),
                Ok(None) => None,
                Err(cut) => Some((Err(cut), None)),
            }
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        *response.headers_mut() = response::forward_headers(&headers);
        response
    }

    /// The next bytes for the caller; `None` after the last.
    async fn pull(&mut self) -> Result<Option<Bytes>, Cut> {
        loop {
            match self.event().await {
                Ok(event) => match self.progress.record(self.ctx.now(), &event) {
                    EventAction::Forward => return Ok(Some(event.bytes)),
                    EventAction::Drop => {}
                    EventAction::Gap => self.resume(Outcome::Broken).await?,
                },
                Err(End::Whole) => {
                    self.finish();
                    return Ok(None);
                }
                Err(End::Lost(outcome)) => self.resume(outcome).await?,
            }
        }
    }

    /// The next event of the current run.
    async fn event(&mut self) -> Result<Event, End> {
        if let Some(event) = self.first.take() {
            return Ok(event);
        }
        let Some(run) = &mut self.run else {
            return Err(End::Lost(Outcome::Broken));
        };
        let until = self.progress.stall_deadline().min(self.job.until);
        tokio::select! {
            biased;
            event = next_event(&mut run.body, &mut run.splitter) => match event {
                Ok(Some(event)) => {
                    self.ctx.servers.heard(&run.lease.id, self.ctx.now());
                    Ok(event)
                }
                Ok(None) => Err(End::Whole),
                Err(outcome) => Err(End::Lost(outcome)),
            },
            () = self.ctx.timer.at(until) => Err(End::Lost(Outcome::TimedOut)),
            () = silent(&self.ctx, &run.lease.id, self.progress.idle_since()) => {
                Err(End::Lost(Outcome::TimedOut))
            }
        }
    }

    /// Continues the stream at another server.
    async fn resume(&mut self, mut outcome: Outcome) -> Result<(), Cut> {
        if self.job.left(self.ctx.now()) == Millis(0) {
            // The caller's time is over, which says nothing of the server.
            return Err(self.cut("timeout"));
        }
        let heard = self.progress.idle_since();
        self.leave(outcome);
        loop {
            if self.job.left(self.ctx.now()) == Millis(0) {
                return Err(self.cut("timeout"));
            }
            if self.next(outcome).await != Action::Resend {
                return Err(self.cut(outcome.into()));
            }
            let source = if self.spare.is_some() {
                "copy"
            } else {
                "prompt"
            };
            match self.begin().await {
                Ok(_) => {
                    let now = self.ctx.now();
                    self.resumed(source, now.since(heard));
                    self.progress.reset_idle_timer(now);
                    return Ok(());
                }
                Err(Some(failed)) => outcome = failed,
                Err(None) => return Err(self.cut("no_server")),
            }
            if outcome == Outcome::NotRun
                && source == "prompt"
                && !self.job.pause(&self.ctx, &self.tries).await
            {
                return Err(self.cut(outcome.into()));
            }
        }
    }

    /// Ends the current run; the copy of its memory remains to go on from.
    fn leave(&mut self, outcome: Outcome) {
        let Some(run) = self.run.take() else { return };
        let now = self.ctx.now();
        liveness::lost(&self.ctx, &run.lease.id);
        tracing::info!(
            id = %self.job.call.id, server = %run.lease.id, %outcome, last = ?self.progress.last_id(),
            silence_ms = now.since(self.progress.idle_since()).0, "run lost"
        );
        self.avoid.push(run.lease.id.clone());
        self.spare = run.keeper.and_then(Keeper::take);
    }

    fn resumed(&self, cause: &'static str, silence: Millis) {
        let server = self.run.as_ref().map_or("", |r| r.lease.id.as_str());
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
    fn finish(&mut self) {
        let Some(run) = self.run.take() else { return };
        let now = self.ctx.now();
        if !run.head.closes {
            self.ctx
                .servers
                .keep(&run.lease.id, run.link, now, run.head.idle);
        }
        self.job
            .record_end(&self.ctx, "answered", run.head.status, Some(&run.lease.id));
    }

    /// The stream cannot go on.
    fn cut(&mut self, cause: &'static str) -> Cut {
        self.run = None;
        self.job
            .record_end(&self.ctx, cause, StatusCode::BAD_GATEWAY, None);
        Cut
    }

    /// Answers a caller who got no event.
    fn end(&self, next: Action, cause: &'static str) -> Response<Body> {
        self.job.end(&self.ctx, next, cause, &UNANSWERED)
    }

    async fn place(&self) -> Option<Lease> {
        let want = Want {
            service: self.job.plan.service.as_str(),
            load: self.load(true),
            capacity: self.memory.capacity,
            avoid: &self.avoid,
            avoid_centre: None,
            prefer_centre: None,
            content: self.job.call.size.and_then(|s| s.content_hash),
        };
        if self.memory.capacity == 0 {
            return self.ctx.servers.place(self.ctx.now(), &want);
        }
        probe::place(&self.ctx, &want).await
    }

    /// A server in another data centre for a copy of the run's memory.
    async fn holder(&self, lease: &Lease, is_urgent: bool) -> Option<Lease> {
        if !self.memory.copies {
            return None;
        }
        let mut avoid = self.avoid.clone();
        avoid.push(lease.id.clone());
        let (ctx, job, centre) = (&self.ctx, &self.job, &lease.centre);
        if is_urgent {
            // The caller is waiting; the keeper checks the server once the stream goes on.
            return copies::place(ctx, job, self.memory, centre, &avoid);
        }
        copies::choose(ctx, job, self.memory, centre, &avoid).await
    }

    fn load(&self, reads_prompt: bool) -> Load {
        Load {
            prefill: if reads_prompt { self.memory.prompt } else { 0 },
            memory: self.memory.needed,
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
    extra: &Extra<'_>,
) -> Result<(Opened, Splitter, Option<Event>), Outcome> {
    let mut opened = send::open(ctx, job, lease, extra).await?;
    if !opened.head.status.is_success() {
        return Err(Outcome::Failed);
    }
    let mut splitter = Splitter::default();
    let event = next_event(opened.response.body_mut(), &mut splitter).await?;
    ctx.servers.heard(&lease.id, ctx.now());
    if event.is_none() && extra.last_event.is_none() {
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
async fn silent(ctx: &Context, id: &BackendId, heard: Millis) {
    loop {
        // Another stream of the server may have had events meanwhile.
        ctx.timer
            .at(ask_at(heard, ctx.servers.last_heard(id)))
            .await;
        if !liveness::is_there(ctx, id, ASK_AFTER, ASK_LIMIT).await {
            return;
        }
    }
}

/// When a server is asked whether it is there, of a stream whose last event came at `event` and that
/// itself was heard last at `server`, in whatever way.
pub fn ask_at(event: Millis, server: Millis) -> Millis {
    event.max(server) + ASK_AFTER
}

/// What the request needs of the engines' memory.
fn memory(ctx: &Context, job: &Job) -> Memory {
    let snapshot = ctx.snapshot.load();
    let service = snapshot.as_ref().and_then(|s| s.service(&job.plan.service));
    let Some(engine) = service.and_then(|s| s.engine) else {
        return Memory::default();
    };
    let size = job.call.size.unwrap_or_default();
    Memory {
        capacity: engine.kv_capacity,
        needed: size.kv_tokens(),
        prompt: size.input,
        copies: engine.has_backups && job.plan.route.kind == Kind::Resumable,
    }
}
