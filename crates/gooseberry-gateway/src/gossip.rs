//! Exchange of usage reports and failed servers between entry hosts, over UDP.

use std::net::SocketAddr;
use std::sync::Arc;

use base::hash::short_hash;
use base::prelude::*;
use membership::gossip::{Body, Message, Usage};
use relay::Subject;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::quarantine;

/// The interval between a host's reports while nothing is urgent.
const PERIOD: Millis = Millis(500);

/// The minimum interval between reports; also the pause after a failed receive.
const MIN_INTERVAL: Millis = Millis(100);

/// Maximum number of limits in a message, so that it fits a datagram.
const MAX_LIMITS: usize = 48;

/// Maximum number of leaving servers in a message, so that it fits a datagram.
const MAX_LEAVING: usize = 64;

/// The maximum size of a datagram, in bytes, so that it fits one Ethernet frame.
const MAX_DATAGRAM: usize = 1_400;

/// Sends this host's usage to its hub; a hub sends the sums of its data centre to the other hubs and failed
/// servers to its members. Runs until the task is aborted.
pub async fn send_reports(ctx: Arc<Context>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = ctx.timer.after(PERIOD) => {}
            () = ctx.wake_gossip.notified() => {}
        }
        let now = ctx.now();
        let usage = own_usage(&ctx, now);
        let (relays, hosts) = {
            let gossip = ctx.gossip();
            (gossip.relays(), gossip.known_hosts(now))
        };
        if let Some(hosts) = hosts {
            ctx.servers.set_hosts(hosts);
        }
        let evidence = |subject| ctx.quarantine(subject).evidence(now, relays);
        let prompts = evidence(Subject::Prompts).map(Body::Prompts);
        let requests = evidence(Subject::Requests).map(Body::Requests);
        let limits = ctx.servers.announced_limits(now, relays);
        let leaving = ctx.servers.announced_leaving(now, relays);
        let limits = limits.chunks(MAX_LIMITS).map(|l| Body::Limits(l.to_vec()));
        let leaving = leaving.chunks(MAX_LEAVING);
        let leaving = leaving.map(|l| Body::Leaving(l.to_vec()));
        let messages = {
            let mut gossip = ctx.gossip();
            let mut messages = gossip.digest(now, usage);
            messages.extend(gossip.centre_sums(now));
            messages.extend(gossip.failed_servers(now));
            let news = prompts.into_iter().chain(requests);
            for body in news.chain(limits).chain(leaving) {
                messages.extend(gossip.news(now, body));
            }
            messages
        };
        // With a hub that answers, the shared usage is applied when the answer arrives.
        if !ctx.gossip().has_hub_answer(now) {
            apply_shared_usage(&ctx, now);
        }
        send(&socket, &messages).await;
        ctx.timer.after(MIN_INTERVAL).await;
    }
}

/// Sends the sign-off messages of a stopping host.
pub async fn leave(ctx: &Context, socket: &UdpSocket) {
    let messages = ctx.gossip().leave(ctx.now());
    send(socket, &messages).await;
}

async fn send(socket: &UdpSocket, messages: &[(SocketAddr, Message)]) {
    for (addr, message) in messages {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM => bytes,
            Ok(bytes) => {
                tracing::warn!(%addr, bytes = bytes.len(), "gossip message too large; not sent");
                continue;
            }
            Err(error) => {
                tracing::warn!(%addr, %error, "cannot encode gossip message; not sent");
                continue;
            }
        };
        // Nothing to do here: an unreachable host is detected by its missing reports.
        if let Err(error) = socket.send_to(&bytes, *addr).await {
            tracing::debug!(%addr, %error, "cannot send gossip message");
        }
    }
}

/// This host's usage of each service's retry budget; marks the start of an exchange in the budgets.
fn own_usage(ctx: &Context, now: Millis) -> Vec<Usage> {
    let mut usage = Vec::new();
    for (name, budget) in ctx.budgets().iter_mut() {
        budget.begin_exchange();
        usage.push(Usage {
            service: short_hash(name.as_str()),
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

/// Applies the usage that the other hosts reported to the retry budgets.
fn apply_shared_usage(ctx: &Context, now: Millis) {
    let gossip = ctx.gossip();
    for (name, budget) in ctx.budgets().iter_mut() {
        if let Some(shared) = gossip.shared_usage(now, short_hash(name.as_str())) {
            budget.finish_exchange(shared);
        }
    }
}

/// Receives and answers the messages of other hosts until the task is aborted.
pub async fn listen(ctx: Arc<Context>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let answer = receive(&ctx, from, &buffer[..length]);
                send(&socket, &Vec::from_iter(answer)).await;
            }
            Err(error) => {
                tracing::debug!(%error, "cannot receive gossip message");
                ctx.timer.after(MIN_INTERVAL).await;
            }
        }
    }
}

/// Applies one message; returns the answer with its destination, if there is one.
fn receive(ctx: &Context, from: SocketAddr, bytes: &[u8]) -> Option<(SocketAddr, Message)> {
    let message: Message = match postcard::from_bytes(bytes) {
        Ok(message) => message,
        Err(error) => {
            tracing::info!(%from, %error, "malformed gossip message skipped");
            return None;
        }
    };
    let now = ctx.now();
    let received = ctx.gossip().receive(now, from, &message);
    for failed in &received.failed {
        let at = now - Millis(u64::from(failed.age));
        ctx.servers.suspect(failed.server, at, now);
    }
    if received.answers_digest {
        apply_shared_usage(ctx, now);
    }
    if received.notify_hubs {
        ctx.wake_gossip.notify_one();
    }
    let merge = |subject, evidence| ctx.quarantine(subject).merge(now, evidence);
    match &message.body {
        Body::Prompts(evidence) if merge(Subject::Prompts, evidence) => {
            quarantine::announce(ctx);
        }
        Body::Requests(evidence) if merge(Subject::Requests, evidence) => {
            quarantine::announce(ctx);
        }
        Body::Limits(limits) if ctx.servers.merge_limits(now, limits) => {
            ctx.wake_gossip.notify_one();
        }
        Body::Leaving(leaving) if ctx.servers.merge_leaving(now, leaving) => {
            ctx.wake_gossip.notify_one();
        }
        _ => {}
    }
    received.answer
}
