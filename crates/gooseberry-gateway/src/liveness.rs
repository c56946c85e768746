//! Whether backend servers are there: losses are spread to what shares their fate.
//!
//! A registry lists a dead server for seconds. What this host sees of one server says something of the
//! others in its data centre, which a new connection confirms or refutes within milliseconds.

use std::net::SocketAddr;
use std::sync::Arc;

use base::hash::short;
use base::prelude::*;

use crate::context::Context;
use crate::link::Link;
use crate::polling;

/// A server that runs a prompt and was not heard for this time is asked whether it is there.
const PROBE_IDLE: Millis = Millis(600);

/// How long a server may take to accept a connection when it is asked whether it is there.
const PROBE_TIMEOUT: Millis = Millis(250);

/// A server that was heard within this time is not asked after a loss beside it.
const RECENT_ACTIVITY: Millis = Millis(150);

/// The servers that are asked after a loss beside them; bounds what many hosts do at once.
const MAX_PROBES: usize = 8;

/// A server is not reachable or fell silent: leaves it out, and asks those beside it.
pub fn handle_failure(ctx: &Arc<Context>, id: &BackendId) {
    let now = ctx.now();
    report_unreachable(ctx, id, now);
    for (id, addr) in ctx
        .servers
        .neighbours_to_probe(id, now, RECENT_ACTIVITY, MAX_PROBES)
    {
        let ctx = Arc::clone(ctx);
        tokio::spawn(async move {
            probe(&ctx, &id, addr, PROBE_TIMEOUT).await;
        });
    }
}

/// Leaves a server out and tells the other hosts.
fn report_unreachable(ctx: &Context, id: &BackendId, now: Millis) {
    ctx.servers.record_unreachable(id, now);
    ctx.gossip().server_failed(now, short(id.as_str()));
    ctx.wake_gossip.notify_one();
}

/// Whether a server is there: it was heard within `recent`, or accepts a connection within `limit`.
pub async fn is_reachable(ctx: &Context, id: &BackendId, recent: Millis, timeout: Millis) -> bool {
    let now = ctx.now();
    if now.since(ctx.servers.last_activity(id)) < recent
        && ctx.servers.is_up_since(id, now - recent)
    {
        return true;
    }
    match ctx.servers.addr(id) {
        Some(addr) => probe(ctx, id, addr, timeout).await,
        None => false,
    }
}

/// Has a server that did not answer in time asked whether it is there; the caller goes on.
pub fn spawn_check(ctx: &Arc<Context>, id: &BackendId) {
    let (ctx, id) = (Arc::clone(ctx), id.clone());
    tokio::spawn(async move {
        if !is_reachable(&ctx, &id, RECENT_ACTIVITY, PROBE_TIMEOUT).await {
            handle_failure(&ctx, &id);
        }
    });
}

/// Asks a server whether it is there; returns the answer.
async fn probe(ctx: &Context, id: &BackendId, addr: SocketAddr, timeout: Millis) -> bool {
    ctx.metrics.connected("liveness");
    let connected = Link::open(addr, timeout).await;
    let now = ctx.now();
    match connected {
        Ok(link) => {
            ctx.servers.record_activity(id, now);
            ctx.servers.keep_idle(id, link, now, None);
            true
        }
        Err(error) => {
            let silence = now.since(ctx.servers.last_activity(id));
            tracing::info!(server = %id, %addr, silence_ms = silence.0, %error, "server gone");
            report_unreachable(ctx, id, now);
            false
        }
    }
}

/// A server answered at the address of `old`, which is gone: takes it as a new server of the service.
///
/// Only while the registry is away, and only if it must be of that service: it is an engine, and no
/// other service has engines.
pub async fn adopt(ctx: &Arc<Context>, old: &BackendId, new: &BackendId, link: &mut Link) {
    ctx.servers.record_unreachable(old, ctx.now());
    let Some(service) = ctx
        .servers
        .service(old)
        .filter(|_| ctx.servers.is_registry_unavailable())
    else {
        return;
    };
    let snapshot = ctx.snapshot.load();
    let only = snapshot.as_ref().and_then(|s| s.sole_engine_service());
    if only.is_none_or(|s| s.name != service) {
        return;
    }
    let exchange = polling::fetch_report(link);
    let Ok(Some(report)) = tokio::time::timeout(PROBE_TIMEOUT.duration(), exchange).await else {
        return;
    };
    let change: &'static str = ctx
        .servers
        .lock()
        .roster
        .adopt(old, new, report.start_time)
        .into();
    tracing::info!(server = %new, before = %old, born = report.start_time, change, "server met without a row");
}

/// Waits until a server that gives no output is found to be gone.
pub async fn until_unreachable(ctx: &Context, id: &BackendId) {
    let mut last_activity = ctx.now();
    loop {
        last_activity = last_activity.max(ctx.servers.last_activity(id));
        ctx.timer.at(last_activity + PROBE_IDLE).await;
        if ctx.servers.last_activity(id) > last_activity {
            continue;
        }
        let Some(addr) = ctx.servers.addr(id) else {
            return;
        };
        if !probe(ctx, id, addr, PROBE_TIMEOUT).await {
            return;
        }
    }
}
