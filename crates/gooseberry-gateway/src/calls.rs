//! Requests whose answers are whole: calls to plain services.

use std::sync::Arc;

use balance::place::Load;
use base::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Response, StatusCode};
use platform::answer::{self, Head};
use relay::{Next, Outcome, Tries};

use crate::context::Context;
use crate::fleet::Want;
use crate::reply::{self, Body};
use crate::send::{self, Extra, Job, Opened};

/// The largest answer that is held in memory, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// When a caller may come back whose request no server could take, in milliseconds.
const RETRY_AFTER_MS: u64 = 300;

/// A whole answer of a backend server.
#[derive(Debug)]
struct Answer {
    response: Response<Bytes>,
    head: Head,
}

/// Runs a call and answers its caller.
pub async fn run(ctx: &Arc<Context>, job: &Job) -> Response<Body> {
    let mut tries = Tries::default();
    let mut avoid: Vec<BackendId> = Vec::new();
    loop {
        let want = Want {
            service: job.plan.service.as_str(),
            load: Load {
                running: 1,
                ..Load::default()
            },
            avoid: &avoid,
            ..Want::default()
        };
        let Some(lease) = ctx.servers.place(ctx.now(), &want) else {
            return end(ctx, job, tries.give_up(), "no_server");
        };
        let left = job.left(ctx.now()).duration();
        let sent = tokio::time::timeout(left, exchange(ctx, job, &lease)).await;
        let (outcome, answer) = match sent {
            Ok(Ok(answer)) if is_failure(&answer.head) => (Outcome::Failed, Some(answer)),
            Ok(Ok(answer)) => (Outcome::Answered, Some(answer)),
            Ok(Err(outcome)) => (outcome, None),
            Err(_) => {
                ctx.metrics.sent(Outcome::Silent.into());
                return end(ctx, job, Next::Unknown, "timeout");
            }
        };
        let route = &job.plan.route;
        let next = tries.next(outcome, route.kind, route.attempts, || ctx.spend(job));
        tracing::debug!(id = %job.call.id, server = %lease.id, %outcome, %next, "call");
        match (next, answer) {
            (Next::Deliver, Some(answer)) => return deliver(ctx, job, answer, &lease.id),
            (Next::Resend, _) => avoid.push(lease.id.clone()),
            (next, _) => return end(ctx, job, next, outcome.into()),
        }
        drop(lease);
        if outcome == Outcome::NotRun && !job.pause(ctx, &tries).await {
            return end(ctx, job, tries.give_up(), outcome.into());
        }
    }
}

/// Whether the server ran the request and failed, so that another server may do better.
fn is_failure(head: &Head) -> bool {
    head.status.is_server_error()
}

/// Sends the request and reads the whole answer.
async fn exchange(
    ctx: &Arc<Context>,
    job: &Job,
    lease: &crate::fleet::Lease,
) -> Result<Answer, Outcome> {
    let opened = send::open(ctx, job, lease, &Extra::default()).await?;
    let Opened {
        response,
        head,
        link,
    } = opened;
    let (parts, body) = response.into_parts();
    let whole = match Limited::new(body, MAX_ANSWER).collect().await {
        Ok(whole) => whole.to_bytes(),
        Err(error) => {
            tracing::info!(id = %job.call.id, server = %lease.id, %error, "answer cut off");
            return Err(Outcome::Broken);
        }
    };
    if !head.closes {
        ctx.servers.keep(&lease.id, link, ctx.now(), head.idle);
    }
    Ok(Answer {
        response: Response::from_parts(parts, whole),
        head,
    })
}

/// Passes a server's answer on.
fn deliver(ctx: &Context, job: &Job, answer: Answer, server: &BackendId) -> Response<Body> {
    let (parts, body) = answer.response.into_parts();
    let mut response = Response::new(reply::whole(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = answer::forwarded(&parts.headers);
    job.ended(ctx, "answered", parts.status, Some(server));
    response
}

/// Answers a request that no server answered.
fn end(ctx: &Context, job: &Job, next: Next, cause: &'static str) -> Response<Body> {
    let response = match next {
        Next::Refuse => reply::refused(
            "no_capacity",
            "no backend server could take the request; it has not run, come back later",
            RETRY_AFTER_MS,
        ),
        _ if cause == "timeout" => reply::unknown(
            StatusCode::GATEWAY_TIMEOUT,
            "timeout",
            "no answer came within the time limit; the request may have run",
        ),
        _ => reply::unknown(
            StatusCode::BAD_GATEWAY,
            "lost",
            "the backend server was lost before its answer was whole; the request may have run",
        ),
    };
    job.ended(ctx, cause, response.status(), None);
    response
}
