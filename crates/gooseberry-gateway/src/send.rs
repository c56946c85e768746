//! Sends a caller's request to one backend server, up to the head of the response.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use base::hash::fingerprint;
use base::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};
use platform::request::{self, AttemptHeaders, KvBackup};
use platform::response::{self, Head};
use relay::{Action, Outcome, SendHistory, Suspicion};
use routing::{Call, Plan};

use crate::context::{Context, InFlight};
use crate::fleet::Lease;
use crate::link::{Link, SendError};
use crate::reply::{self, Body};
use crate::{link, liveness, notices, paths, tunnel};

/// Time limit for opening a connection; within a data centre it takes a few milliseconds.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// Maximum size of a rejection's body, after which the connection is used again.
const MAX_REJECTION_BYTES: usize = 64 << 10;

/// Time limit for the rest of a rejection once its head has arrived; without it the connection is closed.
const REJECTION_TIMEOUT: Millis = Millis(100);

/// Longest time after which a caller is told to retry a request for which no server has a turn.
const MAX_TURN_RETRY: Millis = Millis(1_000);

/// A caller's request, with its complete body and the route that it takes.
#[derive(Debug)]
pub struct Job {
    /// The decoded head.
    pub call: Call,
    /// Route, service and workspace that the configuration assigns to it.
    pub plan: Plan,
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub uri: Uri,
    /// Headers sent with every attempt.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// When the head of the request arrived.
    pub received: Millis,
    /// When the caller's time limit ends; no attempt continues after it.
    pub deadline: Millis,
    /// Counts the request as in flight until its response is complete.
    pub guard: InFlight,
    /// The [`Job::fingerprint`] once it has been asked for.
    pub hash: OnceLock<u64>,
}

/// Additions to a send that only streams have.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamOptions<'a> {
    /// Id of the last event that the caller has; `None` from the beginning.
    pub last_event: Option<u64>,
    /// Address of the backup server to which the KV cache is to be copied.
    pub backup_to: Option<SocketAddr>,
    /// KV cache backup of an earlier attempt, from which this one resumes.
    pub backup: Option<&'a KvBackup>,
}

/// A response that belongs to the request, whose head has been received and checked.
#[derive(Debug)]
pub struct OpenResponse {
    /// The response; its body is not read yet.
    pub response: Response<Incoming>,
    /// The decoded head.
    pub head: Head,
    /// The connection on which the body arrives.
    pub link: Link,
}

/// Bytes of an answer, which count as in flight until they have been written.
struct InFlightBytes<T> {
    bytes: T,
    _job: Arc<Job>,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for InFlightBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

impl Job {
    /// Bytes of the answer, with which the request counts as in flight until they have been written to the caller.
    pub fn in_flight<T>(self: &Arc<Self>, bytes: T) -> Bytes
    where
        T: AsRef<[u8]> + Send + 'static,
    {
        Bytes::from_owner(InFlightBytes {
            bytes,
            _job: Arc::clone(self),
        })
    }

    /// Hash of what makes two requests equal to a server: method, host, path, query, workspace and body.
    pub fn fingerprint(&self) -> u64 {
        let workspace = self.plan.workspace.as_ref().map(|w| w.name.as_str());
        let target = self.uri.path_and_query().map(|t| t.as_str());
        let fields = [
            self.method.as_str(),
            &self.call.host,
            target.unwrap_or_default(),
            workspace.unwrap_or_default(),
        ];
        let [method, host, target, workspace] = fields.map(str::as_bytes);
        *self
            .hash
            .get_or_init(|| fingerprint(&[method, host, target, workspace, &self.body]))
    }

    /// Time left until the deadline; 0 once it has passed.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// The next step after a send that ended with `outcome`; waits for the retry budget if a retry is needed, and gives
    /// up a request that is taken for the cause of its servers' ends.
    pub async fn next_action(
        &self,
        ctx: &Context,
        history: &mut SendHistory,
        suspicion: &Suspicion,
        outcome: Outcome,
    ) -> Action {
        let route = &self.plan.route;
        match history.record(outcome, route.kind, route.attempts) {
            Action::Deliver => Action::Deliver,
            _ if suspicion.is_convincing() => history.abandon(),
            Action::Retry if ctx.acquire_retry(self).await => Action::Resend,
            Action::Retry => history.without_retry(outcome),
            action => action,
        }
    }

    /// The error response for a request for which no server can be chosen; `retry` is the time until a limited server
    /// may take it, if there is one.
    pub fn answer_unplaced(
        &self,
        ctx: &Context,
        history: &SendHistory,
        retry: Option<Millis>,
        texts: &FailureTexts,
    ) -> Response<Body> {
        match (history.abandon(), retry) {
            (Action::Refuse, Some(retry)) => self.refuse(
                ctx,
                "limited",
                "the backend servers take no more requests at present; the request has not run, retry later",
                // Another host may have a turn sooner.
                retry.min(MAX_TURN_RETRY).0,
            ),
            (action, _) => self.answer_failure(ctx, action, "no_server", texts),
        }
    }

    /// The response that refuses the request, which has not run; logs and counts its end as `cause`.
    pub fn refuse(
        &self,
        ctx: &Context,
        cause: &'static str,
        message: &str,
        retry_ms: u64,
    ) -> Response<Body> {
        let response = reply::refused(cause, message, retry_ms);
        self.record_end(ctx, cause, response.status(), None);
        response
    }

