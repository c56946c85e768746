//! Prompts with a part that ends each server which begins to answer on it.

mod site;

use base::prelude::*;
use bytes::Bytes;
use gooseberry_gateway::link::Link;
use gooseberry_gateway::run::Gateway;
use gooseberry_standin::site::worker::FATAL_PART;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use site::{Answer, Site, exchange, generation};

/// Servers that may end before such prompts are recognised, and sends allowed after that.
const MAX_RUNS: usize = 5 + 3;

/// Engines of the deployment; more than may end.
const ENGINES: usize = 12;

/// A site with [`ENGINES`] engines and a second gateway.
async fn site() -> (Site, Gateway) {
    let site = Site::start().await;
    for i in 3..=ENGINES {
        let centre = if i % 2 == 0 { "a" } else { "b" };
        site.server(&format!("e-{i}"), true, centre).await;
    }
    let other = site.gateway("host-2").await;
    let listed = || other.ctx.servers.lock().roster.len() == ENGINES + 2;
    site.until("the second gateway knows all servers", listed)
        .await;
    let is_heard = |g: &Gateway| g.ctx.gossip().has_members();
    site.until("the gateways hear each other", || {
        is_heard(&site.gateway) || is_heard(&other)
    })
    .await;
    (site, other)
}

/// A stream's request whose prompt has these parts.
fn prompt(id: &str, parts: &str) -> Request<Full<Bytes>> {
    let mut request = generation(id, "/draft/a");
    let parts = parts.parse().unwrap();
    request.headers_mut().insert("prompt-prefix", parts);
    request
}

async fn send_to(gateway: &Gateway, request: Request<Full<Bytes>>) -> Answer {
    let addr = gateway.listen.callers;
    let mut link = Link::open(addr, Millis(5_000)).await.unwrap();
    exchange(&mut link, request).await
}

#[tokio::test]
async fn fatal_part_ends_few_servers() {
    let (site, other) = site().await;
    for i in 0..8 {
        let parts = format!("5c{i}:200,{FATAL_PART}:300,7{i}:800");
        let gateway = if i % 2 == 0 { &site.gateway } else { &other };
        let answer = send_to(gateway, prompt(&format!("bad-{i}"), &parts)).await;
        assert_ne!(answer.status, StatusCode::OK);
        let sound = prompt(&format!("good-{i}"), &format!("5c{i}:200,8{i}:800"));
        assert!(send_to(gateway, sound).await.is_whole);
    }
    let runs = site.shared.runs_with_part(FATAL_PART);
    assert!(runs <= MAX_RUNS, "sent to servers {runs} times");
}
