//! Asks engines for their load before a prompt is placed.

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

/// The servers that are asked at once for one placement.
const POLL_SIZE: usize = 3;

/// How often others are asked while none has room.
const MAX_ROUNDS: usize = 3;

/// How long an engine may take to answer; within a region it takes a few milliseconds.
const POLL_TIMEOUT: Millis = Millis(60);

/// Chooses a server for a prompt: asks a few, and takes the one where the fewest prompts wait.
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
    tracing::debug!(server = %ids[chosen], told = ?reports, "engines asked");
    let lease = ctx.servers.lease(ctx.now(), &ids[chosen], request.load);
    lease.or_else(|| ctx.servers.place(ctx.now(), request))
}

/// Asks one server; `None` if it does not answer.
async fn poll(ctx: &Arc<Context>, id: &BackendId, prompt_tokens: u64) -> Option<LoadReport> {
    let exchange = exchange(ctx, id);
    let report = match tokio::time::timeout(POLL_TIMEOUT.duration(), exchange).await {
        Ok(report) => report?,
        Err(_) => {
            liveness::spawn_check(ctx, id);
            return None;
        }
    };
    // A report is some hundred milliseconds old; this host's own prompts may not be in it.
    let own = ctx.servers.prefill(id).div_ceil(prompt_tokens.max(1));
    Some(LoadReport {
        waiting: report.queued.max(own),
        running: report.running,
        used: report.kv_used,
    })
}

async fn exchange(ctx: &Arc<Context>, id: &BackendId) -> Option<Report> {
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

/// Asks a server for its report; `None` if it is no engine.
pub async fn fetch_report(link: &mut Link) -> Option<Report> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(report::PATH);
    let (status, body) = link.fetch(request).await.ok()?;
    report::decode(status, &body)
}
