//! Placement of prompts by polling engines for their load.

use std::sync::Arc;

use balance::place::{Load, LoadReport, best_report};
use base::prelude::*;
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::http::response::Parts;
use hyper::{Request, Uri};
use platform::kv_list;
use platform::report::{self, Report};
use platform::response;

use crate::context::Context;
use crate::fleet::{Lease, PlacementRequest};
use crate::link::Link;
use crate::paths::NoServer;
use crate::send::Job;
use crate::{liveness, notices, paths, send};

/// Number of servers polled at once for one placement.
const POLL_SIZE: usize = 3;

/// Maximum number of polls for one placement, each of further servers, while none has room.
const MAX_ROUNDS: usize = 3;

/// Turns that a poll of a limited server uses: its own and that of the request that may follow.
const POLL_TURNS: u64 = 2;

/// Maximum size of an engine's response about itself; the list of cached prompts is the largest.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Time limit for an engine to answer; within a region it takes a few milliseconds.
const POLL_TIMEOUT: Millis = Millis(60);

/// Leases a server for a prompt: polls a few, and chooses the one with the fewest waiting prompts.
///
/// # Errors
///
/// As [`paths::place_in_turn`].
pub async fn place(
    ctx: &Arc<Context>,
    job: &Job,
    request: &PlacementRequest<'_>,
) -> Result<Lease, NoServer> {
    match place_polled(ctx, request).await {
        Some(lease) => Ok(lease),
        None => paths::place_in_turn(ctx, job, request).await,
    }
}

/// Leases the best of a few polled servers; `None` if there are too few to choose from, or it may not take the request.
async fn place_polled(ctx: &Arc<Context>, request: &PlacementRequest<'_>) -> Option<Lease> {
    let mut ids = ctx
        .servers
        .shortlist(ctx.now(), request, POLL_SIZE * MAX_ROUNDS);
    if ids.len() < 2 {
        return None;
    }
    let need = request.need();
    let prompt = Prompt {
        tokens: request.load.prefill,
        cached_as: request.prompt_hash.filter(|_| request.is_resumed),
    };
    // Any of them may have the prompt of a resumed generation cached.
    let poll_size = if prompt.cached_as.is_some() {
        ids.len()
    } else {
        POLL_SIZE
    };
    let mut reports = Vec::with_capacity(ids.len());
    for round in ids.chunks_mut(poll_size) {
        let answers = join_all(round.iter().map(|id| poll(ctx, id, &prompt))).await;
        for (id, answer) in round.iter_mut().zip(answers) {
            reports.push(answer.map(|a| {
                *id = a.server;
                a.report
            }));
        }
        if need.fits_any(&reports) {
            break;
        }
    }
    let chosen = best_report(&reports, &need)?;
    let cached = reports[chosen].map_or(0, |r| r.cached);
    if request.is_resumed {
        let cause = if cached > 0 { "cached" } else { "not_cached" };
        ctx.metrics.count_resumed_prompt(cause);
    }
    tracing::debug!(server = %ids[chosen], cached, told = ?reports, "engines polled for load");
    let load = Load {
        prefill: request.load.prefill.saturating_sub(cached),
        ..request.load
    };
    let now = ctx.now();
    // A poll that was answered has taken the turn of the request as well.
    let has_turn = reports[chosen].is_some() || ctx.servers.take_turns(&ids[chosen], now, 1);
    has_turn.then(|| ctx.servers.lease(now, &ids[chosen], load))?
}

/// A prompt to be placed.
struct Prompt {
    /// Its size in tokens.
    tokens: u64,
    /// Its content hash if servers are asked how much of it they have cached.
    cached_as: Option<u64>,
}

/// The answer of a polled server.
struct Answer {
    /// The server; not the one that was polled if that has restarted under another id.
    server: BackendId,
    report: LoadReport,
}

