//! One send of a caller's request to a backend server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};
use platform::request::{self, AttemptHeaders, KvBackup};
use platform::response::{self, Head};
use relay::{Action, Outcome, SendHistory};
use routing::{Call, Plan};

use crate::context::{Context, InFlight};
use crate::fleet::Lease;
use crate::link::{Link, SendError};
use crate::liveness;
use crate::reply::{self, Body};

/// The longest wait for a new connection; within a data centre it takes a few milliseconds.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// A caller's request, read whole.
#[derive(Debug)]
pub struct Job {
    /// Its head.
    pub call: Call,
    /// What the configuration makes of it.
    pub plan: Plan,
    /// The method.
    pub method: Method,
    /// The path and query, as they came.
    pub uri: Uri,
    /// The headers that every send has.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When the request came.
    pub received: Millis,
    /// When its answer is of no more use.
    pub deadline: Millis,
    /// Counts the request while its answer is not whole.
    pub guard: InFlight,
}

/// What a stream adds to a send.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamOptions<'a> {
    /// The last event that the caller holds.
    pub last_event: Option<u64>,
    /// Where the run's memory is to be copied.
    pub backup_to: Option<SocketAddr>,
    /// Where a copy of an earlier run's memory lies.
    pub backup: Option<&'a KvBackup>,
}

/// The head of an answer that belongs to the request, and what it says.
#[derive(Debug)]
pub struct OpenResponse {
    /// The answer; its body is not read yet.
    pub response: Response<Incoming>,
    /// What its head says.
    pub head: Head,
    /// The connection on which it comes.
    pub link: Link,
}

impl Job {
    /// The time that is left for the caller.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// What is to be done after a send that ended with `outcome`; waits for a repeat if one is needed.
    pub async fn next_action(
        &self,
        ctx: &Context,
        history: &mut SendHistory,
        outcome: Outcome,
    ) -> Action {
        let route = &self.plan.route;
        match history.record(outcome, route.kind, route.attempts) {
            Action::Retry if ctx.acquire_retry(self).await => Action::Resend,
            Action::Retry => history.without_retry(outcome),
            action => action,
        }
    }

    /// Waits before the request is sent again after a rejection; returns whether there is time.
    pub async fn back_off(&self, ctx: &Context, history: &SendHistory) -> bool {
        let age = ctx.now().since(self.received);
        match history.backoff(age, self.deadline.since(self.received)) {
            Some(backoff) => {
                ctx.timer.after(backoff).await;
                true
            }
            None => false,
        }
    }

    /// The request for one server.
    fn build_request(
        &self,
        now: Millis,
        lease: &Lease,
        options: &StreamOptions<'_>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let attempt = AttemptHeaders {
            server: lease.id.as_str(),
            workspace: self.plan.workspace.as_ref().map(|w| w.name.as_str()),
            time_left: self.time_left(now),
            last_event: options.last_event,
            backup_to: options.backup_to,
            backup: options.backup,
        };
        request::encode(&mut headers, &self.call.id, &attempt);
        *request.headers_mut() = headers;
        request
    }
}

/// Sends a request to the server of `lease` and waits for the head of the answer.
///
/// # Errors
///
/// The outcome, if there is no answer that belongs to the request and comes from a server that ran it.
pub async fn send_request(
    ctx: &Arc<Context>,
    job: &Job,
    lease: &Lease,
    options: &StreamOptions<'_>,
) -> Result<OpenResponse, Outcome> {
    let result = exchange_heads(ctx, job, lease, options).await;
    let cause: &'static str = match &result {
        Ok(_) => "answered",
        Err(outcome) => (*outcome).into(),
    };
    ctx.metrics.sent(cause);
    if let Err(outcome) = &result {
        tracing::info!(
            id = %job.call.id, server = %lease.id, %outcome, age_ms = ctx.now().since(job.received).0,
            left_ms = job.time_left(ctx.now()).0, version = job.plan.version.0, "send failed"
        );
    }
    result
}

async fn exchange_heads(
    ctx: &Arc<Context>,
    job: &Job,
    lease: &Lease,
    options: &StreamOptions<'_>,
) -> Result<OpenResponse, Outcome> {
    let mut link = connect_leased(ctx, lease).await?;
    let request = job.build_request(ctx.now(), lease, options);
    let response = match link.send(request).await {
        Ok(response) => response,
        Err(SendError::Unsent) => return Err(Outcome::Unsent),
        Err(SendError::Broken(_)) => {
            liveness::handle_failure(ctx, &lease.id);
            return Err(Outcome::Broken);
        }
    };
    ctx.servers.record_activity(&lease.id, ctx.now());
    let (parts, body) = response.into_parts();
    let head = response::decode(&parts, &job.call.id);
    if head.is_foreign || head.is_encoded {
        return Err(Outcome::Broken);
    }
    if let Some(new) = &head.answered_by {
        // The rest of this answer must be read before the connection carries another request.
        if body.collect().await.is_ok() {
            liveness::adopt(ctx, &lease.id, new, &mut link).await;
        }
        return Err(Outcome::Moved);
    }
    if head.is_unexecuted {
        return Err(Outcome::NotRun);
    }
    if head.status.is_success() && !head.is_sealed {
        return Err(Outcome::Broken);
    }
    let response = Response::from_parts(parts, body);
    Ok(OpenResponse {
        response,
        head,
        link,
    })
}

/// A connection for a send; a server that cannot be reached is left out.
async fn connect_leased(ctx: &Arc<Context>, lease: &Lease) -> Result<Link, Outcome> {
    match connect(ctx, &lease.id, lease.addr, CONNECT_TIMEOUT, "request").await {
        Ok(link) => Ok(link),
        Err(error) => {
            liveness::handle_failure(ctx, &lease.id);
            tracing::info!(server = %lease.id, addr = %lease.addr, %error, "server not reachable");
            Err(Outcome::Unsent)
        }
    }
}

/// An idle connection to a server, or a new one, which is counted under `cause`.
///
/// # Errors
///
/// The system's error, or `TimedOut` after `limit`.
pub async fn connect(
    ctx: &Context,
    id: &BackendId,
    addr: SocketAddr,
    timeout: Millis,
    cause: &'static str,
) -> io::Result<Link> {
    if let Some(link) = ctx.servers.take_idle(id, ctx.now()) {
        return Ok(link);
    }
    ctx.metrics.connected(cause);
    Link::open(addr, timeout).await
}

/// What a caller is told whose request no server answered.
#[derive(Clone, Copy, Debug)]
pub struct FailureTexts {
    /// If it has not run.
    pub not_run: &'static str,
    /// When the caller may come back then, in milliseconds.
    pub retry_ms: u64,
    /// If time ran out.
    pub timeout: &'static str,
    /// If its server was lost.
    pub lost: &'static str,
}

impl Job {
    /// Answers a request that no server answered.
    pub fn answer_failure(
        &self,
        ctx: &Context,
        action: Action,
        cause: &'static str,
        texts: &FailureTexts,
    ) -> Response<Body> {
        let response = match action {
            Action::Refuse => reply::refused("no_capacity", texts.not_run, texts.retry_ms),
            _ if cause == "timeout" => {
                reply::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, "timeout", texts.timeout)
            }
            _ => reply::outcome_unknown(StatusCode::BAD_GATEWAY, "lost", texts.lost),
        };
        self.ended(ctx, cause, response.status(), None);
        response
    }
}
