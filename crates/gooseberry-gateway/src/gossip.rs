//! Sends and receives the digests of entry hosts, over UDP.

use std::net::SocketAddr;
use std::sync::Arc;

use base::hash::short;
use base::prelude::*;
use membership::gossip::{Digest, Usage};
use tokio::net::UdpSocket;

use crate::context::Context;

/// The time between two digests while there is nothing urgent.
const PERIOD: Millis = Millis(500);

/// The least time between two digests.
const LEAST: Millis = Millis(100);

/// The largest datagram that is sent or taken, in bytes; it fits one frame of a network.
const MAX_DATAGRAM: usize = 1_400;

/// Sends this host's digest to all others, for ever.
pub async fn tell(ctx: Arc<Context>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = ctx.timer.after(PERIOD) => {}
            () = ctx.wake_gossip.notified() => {}
        }
        send(&ctx, &socket, false).await;
        ctx.timer.after(LEAST).await;
    }
}

/// Sends one digest to all other hosts; `leaves` if this host stops.
pub async fn send(ctx: &Context, socket: &UdpSocket, leaves: bool) {
    let now = ctx.now();
    let usage = exchange(ctx, now);
    let (digest, addrs) = {
        let mut gossip = ctx.gossip();
        (gossip.digest(now, usage, leaves), gossip.addrs())
    };
    let bytes = match postcard::to_stdvec(&digest) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM => bytes,
        Ok(bytes) => {
            tracing::warn!(bytes = bytes.len(), "digest too large; it is not sent");
            return;
        }
        Err(error) => {
            tracing::warn!(%error, "digest not encoded; it is not sent");
            return;
        }
    };
    for addr in addrs {
        // A host that is gone or cut off is found out by its silence.
        if let Err(error) = socket.send_to(&bytes, addr).await {
            tracing::debug!(%addr, %error, "digest not sent");
        }
    }
}

/// This host's use of each budget; takes in what the others have told of theirs.
fn exchange(ctx: &Context, now: Millis) -> Vec<Usage> {
    let gossip = ctx.gossip();
    let mut usage = Vec::new();
    for (name, budget) in ctx.budgets().iter_mut() {
        let service = short(name.as_str());
        let (requests, repeats) = budget.used(now);
        usage.push(Usage {
            service,
            requests: u32::try_from(requests).unwrap_or(u32::MAX),
            repeats: u32::try_from(repeats).unwrap_or(u32::MAX),
        });
        budget.exchanged(gossip.shared(now, service));
    }
    usage
}

/// Takes in the digests of other hosts, for ever.
pub async fn listen(ctx: Arc<Context>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => heard(&ctx, from, &buffer[..length]),
            Err(error) => {
                tracing::debug!(%error, "digest not received");
                ctx.timer.after(LEAST).await;
            }
        }
    }
}

fn heard(ctx: &Context, from: SocketAddr, bytes: &[u8]) {
    let digest: Digest = match postcard::from_bytes(bytes) {
        Ok(digest) => digest,
        Err(error) => {
            tracing::info!(%from, %error, "digest not read; it is passed over");
            return;
        }
    };
    let now = ctx.now();
    let lost = ctx.gossip().heard(now, from, &digest);
    for lost in lost.unwrap_or_default() {
        let at = now - Millis(u64::from(lost.age));
        ctx.servers.doubt(lost.server, at, now);
    }
}
