//! Sends and receives what entry hosts tell each other, over UDP.

use std::net::SocketAddr;
use std::sync::Arc;

use base::hash::short;
use base::prelude::*;
use membership::gossip::{Message, Usage};
use tokio::net::UdpSocket;

use crate::context::Context;

/// The time between two messages of a host while there is nothing urgent.
const PERIOD: Millis = Millis(500);

/// The least time between two such messages.
const MIN_INTERVAL: Millis = Millis(100);

/// The largest datagram that is sent or taken, in bytes; it fits one frame of a network.
const MAX_DATAGRAM: usize = 1_400;

/// Tells the hub of this host's use, and the other hubs if this host is one, for ever.
pub async fn send_reports(ctx: Arc<Context>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = ctx.timer.after(PERIOD) => {}
            () = ctx.wake_gossip.notified() => {}
        }
        let now = ctx.now();
        let usage = own_usage(&ctx, now);
        let messages = {
            let mut gossip = ctx.gossip();
            let mut messages = gossip.digest(now, usage);
            messages.extend(gossip.centre_sums(now));
            messages.extend(gossip.failed_servers(now));
            messages
        };
        // A host that a hub serves waits for its answer.
        if !ctx.gossip().has_hub_answer(now) {
            apply_shared_usage(&ctx, now);
        }
        send(&socket, &messages).await;
        ctx.timer.after(MIN_INTERVAL).await;
    }
}

/// Tells the others that this host stops.
pub async fn leave(ctx: &Context, socket: &UdpSocket) {
    let messages = ctx.gossip().leave(ctx.now());
    send(socket, &messages).await;
}

async fn send(socket: &UdpSocket, messages: &[(SocketAddr, Message)]) {
    for (addr, message) in messages {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM => bytes,
            Ok(bytes) => {
                tracing::warn!(%addr, bytes = bytes.len(), "message to a host too large; it is not sent");
                continue;
            }
            Err(error) => {
                tracing::warn!(%addr, %error, "message to a host not encoded; it is not sent");
                continue;
            }
        };
        // A host that is gone or cut off is found out by its silence.
        if let Err(error) = socket.send_to(&bytes, *addr).await {
            tracing::debug!(%addr, %error, "message to a host not sent");
        }
    }
}

/// This host's use of each budget, which is about to be told.
fn own_usage(ctx: &Context, now: Millis) -> Vec<Usage> {
    let mut usage = Vec::new();
    for (name, budget) in ctx.budgets().iter_mut() {
        budget.begin_exchange();
        usage.push(Usage {
            service: short(name.as_str()),
            requests: budget.requests(now).map(saturating_u32),
            retries: saturating_u32(budget.retries(now)),
            waiting: u32::from(budget.waiting() > 0),
        });
    }
    usage
}

fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Takes in what the others have told of their use.
fn apply_shared_usage(ctx: &Context, now: Millis) {
    let gossip = ctx.gossip();
    for (name, budget) in ctx.budgets().iter_mut() {
        if let Some(shared) = gossip.shared_usage(now, short(name.as_str())) {
            budget.finish_exchange(shared);
        }
    }
}

/// Takes in the messages of other hosts, for ever.
pub async fn listen(ctx: Arc<Context>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let answer = receive(&ctx, from, &buffer[..length]);
                send(&socket, &Vec::from_iter(answer)).await;
            }
            Err(error) => {
                tracing::debug!(%error, "message of a host not received");
                ctx.timer.after(MIN_INTERVAL).await;
            }
        }
    }
}

/// Takes in one message; returns the answer to it.
fn receive(ctx: &Context, from: SocketAddr, bytes: &[u8]) -> Option<(SocketAddr, Message)> {
    let message: Message = match postcard::from_bytes(bytes) {
        Ok(message) => message,
        Err(error) => {
            tracing::info!(%from, %error, "message of a host not read; it is passed over");
            return None;
        }
    };
    let now = ctx.now();
    let received = ctx.gossip().receive(now, from, &message);
    for server in &received.failed {
        let at = now - Millis(u64::from(server.age));
        ctx.servers.doubt(server.server, at, now);
    }
    if received.answers_digest {
        apply_shared_usage(ctx, now);
    }
    if received.notify_hubs {
        ctx.wake_gossip.notify_one();
    }
    received.answer
}
