//! Requests whose answers are whole: calls to plain services.

use std::sync::Arc;

use balance::place::Load;
use base::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use platform::response::{self, Head};
use relay::{Action, Outcome, SendHistory};

use crate::context::Context;
use crate::fleet::{Lease, Want};
use crate::reply::{self, Body};
use crate::send::{self, Extra, Job, Opened, Unanswered};

/// The largest answer that is held in memory, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// What a caller is told whose call no server answered.
const UNANSWERED: Unanswered = Unanswered {
    refused: "no backend server could take the request; it has not run, come back later",
    after_ms: 300,
    timeout: "no answer came within the time limit; the request may have run",
    lost: "the backend server was lost before its answer was whole; the request may have run",
};

/// A whole answer of a backend server.
#[derive(Debug)]
struct Answer {
    response: Response<Bytes>,
    head: Head,
}

/// Runs a call and answers its caller.
pub async fn run(ctx: &Arc<Context>, job: &Job) -> Response<Body> {
    let mut tries = SendHistory::default();
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
            return job.end(ctx, tries.abandon(), "no_server", &UNANSWERED);
        };
        let left = job.left(ctx.now()).duration();
        let sent = tokio::time::timeout(left, exchange(ctx, job, &lease)).await;
        let (outcome, answer) = match sent {
            Ok(Ok(answer)) if is_failure(&answer.head) => (Outcome::Failed, Some(answer)),
            Ok(Ok(answer)) => (Outcome::Answered, Some(answer)),
            Ok(Err(outcome)) => (outcome, None),
            Err(_) => {
                ctx.metrics.count_send(Outcome::TimedOut.into());
                return job.end(ctx, Action::ReportUnknown, "timeout", &UNANSWERED);
            }
        };
        let server = lease.id.clone();
        drop(lease);
        let next = job.after(ctx, &mut tries, outcome).await;
        tracing::debug!(id = %job.call.id, %server, %outcome, %next, "call");
        match (next, answer) {
            (Action::Deliver, Some(answer)) => return deliver(ctx, job, answer, &server),
            (Action::Resend, _) => avoid.push(server),
            (next, _) => return job.end(ctx, next, outcome.into(), &UNANSWERED),
        }
        if outcome == Outcome::NotRun && !job.pause(ctx, &tries).await {
            return job.end(ctx, tries.abandon(), outcome.into(), &UNANSWERED);
        }
    }
}

/// Whether the server ran the request and failed, so that another server may do better.
fn is_failure(head: &Head) -> bool {
    head.status.is_server_error()
}

/// Sends the request and reads the whole answer.
async fn exchange(ctx: &Arc<Context>, job: &Job, lease: &Lease) -> Result<Answer, Outcome> {
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
    *response.headers_mut() = response::forward_headers(&parts.headers);
    job.record_end(ctx, "answered", parts.status, Some(server));
    response
}
