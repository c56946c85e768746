//! HTTP server for callers: reads each request, routes it and answers it.

use std::convert::Infallible;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use base::prelude::*;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::{request, response};
use routing::{Call, Denial, Plan};
use tokio::net::{TcpListener, TcpStream};

use crate::context::{Context, InFlight};
use crate::metrics::{Cause, RequestLabels};
use crate::reply::{self, Body};
use crate::send::Job;
use crate::{calls, link, streams};

/// How long after the configuration's idle limit an idle connection is closed.
const IDLE_MARGIN: Millis = Millis(1_000);

/// The idle limit until a configuration is read.
const DEFAULT_IDLE: Millis = Millis(30_000);

/// The buffer for the head of a request, in bytes. The configuration's limit is checked as well.
const HEAD_BUFFER: usize = 64 << 10;

/// The pause after a failure to accept a connection.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Retry time that a stopping host sends to callers, which then reach another host, in milliseconds.
const STOPPING_RETRY_MS: u64 = 50;

/// Retry time that a host sends to callers until it has read a configuration, in milliseconds.
const STARTING_RETRY_MS: u64 = 700;

/// Accepts callers' connections until the task is aborted.
pub async fn accept(ctx: Arc<Context>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Keeps the system's time limit for unacknowledged data: callers may have slow connections.
                link::tune(&stream, None);
                tokio::spawn(connection(Arc::clone(&ctx), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a caller's connection");
                // While the process is out of file descriptors, accepting again at once would be a busy loop.
                ctx.timer.after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(ctx: Arc<Context>, stream: TcpStream) {
    let idle = ctx
        .snapshot
        .load()
        .as_ref()
        .map_or(DEFAULT_IDLE, |s| s.limits.idle);
    let service = service_fn(move |request| {
        let ctx = Arc::clone(&ctx);
        async move { Ok::<_, Infallible>(handle(ctx, request).await) }
    });
    let limit: Duration = (idle + IDLE_MARGIN).duration();
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limit)
        .max_buf_size(HEAD_BUFFER)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        tracing::debug!(%error, "a caller's connection ended with an error");
    }
}

/// Answers one request. It counts as in flight until the answer is complete or the caller disconnects.
async fn handle(ctx: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
    let guard = InFlight::new(&ctx);
    let since = ctx.now();
    let (head, body) = request.into_parts();
    let call = request::decode(&head);
    let id = call.id.clone();
    let mut response = match plan(&ctx, &head, &call) {
        Err(reason) => deny(&ctx, &call, reason),
        Ok((plan, body_bytes)) => {
            let headers = request::forward_headers(&head.headers);
            match Limited::new(body, body_bytes).collect().await {
                Err(error) => reject_body(&ctx, &id, error.is::<LengthLimitError>()),
                Ok(body) => {
                    let timeout = plan.route.timeout;
                    let time_limit = call.time_limit.unwrap_or(timeout).min(timeout);
                    let job = Job {
                        deadline: since + time_limit,
                        received: since,
                        call,
                        plan,
                        method: head.method,
                        uri: head.uri,
                        headers,
                        body: body.to_bytes(),
                        guard,
                        hash: OnceLock::new(),
                    };
                    ctx.record_request(&job);
                    run(&ctx, job).await
                }
            }
        }
    };
    response::set_request_id(response.headers_mut(), &id);
    if ctx.grace_period().is_some() {
        response::set_close(response.headers_mut());
    }
    response
}

/// Runs a request as a stream or a call, unless the host is stopping and too little of its grace period is
/// left. A request that has no answer near the end of that period is answered then.
async fn run(ctx: &Arc<Context>, job: Job) -> Response<Body> {
    if !ctx.may_start(job.deadline) {
        return job.refuse(
            ctx,
            "stopping",
            "the host is stopping, too little time is left; the request has not run, send it to another host",
            STOPPING_RETRY_MS,
        );
    }
    let job = Arc::new(job);
    let running = async {
        if job.plan.route.kind.is_stream() {
            streams::run(Arc::clone(ctx), Arc::clone(&job)).await
        } else {
            calls::run(ctx, &job).await
        }
    };
    tokio::select! {
        biased;
        response = running => response,
        () = ctx.until_answers_due() => {
            let (status, outcome) = (StatusCode::GATEWAY_TIMEOUT, "stopping");
            job.record_end(ctx, outcome, status, None);
            let message = "the host has stopped before an answer arrived; the request may have run";
            reply::outcome_unknown(status, outcome, message)
        }
    }
}

/// Why a request is denied before a backend server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Denied {
    /// No configuration has been read yet.
    Starting,
    /// The request is invalid, or the configuration does not allow it.
    Rejected {
        status: StatusCode,
        kind: &'static str,
        message: &'static str,
    },
}

