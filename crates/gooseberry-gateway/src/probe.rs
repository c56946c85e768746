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
use crate::fleet::{Lease, Want};
use crate::link::Link;
use crate::{liveness, send};

/// The servers that are asked at once for one placement.
const ASKED: usize = 3;

/// How often others are asked while none has room.
const ROUNDS: usize = 3;

/// How long an engine may take to answer; within a region it takes a few milliseconds.
const LIMIT: Millis = Millis(60);

/// Chooses a server for a prompt: asks a few, and takes the one where the fewest prompts wait.
pub async fn place(ctx: &Arc<Context>, want: &Want<'_>) -> Option<Lease> {
    let ids = ctx.servers.shortlist(ctx.now(), want, ASKED * ROUNDS);
    if ids.len() < 2 {
        return ctx.servers.place(ctx.now(), want);
    }
    let need = want.need();
    let mut told = Vec::with_capacity(ids.len());
    for round in ids.chunks(ASKED) {
        told.extend(join_all(round.iter().map(|id| ask(ctx, id, want.load.prefill))).await);
        if need.fits_any(&told) {
            break;
        }
    }
    let chosen = best_report(&told, &need)?;
    tracing::debug!(server = %ids[chosen], ?told, "engines asked");
    let lease = ctx.servers.take(ctx.now(), &ids[chosen], want.load);
    lease.or_else(|| ctx.servers.place(ctx.now(), want))
}

/// Asks one server; `None` if it does not answer.
async fn ask(ctx: &Arc<Context>, id: &BackendId, prompt: u64) -> Option<LoadReport> {
    let work = exchange(ctx, id);
    let report = match tokio::time::timeout(LIMIT.duration(), work).await {
        Ok(report) => report?,
        Err(_) => {
            liveness::check(ctx, id);
            return None;
        }
    };
    // A report is some hundred milliseconds old; this host's own prompts may not be in it.
    let own = ctx.servers.prefill(id).div_ceil(prompt.max(1));
    Some(LoadReport {
        waiting: report.queued.max(own),
        running: report.running,
        used: report.kv_used,
    })
}

async fn exchange(ctx: &Arc<Context>, id: &BackendId) -> Option<Report> {
    let addr = ctx.servers.addr(id)?;
    let mut link = match send::link(ctx, id, addr, LIMIT, "report").await {
        Ok(link) => link,
        Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {
            liveness::check(ctx, id);
            return None;
        }
        Err(error) => {
            tracing::info!(server = %id, %error, "server not reachable");
            liveness::lost(ctx, id);
            return None;
        }
    };
    let report = report(&mut link).await?;
    let now = ctx.now();
    ctx.servers.heard(id, now);
    ctx.servers.keep(id, link, now, None);
    Some(report)
}

/// Asks a server for its report; `None` if it is no engine.
pub async fn report(link: &mut Link) -> Option<Report> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(report::PATH);
    let (status, body) = link.fetch(request).await.ok()?;
    report::decode(status, &body)
}