    /// Logs that no server can be chosen, with the counts that tell the reasons apart.
    pub fn log_no_server(&self, ctx: &Context) {
        let counts = ctx.servers.counts(ctx.now(), self.plan.service.as_str());
        tracing::info!(
            id = %self.call.id, service = %self.plan.service, listed = counts.listed,
            usable = counts.usable, ejected = counts.ejected, suspected = counts.suspected,
            "no server can be chosen"
        );
    }

    /// Waits for the backoff after a rejection; returns `false` at once if there is no time for another send.
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

    /// The request as sent to the leased server.
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

/// Sends a request to the leased server and waits for the head of the response; counts and logs the outcome.
///
/// # Errors
///
/// The outcome, unless a response to this request arrives from a server that ran it.
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
    ctx.metrics.count_send(cause);
    if let Err(outcome) = &result {
        tracing::info!(
            id = %job.call.id, server = %lease.id, %outcome, age_ms = ctx.now().since(job.received).0,
            left_ms = job.time_left(ctx.now()).0, version = job.plan.version.0, "send failed"
        );
    }
    result
}

/// Sends a request, receives the head of the response and checks it.
async fn exchange_heads(
    ctx: &Arc<Context>,
    job: &Job,
    lease: &Lease,
    options: &StreamOptions<'_>,
) -> Result<OpenResponse, Outcome> {
    let mut link = connect_leased(ctx, lease).await?;
    // A stream that is resumed has an answer already, which goes on until the process ends.
    if options.last_event == job.call.last_event && !ctx.may_start(job.deadline) {
        tracing::info!(id = %job.call.id, server = %lease.id, "request not sent: the host is stopping");
        ctx.servers.keep_idle(&lease.id, link, ctx.now(), None);
        return Err(Outcome::Unsent);
    }
    // The server may have said so to another request since it was leased.
    if !ctx.servers.takes_requests(&lease.id, ctx.now()) {
        tracing::info!(id = %job.call.id, server = %lease.id, "request not sent: the server wants none");
        ctx.servers.keep_idle(&lease.id, link, ctx.now(), None);
        return Err(Outcome::Unsent);
    }
    let request = job.build_request(ctx.now(), lease, options);
    let sent = ctx.now();
    let response = match link.send(request).await {
        Ok(response) => response,
        Err(SendError::Unsent) => return Err(Outcome::Unsent),
        Err(SendError::Broken(_)) => {
            ctx.record_broken(&link);
            liveness::handle_failure(ctx, &lease.id);
            return Err(Outcome::Broken);
        }
    };
    ctx.servers.record_activity(&lease.id, ctx.now());
    let (parts, body) = response.into_parts();
    let head = response::decode(&parts, &job.call.id);
    let speaker = head.answered_by.as_ref().unwrap_or(&lease.id);
    notices::record(ctx, speaker, Some(sent), &head.notice);
    if head.is_from_host {
        tracing::info!(id = %job.call.id, server = %lease.id, addr = %lease.addr, "row with the address of a host");
        ctx.servers.record_unreachable(&lease.id, ctx.now());
        return Err(match head.status {
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Outcome::Broken,
            _ => Outcome::Moved,
        });
    }
    if head.is_foreign || head.is_encoded || head.ends_by_close && link.hides_loss {
        return Err(Outcome::Broken);
    }
    if let Some(new) = &head.answered_by {
        // The body must be read to its end before the connection can carry another request.
        let rest = link::read_body(body, MAX_REJECTION_BYTES);
        let rest = tokio::time::timeout(REJECTION_TIMEOUT.duration(), rest).await;
        if rest.is_ok_and(|r| r.is_some()) {
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

/// Connects to the leased server; marks it as unreachable if that fails, unless it only wants no requests.
async fn connect_leased(ctx: &Arc<Context>, lease: &Lease) -> Result<Link, Outcome> {
    let connected = connect(
        ctx,
        &lease.id,
        lease.addr,
        CONNECT_TIMEOUT,
        tunnel::FOR_REQUEST,
    );
    match connected.await {
        Ok(link) => Ok(link),
        Err(error) if error.kind() == io::ErrorKind::ResourceBusy => {
            tracing::info!(server = %lease.id, %error, "request not sent");
            Err(Outcome::Unsent)
        }
        Err(error) => {
            liveness::handle_unreachable(ctx, &lease.id);
            tracing::info!(server = %lease.id, addr = %lease.addr, %error, "server not reachable");
            Err(Outcome::Unsent)
        }
    }
}

/// Takes an idle connection to a server, or opens a new one, which is counted under `cause`.
///
/// # Errors
///
/// The operating system's error, or `TimedOut` after `timeout`.
pub async fn connect(
    ctx: &Arc<Context>,
    id: &BackendId,
    addr: SocketAddr,
    timeout: Millis,
    cause: &'static str,
) -> io::Result<Link> {
    if let Some(link) = ctx.servers.take_idle(id, ctx.now()) {
        return Ok(link);
    }
    paths::open(ctx, id, addr, timeout, cause).await
}

/// Error texts for a caller whose request no server answered.
#[derive(Clone, Copy, Debug)]
pub struct FailureTexts {
    /// For a request that has not run.
    pub not_run: &'static str,
    /// Time after which the caller may retry a request that has not run, in milliseconds.
    pub retry_ms: u64,
    /// For a request whose time limit has passed.
    pub timeout: &'static str,
    /// For a request whose server failed; it may have run.
    pub lost: &'static str,
}

impl Job {
    /// The error response for a request that no server answered; logs and counts its end as `cause`.
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
        self.record_end(ctx, cause, response.status(), None);
        response
    }
}