impl Denied {
    /// The response to the caller.
    fn response(self) -> Response<Body> {
        match self {
            Self::Starting => reply::refused(
                "starting",
                "the host has not read its configuration yet; the request has not run, send it again",
                STARTING_RETRY_MS,
            ),
            Self::Rejected {
                status,
                kind,
                message,
            } => reply::denied(status, kind, message),
        }
    }

    /// The outcome in logs and metrics.
    fn kind(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Rejected { kind, .. } => kind,
        }
    }
}

/// The plan for a request, by the configuration in force, and the greatest size of its body in bytes.
fn plan(ctx: &Context, head: &Parts, call: &Call) -> Result<(Plan, usize), Denied> {
    let snapshot = ctx.snapshot.load();
    let snapshot = snapshot.as_ref().ok_or(Denied::Starting)?;
    let rejected = |status, kind, message| Denied::Rejected {
        status,
        kind,
        message,
    };
    let headers = &head.headers;
    if headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING) {
        let message = "the request has both Content-Length and Transfer-Encoding; send one of them";
        return Err(rejected(StatusCode::BAD_REQUEST, "two_lengths", message));
    }
    if head_bytes(head) > snapshot.limits.header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        let message = "the request line and headers are larger than allowed; send fewer headers";
        return Err(rejected(status, "large_head", message));
    }
    let plan = snapshot.plan(call).map_err(|denial| match denial {
        Denial::NoRoute => rejected(
            StatusCode::NOT_FOUND,
            denial.into(),
            "no route matches this host and path; check both",
        ),
        Denial::UnknownKey => rejected(
            StatusCode::UNAUTHORIZED,
            denial.into(),
            "the API key is missing or unknown; send the key of a workspace",
        ),
    })?;
    Ok((plan, snapshot.limits.body_bytes))
}

/// Logs and counts a denied request; returns its response.
fn deny(ctx: &Context, call: &Call, denied: Denied) -> Response<Body> {
    let outcome = denied.kind();
    let version = ctx.snapshot.load().as_ref().map_or(0, |s| s.version.0);
    tracing::info!(
        id = %call.id, host = %call.host, path = %call.path, version, outcome, "request denied"
    );
    let kind = "none";
    ctx.metrics
        .requests
        .get_or_create(&RequestLabels { kind, outcome })
        .inc();
    denied.response()
}

/// The size of the path and the headers in bytes, with 4 for the separators of each header.
fn head_bytes(head: &Parts) -> usize {
    let fields = head.headers.iter();
    let sizes = fields.map(|(name, value)| name.as_str().len() + value.len() + 4);
    sizes.sum::<usize>() + head.uri.path().len()
}

/// Logs and counts a request whose body is too large or ended early; returns its response.
fn reject_body(ctx: &Context, id: &str, is_large: bool) -> Response<Body> {
    tracing::info!(%id, is_large, "request body rejected");
    let (kind, outcome) = ("none", "bad_body");
    ctx.metrics
        .requests
        .get_or_create(&RequestLabels { kind, outcome })
        .inc();
    if is_large {
        let message = "the request body is larger than allowed; send a shorter one";
        return reply::denied(StatusCode::PAYLOAD_TOO_LARGE, outcome, message);
    }
    let message = "the request body ended early; send the request again";
    reply::denied(StatusCode::BAD_REQUEST, outcome, message)
}

impl Job {
    /// Logs the end of a request and updates its metrics. `server` is the one whose answer was forwarded.
    pub fn record_end(
        &self,
        ctx: &Context,
        outcome: &'static str,
        status: StatusCode,
        server: Option<&BackendId>,
    ) {
        let took = ctx.now().since(self.received);
        let kind: &'static str = self.plan.route.kind.into();
        tracing::info!(
            id = %self.call.id, route = %self.plan.route.name, kind, version = self.plan.version.0,
            server = server.map_or("", BackendId::as_str), status = status.as_u16(), outcome,
            took_ms = took.0, "request ended"
        );
        let labels = RequestLabels { kind, outcome };
        ctx.metrics.requests.get_or_create(&labels).inc();
        if !self.plan.route.kind.is_stream() {
            let cause = Cause { cause: kind };
            let seconds = took.0 as f64 / 1_000.0;
            ctx.metrics.latency.get_or_create(&cause).observe(seconds);
        }
    }
}
