//! Connections to backend servers, by this host's own path or through another host.
//!
//! A failed connection does not say whether the server or the path to it is at fault. [`membership::contact`]
//! decides that for a service, and another host is asked for a single server. A server that others reach
//! stays in use, by a [`tunnel`], and this host tries its own path again until it is back.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;

use crate::context::Context;
use crate::fleet::{Lease, PlacementRequest};
use crate::link::Link;
use crate::send::Job;
use crate::tunnel::{self, TunnelError};

/// The interval at which lost paths are tried again.
const PROBE_INTERVAL: Millis = Millis(300);

/// Time limit for a server to accept the connection of such a trial.
const PROBE_TIMEOUT: Millis = Millis(250);

/// Part of a request's time limit, in percent from its arrival, for which it waits for a turn at a limited server.
const MAX_TURN_WAIT_PERCENT: u64 = 20;

/// The minimum time until a request that waits for a turn looks for one again.
const MIN_TURN_WAIT: Millis = Millis(10);

/// Opens a connection to a server, through another host if this host's own path has failed; counted under
/// `cause`.
///
/// # Errors
///
/// The operating system's error, or `TimedOut` after `timeout`; for a server that another host does not reach
/// either, `ConnectionRefused`; for one that wants no requests through other hosts, `ResourceBusy`; if no other host
/// opens tunnels at present, `HostUnreachable`.
pub async fn open(
    ctx: &Arc<Context>,
    id: &BackendId,
    addr: SocketAddr,
    timeout: Millis,
    cause: &'static str,
) -> io::Result<Link> {
    if !ctx.servers.is_indirect(id) {
        match open_direct(ctx, id, addr, timeout, cause).await {
            Ok(link) => return Ok(link),
            // This failure may be the one by which the path is known to be at fault.
            Err(_) if ctx.servers.is_indirect(id) => {}
            Err(error) => {
                check(ctx, id);
                if let Some((id, addr)) = ctx.servers.reference(id, ctx.now(), &ctx.data_centre) {
                    spawn_direct(ctx, id, addr, "reference");
                }
                return Err(error);
            }
        }
    }
    match tunnel::open(ctx, id, cause).await {
        Ok(link) => Ok(link),
        Err(TunnelError::Unreachable) => Err(io::Error::new(
            io::ErrorKind::ConnectionRefused,
            TunnelError::Unreachable,
        )),
        Err(TunnelError::Held) => Err(io::Error::new(
            io::ErrorKind::ResourceBusy,
            TunnelError::Held,
        )),
        // Where no other host opens tunnels, this host's own path is all that is left.
        Err(TunnelError::NoHost) if ctx.gossip().tunnel_hosts().is_empty() => {
            open_direct(ctx, id, addr, timeout, cause).await
        }
        // The own path is tried by `watch`, not by requests, which would each wait for it in vain.
        Err(TunnelError::NoHost) => Err(io::Error::new(
            io::ErrorKind::HostUnreachable,
            TunnelError::NoHost,
        )),
    }
}

/// Opens a connection over this host's own path and records the result.
async fn open_direct(
    ctx: &Arc<Context>,
    id: &BackendId,
    addr: SocketAddr,
    timeout: Millis,
    cause: &'static str,
) -> io::Result<Link> {
    let opened = dial(ctx, addr, timeout, cause).await;
    match &opened {
        Ok(_) => record_accepted(ctx, id),
        Err(error) => record_refused(ctx, id, error),
    }
    opened
}

/// Opens a connection over this host's own path; the result is counted under `cause` and says nothing of the path.
///
/// # Errors
///
/// The operating system's error, or `TimedOut` after `timeout`.
pub async fn dial(
    ctx: &Context,
    addr: SocketAddr,
    timeout: Millis,
    cause: &'static str,
) -> io::Result<Link> {
    ctx.metrics.count_connection(cause);
    let opened = Link::open(addr, timeout).await;
    if opened.is_err() {
        ctx.metrics.count_failed_connection(cause);
    }
    opened
}

/// Records that a server accepted a connection of this host.
pub fn record_accepted(ctx: &Context, id: &BackendId) {
    if ctx.servers.record_accepted(id, ctx.now()) {
        let service = ctx.servers.service(id).unwrap_or_default();
        tracing::info!(%service, server = %id, "contact with the service regained");
    }
}

