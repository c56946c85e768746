//! What servers say of themselves in the heads of their answers.

use base::prelude::*;
use hyper::http::response::Parts;
use platform::response::{self, Notice};

use crate::context::Context;

/// Records what a server says in an answer, and tells the other hosts if it is news.
///
/// `sent` is when the request was sent; `None` for a poll, to which a server need not say all.
pub fn record(ctx: &Context, id: &BackendId, sent: Option<Millis>, notice: &Notice) {
    let now = ctx.now();
    if (sent.is_some() || notice.limit.is_some())
        && ctx
            .servers
            .record_limit(id, now, sent.unwrap_or(now), notice.limit)
    {
        tracing::info!(
            server = %id, limit_permille = ?notice.limit, "server changed its limit on requests"
        );
        ctx.wake_gossip.notify_one();
    }
    if let Some(pause) = notice.pause {
        tracing::info!(server = %id, pause_ms = pause.0, "server wants no requests for a while");
        ctx.servers.pause(id, now, pause);
    }
    if notice.is_leaving && ctx.servers.record_leaving(id, now) {
        tracing::info!(server = %id, "server says that it is leaving");
        ctx.wake_gossip.notify_one();
    }
}

/// Records what a server says in the head of an answer that passes through this host to another one.
pub fn record_relayed(ctx: &Context, id: &BackendId, head: &Parts) {
    if response::server(&head.headers).is_none_or(|s| s == *id) {
        record(ctx, id, None, &response::notice(head));
    }
}
