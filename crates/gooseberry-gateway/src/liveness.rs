//! Liveness probes of backend servers, by opening a connection.
//!
//! The registry lists a crashed server for seconds. When this host finds one server unreachable, the others in
//! its data centre may have failed with it; a probe confirms or refutes that within milliseconds.

use std::net::SocketAddr;
use std::sync::Arc;

use base::hash::short_hash;
use base::prelude::*;

use crate::context::Context;
use crate::link::Link;
use crate::tunnel::{self, TunnelError};
use crate::{paths, polling};

/// A server that processes a prompt and has sent nothing for this time is probed.
const PROBE_IDLE: Millis = Millis(600);

/// Time limit for a server to accept the connection of a probe.
const PROBE_TIMEOUT: Millis = Millis(250);

/// A server that sent data within this time is not probed when a neighbour fails.
const RECENT_ACTIVITY: Millis = Millis(150);

/// Maximum number of neighbours probed after a server fails; bounds the load when many hosts probe at once.
const MAX_PROBES: usize = 8;

/// Handles a connection to a server that broke, or on which a request got no answer.
///
/// A server that this host reaches through others is probed first: the path may have failed instead.
pub fn handle_failure(ctx: &Arc<Context>, id: &BackendId) {
    if ctx.servers.is_indirect(id) {
        spawn_probe(ctx, id);
    } else {
        handle_unreachable(ctx, id);
    }
}

/// Records and reports a server that is unreachable or unresponsive, and probes its neighbours in the background.
pub fn handle_unreachable(ctx: &Arc<Context>, id: &BackendId) {
    let now = ctx.now();
    report_unreachable(ctx, id, now);
    if ctx.servers.is_indirect(id) {
        return;
    }
    for (id, _) in ctx
        .servers
        .neighbours_to_probe(id, now, RECENT_ACTIVITY, MAX_PROBES)
    {
        spawn_probe(ctx, &id);
    }
}

fn spawn_probe(ctx: &Arc<Context>, id: &BackendId) {
    let Some(addr) = ctx.servers.addr(id) else {
        return;
    };
    let (ctx, id) = (Arc::clone(ctx), id.clone());
    tokio::spawn(async move {
        probe(&ctx, &id, addr, PROBE_TIMEOUT).await;
    });
}

/// Records a server as unreachable and reports it to the other hosts.
///
/// A host without contact to the server's service reports nothing: the others would avoid sound servers.
pub fn report_unreachable(ctx: &Context, id: &BackendId, now: Millis) {
    ctx.servers.record_unreachable(id, now);
    if ctx.servers.is_contact_lost(id) {
        return;
    }
    ctx.gossip().server_failed(now, short_hash(id.as_str()));
    ctx.wake_gossip.notify_one();
}

/// Whether a server is reachable: it sent data within `recent`, or accepts a connection within `timeout`.
pub async fn is_reachable(
    ctx: &Arc<Context>,
    id: &BackendId,
    recent: Millis,
    timeout: Millis,
) -> bool {
    let (now, last) = (ctx.now(), ctx.servers.last_activity(id));
    // A server from which nothing has come may be down, also when this host has just started.
    if last > Millis(0) && now.since(last) < recent && ctx.servers.is_up_since(id, now - recent) {
        return true;
    }
    match ctx.servers.addr(id) {
        Some(addr) => probe(ctx, id, addr, timeout).await,
        None => false,
    }
}

/// Probes a server that did not answer in time, in the background.
pub fn spawn_check(ctx: &Arc<Context>, id: &BackendId) {
    let (ctx, id) = (Arc::clone(ctx), id.clone());
    tokio::spawn(async move {
        if !is_reachable(&ctx, &id, RECENT_ACTIVITY, PROBE_TIMEOUT).await
            && !ctx.servers.is_indirect(&id)
        {
            handle_unreachable(&ctx, &id);
        }
    });
}

