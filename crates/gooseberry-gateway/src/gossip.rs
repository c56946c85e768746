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
const LEAST: Millis = Millis(100);

/// The largest datagram that is sent or taken, in bytes; it fits one frame of a network.
const MAX_DATAGRAM: usize = 1_400;

/// Tells the hub of this host's use, and the other hubs if this host is one, for ever.
pub async fn tell(ctx: Arc<Context>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = ctx.timer.after(PERIOD) => {}
            () = ctx.wake_gossip.notified() => {}
        }
        let now = ctx.now();
        let usage = usage(&ctx, now);
        let messages = {
            let mut gossip = ctx.gossip();
            let mut messages = gossip.digest(now, usage);
            messages.extend(gossip.centre_sums(now));
            messages.extend(gossip.failed_servers(now));
            messages
        };
        // A host that a hub serves waits for its answer.
        if !ctx.gossip().has_hub_answer(now) {
            exchange(&ctx, now);
        }
        send(&socket, &messages).await;
        ctx.timer.after(LEAST).await;
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
fn usage(ctx: &Context, now: Millis) -> Vec<Usage> {
    let mut usage = Vec::new();
    for (name, budget) in ctx.budgets().iter_mut() {
        budget.begin_exchange();
        usage.push(Usage {
            service: short(name.as_str()),
            requests: budget.requests(now).map(saturated),
            retries: saturated(budget.retries(now)),
            waiting: u32::from(budget.waiting() > 0),
        });
    }
    usage
}

fn saturated(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Takes in what the others have told of their use.
fn exchange(ctx: &Context, now: Millis) {
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
                let answer = heard(&ctx, from, &buffer[..length]);
                send(&socket, &Vec::from_iter(answer)).await;
            }
            Err(error) => {
                tracing::debug!(%error, "message of a host not received");
                ctx.timer.after(LEAST).await;
            }
        }
    }
}

/// Takes in one message; returns the answer to it.
fn heard(ctx: &Context, from: SocketAddr, bytes: &[u8]) -> Option<(SocketAddr, Message)> {
    let message: Message = match postcard::from_bytes(bytes) {
        Ok(message) => message,
        Err(error) => {
            tracing::info!(%from, %error, "message of a host not read; it is passed over");
            return None;
        }
    };
    let now = ctx.now();
    let heard = ctx.gossip().receive(now, from, &message);
    for lost in &heard.failed {
        let at = now - Millis(u64::from(lost.age));
        ctx.servers.suspect(lost.server, at, now);
    }
    if heard.answers_digest {
        exchange(ctx, now);
    }
    if heard.notify_hubs {
        ctx.wake_gossip.notify_one();
    }
    heard.answer
}