/// Records that a connection of this host to a server failed.
pub fn record_refused(ctx: &Context, id: &BackendId, error: &io::Error) {
    let is_timeout = error.kind() == io::ErrorKind::TimedOut;
    if ctx
        .servers
        .record_refused(id, ctx.now(), &ctx.data_centre, is_timeout)
    {
        contact_lost(ctx, &ctx.servers.service(id).unwrap_or_default());
    }
}

fn contact_lost(ctx: &Context, service: &ServiceName) {
    let hosts = ctx.gossip().tunnel_hosts().len();
    tracing::warn!(%service, hosts, "contact with the service lost; using tunnels through other hosts");
    ctx.metrics.lost_contacts.inc();
    ctx.paths_lost.notify_one();
}

/// No server can be chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoServer {
    /// Time until a limited server may take it; `None` if no server is held back by its limit.
    pub retry: Option<Millis>,
}

/// Leases a server for a request; waits for a turn if all usable servers limit their requests.
///
/// # Errors
///
/// [`NoServer`] if none is usable, or none has a turn within a fifth of the request's time limit.
pub async fn place_in_turn(
    ctx: &Context,
    job: &Job,
    request: &PlacementRequest<'_>,
) -> Result<Lease, NoServer> {
    let limit = job.deadline.since(job.received);
    let latest = job.received + Millis(limit.0 * MAX_TURN_WAIT_PERCENT / 100);
    let mut waiting = None;
    loop {
        if let Some(lease) = place(ctx, request) {
            return Ok(lease);
        }
        let now = ctx.now();
        let turn = ctx.servers.next_turn(now, request);
        let Some(turn) = turn else {
            return Err(NoServer { retry: None });
        };
        // A request that waits already is not behind itself.
        let at = if waiting.is_some() {
            turn.check
        } else {
            turn.at
        };
        if at > latest {
            let retry = Some(at.since(now));
            return Err(NoServer { retry });
        }
        waiting.get_or_insert_with(|| TurnWait::new(ctx, request.service));
        ctx.timer.at(turn.check.max(now + MIN_TURN_WAIT)).await;
    }
}

/// Counts a request while it waits for a turn.
struct TurnWait<'a> {
    ctx: &'a Context,
    service: &'a str,
}

impl<'a> TurnWait<'a> {
    fn new(ctx: &'a Context, service: &'a str) -> Self {
        ctx.servers.add_waiting(service, 1);
        Self { ctx, service }
    }
}

impl Drop for TurnWait<'_> {
    fn drop(&mut self) {
        self.ctx.servers.add_waiting(self.service, -1);
    }
}

/// Leases a server for a request; `None` if none is usable.
///
/// If all servers of the service are ejected, the path to them is likelier at fault than all of them, and
/// they are tried through other hosts before the request is refused.
pub fn place(ctx: &Context, request: &PlacementRequest<'_>) -> Option<Lease> {
    let now = ctx.now();
    if let Some(lease) = ctx.servers.place(now, request) {
        return Some(lease);
    }
    let service = ServiceName::from(request.service);
    if !ctx.servers.lose_contact(now, &service) {
        return None;
    }
    contact_lost(ctx, &service);
    ctx.servers.place(now, request)
}

/// Finds out in the background whether another host reaches a server that this one does not.
fn check(ctx: &Arc<Context>, id: &BackendId) {
    if !ctx.servers.begin_path_check(id, ctx.now()) {
        return;
    }
    let (ctx, id) = (Arc::clone(ctx), id.clone());
    tokio::spawn(async move {
        if tunnel::open(&ctx, &id, "check").await.is_ok() && !ctx.servers.is_indirect(&id) {
            ctx.servers.record_failed_path(&id);
            tracing::warn!(server = %id, "server reached through another host only");
            ctx.paths_lost.notify_one();
        }
    });
}

/// Tries this host's own path to a server in the background; the result is recorded.
fn spawn_direct(ctx: &Arc<Context>, id: BackendId, addr: SocketAddr, cause: &'static str) {
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let is_reached = open_direct(&ctx, &id, addr, PROBE_TIMEOUT, cause)
            .await
            .is_ok();
        tracing::debug!(server = %id, cause, is_reached, "own path to the server tried");
    });
}

/// Tries lost paths again until the task is aborted.
pub async fn watch(ctx: Arc<Context>) {
    loop {
        ctx.paths_lost.notified().await;
        while ctx.servers.has_lost_paths() {
            for (id, addr) in ctx.servers.path_probes(ctx.now()) {
                spawn_direct(&ctx, id, addr, "path");
            }
            ctx.timer.after(PROBE_INTERVAL).await;
        }
    }
}
