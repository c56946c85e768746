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
use crate::probe;

/// A server that runs a prompt and was not heard for this time is asked whether it is there.
const ASK_AFTER: Millis = Millis(600);

/// How long a server may take to accept a connection when it is asked whether it is there.
const ASK_LIMIT: Millis = Millis(250);

/// A server that was heard within this time is not asked after a loss beside it.
const HEARD: Millis = Millis(150);

/// The servers that are asked after a loss beside them; bounds what many hosts do at once.
const MAX_ASKED: usize = 8;

/// A server is not reachable or fell silent: leaves it out, and asks those beside it.
pub fn lost(ctx: &Arc<Context>, id: &BackendId) {
    let now = ctx.now();
    found_gone(ctx, id, now);
    for (id, addr) in ctx.servers.neighbours(id, now, HEARD, MAX_ASKED) {
        let ctx = Arc::clone(ctx);
        tokio::spawn(async move {
            ask(&ctx, &id, addr, ASK_LIMIT).await;
        });
    }
}

/// Leaves a server out and tells the other hosts.
fn found_gone(ctx: &Context, id: &BackendId, now: Millis) {
    ctx.servers.lost(id, now);
    ctx.gossip().server_failed(now, short(id.as_str()));
    ctx.wake_gossip.notify_one();
}

/// Whether a server is there: it was heard within `recent`, or accepts a connection within `limit`.
pub async fn is_there(ctx: &Context, id: &BackendId, recent: Millis, limit: Millis) -> bool {
    let now = ctx.now();
    if now.since(ctx.servers.last_heard(id)) < recent && ctx.servers.is_sound(id, now - recent) {
        return true;
    }
    match ctx.servers.addr(id) {
        Some(addr) => ask(ctx, id, addr, limit).await,
        None => false,
    }
}

/// Has a server that did not answer in time asked whether it is there; the caller goes on.
pub fn check(ctx: &Arc<Context>, id: &BackendId) {
    let (ctx, id) = (Arc::clone(ctx), id.clone());
    tokio::spawn(async move {
        if !is_there(&ctx, &id, HEARD, ASK_LIMIT).await {
            lost(&ctx, &id);
        }
    });
}

/// Asks a server whether it is there; returns the answer.
async fn ask(ctx: &Context, id: &BackendId, addr: SocketAddr, limit: Millis) -> bool {
    ctx.metrics.count_connection("liveness");
    let asked = Link::open(addr, limit).await;
    let now = ctx.now();
    match asked {
        Ok(link) => {
            ctx.servers.heard(id, now);
            ctx.servers.keep(id, link, now, None);
            true
        }
        Err(error) => {
            let silence = now.since(ctx.servers.last_heard(id));
            tracing::info!(server = %id, %addr, silence_ms = silence.0, %error, "server gone");
            found_gone(ctx, id, now);
            false
        }
    }
}

/// A server answered at the address of `old`, which is gone: takes it as a new server of the service.
///
/// Only while the registry is away, and only if it must be of that service: it is an engine, and no
/// other service has engines.
pub async fn adopt(ctx: &Arc<Context>, old: &BackendId, new: &BackendId, link: &mut Link) {
    ctx.servers.lost(old, ctx.now());
    let Some(service) = ctx.servers.service(old).filter(|_| ctx.servers.is_away()) else {
        return;
    };
    let snapshot = ctx.snapshot.load();
    let only = snapshot.as_ref().and_then(|s| s.sole_engine_service());
    if only.is_none_or(|s| s.name != service) {
        return;
    }
    let work = probe::report(link);
    let Ok(Some(report)) = tokio::time::timeout(ASK_LIMIT.duration(), work).await else {
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
pub async fn gone(ctx: &Context, id: &BackendId) {
    let mut heard = ctx.now();
    loop {
        heard = heard.max(ctx.servers.last_heard(id));
        ctx.timer.at(heard + ASK_AFTER).await;
        if ctx.servers.last_heard(id) > heard {
            continue;
        }
        let Some(addr) = ctx.servers.addr(id) else {
            return;
        };
        if !ask(ctx, id, addr, ASK_LIMIT).await {
            return;
        }
    }
}