/// Probes a server; returns whether it accepted a connection. Reports it to the other hosts if it did not.
async fn probe(ctx: &Arc<Context>, id: &BackendId, addr: SocketAddr, timeout: Millis) -> bool {
    let connected = paths::open(ctx, id, addr, timeout, "liveness").await;
    let now = ctx.now();
    match connected {
        Ok(link) => {
            ctx.servers.record_activity(id, now);
            ctx.servers.keep_idle(id, link, now, None);
            true
        }
        Err(error) => {
            let silence = now.since(ctx.servers.last_activity(id));
            tracing::info!(server = %id, %addr, silence_ms = silence.0, %error, "liveness probe failed");
            report_unreachable(ctx, id, now);
            false
        }
    }
}

/// Whether a server refuses connections, so that its process has ended; `false` if this host cannot tell.
///
/// `is_indirect` tells whether to look through another host, as this one's own path had failed before.
pub async fn has_ended(ctx: &Arc<Context>, id: &BackendId, is_indirect: bool) -> bool {
    let Some(addr) = ctx.servers.addr(id) else {
        return false;
    };
    if is_indirect {
        let opened = tunnel::open(ctx, id, "ended").await;
        return opened.is_err_and(|e| e == TunnelError::Unreachable);
    }
    // The request has just used this host's path, so that a refusal is no evidence against it.
    match paths::dial(ctx, addr, PROBE_TIMEOUT, "ended").await {
        Ok(link) => {
            ctx.servers.keep_idle(id, link, ctx.now(), None);
            false
        }
        Err(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
    }
}

/// Records that the server `new` answered at the address of `old`, and adopts it as a server of the same service.
///
/// It is adopted only while the registry is unavailable, and only if the service of `new` is certain: it is an engine, and
/// no other service has engines.
pub async fn adopt(ctx: &Arc<Context>, old: &BackendId, new: &BackendId, link: &mut Link) {
    ctx.servers.record_unreachable(old, ctx.now());
    if old != new && ctx.servers.lock().roster.confirm(new, old) {
        tracing::info!(server = %new, other = %old, "listed server answers at the address of another row");
    }
    if !ctx.servers.is_registry_unavailable() || !is_sole_engine_service(ctx, old) {
        return;
    }
    let exchange = polling::fetch_report(link);
    if let Ok(Some(report)) = tokio::time::timeout(PROBE_TIMEOUT.duration(), exchange).await {
        record_restart(ctx, old, new, report.start_time);
    }
}

/// Records that an engine has restarted at the address of `old` as `new`, which may have the same id.
///
/// `old` gets no more requests unless it kept its id; `new` gets some before it is listed only while the
/// registry is unavailable, see [`membership::Roster::adopt`].
pub fn record_restart(ctx: &Context, old: &BackendId, new: &BackendId, start_time: u64) {
    if !is_sole_engine_service(ctx, old) {
        return;
    }
    let mut fleet = ctx.servers.lock();
    let change: &'static str = fleet.roster.adopt(old, new, start_time).into();
    fleet.record_restart(old);
    drop(fleet);
    tracing::info!(
        server = %new, before = %old, born = start_time, change,
        "unregistered server answered at the address of another one"
    );
}

/// Whether the service of a server is the only one with engines, so that any engine at its address belongs to it.
fn is_sole_engine_service(ctx: &Context, id: &BackendId) -> bool {
    let snapshot = ctx.snapshot.load();
    let only = snapshot.as_ref().and_then(|s| s.sole_engine_service());
    only.is_some_and(|s| Some(&s.name) == ctx.servers.service(id).as_ref())
}

/// Waits until a server without output fails a probe or is no longer listed.
///
/// Also ends when connections opened before now turn out to hang, even though the server runs.
pub async fn until_unreachable(ctx: &Arc<Context>, id: &BackendId) {
    let started = ctx.now();
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
        if ctx.servers.hangs_since(id, started) {
            return;
        }
        if !probe(ctx, id, addr, PROBE_TIMEOUT).await {
            return;
        }
    }
}