/// Polls one server; `None` if it does not answer or another one that is not usable yet has replaced it.
async fn poll(ctx: &Arc<Context>, id: &BackendId, prompt: &Prompt) -> Option<Answer> {
    if !ctx.servers.take_turns(id, ctx.now(), POLL_TURNS) {
        return None;
    }
    let exchange = fetch(ctx, id, prompt);
    let (server, report, cached) =
        match tokio::time::timeout(POLL_TIMEOUT.duration(), exchange).await {
            Ok(answer) => answer?,
            Err(_) => {
                liveness::spawn_check(ctx, id);
                return None;
            }
        };
    // A report is some hundred milliseconds old and may not include this host's latest prompts.
    let own = ctx.servers.prefill(&server).div_ceil(prompt.tokens.max(1));
    let report = LoadReport {
        waiting: report.queued.max(own),
        running: report.running,
        used: report.kv_used,
        cached,
    };
    Some(Answer { server, report })
}

/// Fetches a server's report, and how many tokens of the prompt it has cached, over an idle or a new
/// connection. Returns the server that answered with them.
async fn fetch(
    ctx: &Arc<Context>,
    id: &BackendId,
    prompt: &Prompt,
) -> Option<(BackendId, Report, u64)> {
    let addr = ctx.servers.addr(id)?;
    let mut link = match send::connect(ctx, id, addr, POLL_TIMEOUT, "report").await {
        Ok(link) => link,
        Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {
            liveness::spawn_check(ctx, id);
            return None;
        }
        Err(error) => {
            tracing::info!(server = %id, %error, "server not reachable");
            liveness::handle_unreachable(ctx, id);
            return None;
        }
    };
    let (parts, body) = get(&mut link, report::PATH).await?;
    notices::record(ctx, id, None, &response::notice(&parts));
    let report = report::decode(parts.status, &body)?;
    let started = ctx.servers.start_time(id);
    let server = if started.is_some_and(|at| at < report.start_time) {
        restarted_server(ctx, id, &report, &mut link).await?
    } else {
        id.clone()
    };
    let cached = match prompt.cached_as {
        Some(hash) => fetch_cached(&mut link, hash).await?,
        None => 0,
    };
    let now = ctx.now();
    ctx.servers.record_activity(&server, now);
    ctx.servers.keep_idle(&server, link, now, None);
    Some((server, report, cached))
}

/// The server that has restarted at the address of `id`; `None` if it is not known or not usable.
///
/// A request sent to `id` would be rejected and cost a retry, at each host once.
async fn restarted_server(
    ctx: &Arc<Context>,
    id: &BackendId,
    report: &Report,
    link: &mut Link,
) -> Option<BackendId> {
    let service = ctx.servers.service(id)?;
    let path: Uri = {
        let snapshot = ctx.snapshot.load();
        let service = snapshot.as_ref()?.service(&service)?;
        service.health.parse().ok()?
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path;
    let (parts, _) = link.fetch(request, MAX_RESPONSE_BYTES).await?;
    let server = response::server(&parts.headers)?;
    liveness::record_restart(ctx, id, &server, report.start_time);
    ctx.servers.addr(&server).map(|_| server)
}

/// Fetches how many tokens of the prompt part `content_hash` a server has cached, 0 if it keeps no list;
/// `None` if the connection fails.
async fn fetch_cached(link: &mut Link, content_hash: u64) -> Option<u64> {
    let (parts, body) = get(link, kv_list::PATH).await?;
    Some(kv_list::decode(parts.status, &body, content_hash).unwrap_or(0))
}

/// Fetches a server's load report; `None` if the connection fails or the server is not an engine.
pub async fn fetch_report(link: &mut Link) -> Option<Report> {
    let (parts, body) = get(link, report::PATH).await?;
    report::decode(parts.status, &body)
}

/// Sends a GET request and reads the complete response; `None` if the connection fails.
async fn get(link: &mut Link, path: &'static str) -> Option<(Parts, Bytes)> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(path);
    link.fetch(request, MAX_RESPONSE_BYTES).await
}
