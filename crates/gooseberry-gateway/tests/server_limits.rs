//! Servers that name the number of requests a second that they take from all hosts together.

mod site;

use std::time::Instant;

use base::prelude::*;
use gooseberry_gateway::link::Link;
use gooseberry_gateway::run::Gateway;
use hyper::StatusCode;
use site::{Site, exchange, request};

/// Calls sent once a limit is known.
const CALLS: usize = 200;

/// Sends a call to each gateway in turn; returns the statuses.
async fn send_calls(gateways: &[&Gateway], name: &str, count: usize) -> Vec<StatusCode> {
    let mut links = Vec::new();
    for gateway in gateways {
        let addr = gateway.listen.callers;
        links.push(Link::open(addr, Millis(5_000)).await.unwrap());
    }
    let mut statuses = Vec::new();
    for i in 0..count {
        let link = &mut links[i % gateways.len()];
        let call = request(&format!("{name}-{i}"), "/once/a");
        statuses.push(exchange(link, call).await.status);
    }
    statuses
}

/// A site whose second gateway knows the servers and the first gateway.
async fn site() -> (Site, Gateway) {
    let site = Site::start().await;
    let other = site.gateway("host-2").await;
    let listed = || other.ctx.servers.lock().roster.len() == 4;
    site.until("the second gateway knows all servers", listed)
        .await;
    let is_heard = |g: &Gateway| g.ctx.gossip().has_members();
    site.until("the gateways hear each other", || {
        is_heard(&site.gateway) || is_heard(&other)
    })
    .await;
    (site, other)
}

#[tokio::test]
async fn limit_of_all_hosts_is_kept() {
    let (site, other) = site().await;
    let gateways = [&site.gateway, &other];
    let limit = 1.0;
    site.shared.set_limit("p-1", Some("1.0"));
    while site.shared.runs_at("p-1") < 4 {
        send_calls(&gateways, "tell", 2).await;
    }
    let (before, started) = (site.shared.runs_at("p-1"), Instant::now());
    let statuses = send_calls(&gateways, "call", CALLS).await;
    assert!(statuses.iter().all(|s| *s == StatusCode::OK));
    let runs = site.shared.runs_at("p-1") - before;
    let allowed = 1.5 * limit * started.elapsed().as_secs_f64() + 5.0;
    assert!((runs as f64) <= allowed, "{runs} runs, allowed {allowed}");
}
