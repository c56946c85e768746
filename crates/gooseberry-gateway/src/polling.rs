//! Placement of prompts by polling engines for their load.

use std::sync::Arc;

use balance::place::{LoadReport, best_report};
use base::prelude::*;
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::{Request, Uri};
use platform::report::{self, Report};

use crate::context::Context;
use crate::fleet::{Lease, PlacementRequest};
use crate::link::Link;
use crate::{liveness, send};

/// Number of servers polled at once for one placement.
const POLL_SIZE: usize = 3;

/// Maximum number of polls for one placement, each of further servers, while none has room.
const MAX_ROUNDS: usize = 3;

/// Time limit for an engine to answer; within a region it takes a few milliseconds.
const POLL_TIMEOUT: Millis = Millis(60);

/// Leases a server for a prompt: polls a few, and chooses the one with the fewest waiting prompts.
pub async fn place(ctx: &Arc<Context>, request: &PlacementRequest<'_>) -> Option<Lease> {
    let ids = ctx
        .servers
        .shortlist(ctx.now(), request, POLL_SIZE * MAX_ROUNDS);
    if ids.len() < 2 {
        return ctx.servers.place(ctx.now(), request);
    }
    let need = request.need();
    let mut reports = Vec::with_capacity(ids.len());
    for round in ids.chunks(POLL_SIZE) {
        reports.extend(join_all(round.iter().map(|id| poll(ctx, id, request.load.prefill))).await);
        if need.fits_any(&reports) {
            break;
        }
    }
    let chosen = best_report(&reports, &need)?;
    tracing::debug!(server = %ids[chosen], told = ?reports, "engines polled for load");
    let lease = ctx.servers.lease(ctx.now(), &ids[chosen], request.load);
    lease.or_else(|| ctx.servers.place(ctx.now(), request))
}

/// Polls one server; `None` if it does not answer. `prompt_tokens` is the size of the prompt to be placed.
async fn poll(ctx: &Arc<Context>, id: &BackendId, prompt_tokens: u64) -> Option<LoadReport> {
    let exchange = fetch(ctx, id);
    let report = match tokio::time::timeout(POLL_TIMEOUT.duration(), exchange).await {
        Ok(report) => report?,
        Err(_) => {
            liveness::spawn_check(ctx, id);
            return None;
        }
    };
    // A report is some hundred milliseconds old and may not include this host's latest prompts.
    let own = ctx.servers.prefill(id).div_ceil(prompt_tokens.max(1));
    Some(LoadReport {
        waiting: report.queued.max(own),
        running: report.running,
        used: report.kv_used,
    })
}

/// Fetches a server's report over an idle or a new connection.
async fn fetch(ctx: &Arc<Context>, id: &BackendId) -> Option<Report> {
    let addr = ctx.servers.addr(id)?;
    let mut link = match send::connect(ctx, id, addr, POLL_TIMEOUT, "report").await {
        Ok(link) => link,
        Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {
            liveness::spawn_check(ctx, id);
            return None;
        }
        Err(error) => {
            tracing::info!(server = %id, %error, "server not reachable");
            liveness::handle_failure(ctx, id);
            return None;
        }
    };
    let report = fetch_report(&mut link).await?;
    let now = ctx.now();
    ctx.servers.record_activity(id, now);
    ctx.servers.keep_idle(id, link, now, None);
    Some(report)
}

/// Fetches a server's load report; `None` if the connection fails or the server is not an engine.
pub async fn fetch_report(link: &mut Link) -> Option<Report> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(report::PATH);
    let (status, body) = link.fetch(request).await.ok()?;
    report::decode(status, &body)
}
