//! Calls to plain services: the complete response is buffered before the caller gets it.

use std::sync::Arc;

use balance::place::Load;
use base::prelude::*;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use platform::response::{self, Head};
use relay::answer_pool::AnswerShare;
use relay::{Action, Outcome, SendHistory, Suspicion};
use thiserror::Error;

use crate::context::Context;
use crate::fleet::{Lease, PlacementRequest};
use crate::reply::{self, Body};
use crate::send::{self, FailureTexts, Job, OpenResponse, StreamOptions};
use crate::{liveness, paths};

/// Most bytes by which the buffer of an answer grows at once.
const MAX_GROWTH: usize = 256 << 10;

/// Error texts for a caller whose call no server answered.
const FAILURE_TEXTS: FailureTexts = FailureTexts {
    not_run: "no backend server could take the request; it has not run, retry later",
    retry_ms: 300,
    timeout: "no answer arrived within the time limit; the request may have run",
    lost: "the backend server failed before its answer was complete; the request may have run",
};

/// A complete response of a backend server.
#[derive(Debug)]
struct FullAnswer {
    response: Response<Bytes>,
    head: Head,
}

/// Runs a call, with retries at other servers; returns the response for the caller.
pub async fn run(ctx: &Arc<Context>, job: &Arc<Job>) -> Response<Body> {
    let mut history = SendHistory::default();
    let mut suspicion = Suspicion::default();
    let mut avoid: Vec<BackendId> = Vec::new();
    loop {
        if !ctx.may_start(job.deadline) {
            return job.answer_failure(ctx, history.abandon(), "stopping", &FAILURE_TEXTS);
        }
        if let Err(left) = job.until_admitted(ctx).await {
            return job.answer_quarantined(ctx, &history, left, &FAILURE_TEXTS);
        }
        let request = PlacementRequest {
            service: job.plan.service.as_str(),
            load: Load {
                running: 1,
                ..Load::default()
            },
            avoid: &avoid,
            ..PlacementRequest::default()
        };
        let lease = match paths::place_in_turn(ctx, job, &request).await {
            Ok(lease) => lease,
            Err(none) => {
                job.log_no_server(ctx);
                return job.answer_unplaced(ctx, &history, none.retry, &FAILURE_TEXTS);
            }
        };
        let time_left = job.time_left(ctx.now()).duration();
        let is_indirect = ctx.servers.is_indirect(&lease.id);
        let exchange = exchange(ctx, job, &lease);
        let result = tokio::select! {
            biased;
            result = tokio::time::timeout(time_left, exchange) => result,
            () = until_unreachable(ctx, job, &lease.id) => {
                ctx.metrics.count_send(Outcome::TimedOut.into());
                Ok(Err(Outcome::TimedOut))
            }
        };
        let (outcome, answer) = match result {
            Ok(Ok(answer)) if is_failure(&answer.head) => (Outcome::Failed, Some(answer)),
            Ok(Ok(answer)) => (Outcome::Answered, Some(answer)),
            Ok(Err(outcome)) => (outcome, None),
            Err(_) => {
                ctx.metrics.count_send(Outcome::TimedOut.into());
                return job.answer_failure(ctx, Action::ReportUnknown, "timeout", &FAILURE_TEXTS);
            }
        };
        let server = lease.id.clone();
        drop(lease);
        if answer.is_some() {
            job.record_run(ctx);
        } else if outcome == Outcome::Broken && job.check_crash(ctx, &server, is_indirect).await {
            suspicion.record_lost(true);
        }
        let action = job
            .next_action(ctx, &mut history, &suspicion, outcome)
            .await;
        tracing::debug!(id = %job.call.id, %server, %outcome, next = %action, "call attempt ended");
        match (action, answer) {
            (Action::Deliver, Some(answer)) => return deliver(ctx, job, answer, &server),
            (Action::Resend, _) => avoid.push(server),
            (action, _) => return job.answer_failure(ctx, action, outcome.into(), &FAILURE_TEXTS),
        }
        if outcome == Outcome::NotRun && !job.back_off(ctx, &history).await {
            return job.answer_failure(ctx, history.abandon(), outcome.into(), &FAILURE_TEXTS);
        }
    }
}

/// Waits until the server of a call that may be retried fails a probe; never completes for any other call, whose
/// answer may still come.
async fn until_unreachable(ctx: &Arc<Context>, job: &Job, id: &BackendId) {
    if !job.plan.route.kind.may_retry() {
        return std::future::pending().await;
    }
    liveness::until_unreachable(ctx, id).await;
}

/// Whether the server ran the request and failed, so that a retry at another server may succeed.
fn is_failure(head: &Head) -> bool {
    head.status.is_server_error()
}

/// Sends the request and reads the complete response.
async fn exchange(
    ctx: &Arc<Context>,
    job: &Arc<Job>,
    lease: &Lease,
) -> Result<FullAnswer, Outcome> {
    let opened = send::send_request(ctx, job, lease, &StreamOptions::default()).await?;
    let OpenResponse {
        response,
        head,
        link,
    } = opened;
    let (parts, body) = response.into_parts();
    let body = match read_answer(ctx, body).await {
        Ok(buffered) => job.in_flight(buffered),
        Err(error) => {
            tracing::info!(
                id = %job.call.id, server = %lease.id, %error,
                "failed to read the response body"
            );
            return Err(Outcome::Broken);
        }
    };
    if !head.closes {
        ctx.servers.keep_idle(&lease.id, link, ctx.now(), head.idle);
    }
    Ok(FullAnswer {
        response: Response::from_parts(parts, body),
        head,
    })
}

/// Why an answer cannot be buffered.
#[derive(Debug, Error)]
enum ReadError {
    /// The connection broke, or the answer is malformed.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
    /// Too little of the memory for answers is left free.
    #[error("the answer is too large to be buffered")]
    TooLarge,
}

/// A buffered body; its memory is released once it has been written to the caller.
#[derive(Debug)]
struct Buffered {
    bytes: Vec<u8>,
    share: AnswerShare,
}

impl AsRef<[u8]> for Buffered {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Buffered {
    /// Appends `data`.
    ///
    /// # Errors
    ///
    /// [`ReadError::TooLarge`].
    fn push(&mut self, data: &[u8]) -> Result<(), ReadError> {
        let missing = data
            .len()
            .saturating_sub(self.bytes.capacity() - self.bytes.len());
        if missing > 0 {
            let growth = self.bytes.capacity().min(MAX_GROWTH).max(missing);
            if !self.share.grow(growth) {
                return Err(ReadError::TooLarge);
            }
            let spare = self.bytes.capacity() - self.bytes.len();
            self.bytes.reserve_exact(spare + growth);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

/// Reads a complete answer.
async fn read_answer(ctx: &Context, mut body: Incoming) -> Result<Buffered, ReadError> {
    let mut buffered = Buffered {
        bytes: Vec::new(),
        share: ctx.answers.share(),
    };
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        if let Some(data) = frame.data_ref() {
            buffered.push(data)?;
        }
    }
    Ok(buffered)
}

/// Forwards a server's response to the caller.
fn deliver(ctx: &Context, job: &Job, answer: FullAnswer, server: &BackendId) -> Response<Body> {
    let (parts, body) = answer.response.into_parts();
    let mut response = Response::new(reply::full(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = response::forward_headers(&parts.headers);
    job.record_end(ctx, "answered", parts.status, Some(server));
    response
}
