//! Servers that name the number of requests a second that they take from all hosts together.

mod site;

use std::time::Instant;

use base::prelude::*;
use futures_util::future::join_all;
use gooseberry_gateway::run::Gateway;
use hyper::StatusCode;
use site::{Site, exchange, generation, open, request, send_to};

/// Calls sent once a limit is known.
const CALLS: usize = 200;

/// Sends a call to each gateway in turn; returns the statuses.
async fn send_calls(gateways: &[&Gateway], name: &str, count: usize) -> Vec<StatusCode> {
    let mut links = join_all(gateways.iter().map(|g| open(g))).await;
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
    let other = site.peer("host-2").await;
    (site, other)
}

#[tokio::test]
async fn limit_of_all_hosts_is_kept() {
    let (site, other) = site().await;
    let gateways = [&site.gateway, &other];
    let limit = 1.0;
    site.shared.set_header("p-1", "server-limit", Some("1.0"));
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

/// All servers together take far fewer requests than come.
#[tokio::test]
async fn all_servers_limited() {
    let (site, other) = site().await;
    let gateways = [&site.gateway, &other];
    let servers = ["p-1", "p-2"];
    let count = || {
        servers
            .map(|s| site.shared.runs_at(s))
            .iter()
            .sum::<usize>()
    };
    for server in servers {
        site.shared.set_header(server, "server-limit", Some("2"));
    }
    let is_limited =
        |g: &Gateway| servers.map(|s| g.ctx.servers.is_limited(&BackendId::from(s))) == [true; 2];
    while !is_limited(&site.gateway) || !is_limited(&other) {
        send_calls(&gateways, "tell", 2).await;
    }
    let (before, started) = (count(), Instant::now());
    let calls = (0..30).map(|i| send_to(&other, request(&format!("call-{i}"), "/once/a")));
    let mut refused = 0;
    for answer in join_all(calls).await {
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            let retry: f64 = answer.header("retry-after").parse().unwrap();
            assert!(retry > 0.0 && retry <= 1.0, "{retry}");
            assert!(answer.text().contains("limited"));
            refused += 1;
        } else {
            assert_eq!(answer.status, StatusCode::OK);
        }
    }
    assert!(refused > 0);
    let runs = count() - before;
    assert_eq!(runs + refused, 30);
    let allowed = 2.0 * (1.5 * 2.0 * started.elapsed().as_secs_f64() + 5.0);
    assert!((runs as f64) <= allowed, "{runs} runs, allowed {allowed}");
}

/// A host that sends nothing to the server hears from others what it says.
#[tokio::test]
async fn other_hosts_hear_it() {
    let (site, other) = site().await;
    let id = BackendId::from("p-1");
    site.shared.set_header("p-1", "server-limit", Some("50"));
    while !site.gateway.ctx.servers.is_limited(&id) {
        send_calls(&[&site.gateway], "tell", 2).await;
    }
    site.until("the other host has heard of the limit", || {
        other.ctx.servers.is_limited(&id)
    })
    .await;
    site.shared.set_header("p-1", "server-limit", None);
    while site.gateway.ctx.servers.is_limited(&id) {
        send_calls(&[&site.gateway], "end", 2).await;
    }
    site.until("the other host has heard that it is gone", || {
        !other.ctx.servers.is_limited(&id)
    })
    .await;
}

#[tokio::test]
async fn unreadable_limits() {
    let (site, other) = site().await;
    for value in ["-3", "NaN", "inf", "soon", "0x1", ""] {
        site.shared.set_header("p-1", "server-limit", Some(value));
        site.shared.set_header("p-2", "server-limit", Some(value));
        let statuses = send_calls(&[&site.gateway, &other], value, 12).await;
        assert!(statuses.iter().all(|s| *s == StatusCode::OK), "{value}");
    }
}

/// Engines: polls are requests as well, and a backup server in need gets none.
#[tokio::test]
async fn limited_engine() {
    let (site, other) = site().await;
    let id = BackendId::from("e-1");
    site.shared.set_header("e-1", "server-limit", Some("1"));
    let send = |name: String| send_to(&other, generation(&name, "/draft/a"));
    let mut told = 0;
    while !other.ctx.servers.is_limited(&id) {
        assert!(send(format!("tell-{told}")).await.is_whole);
        told += 1;
    }
    let (before, started) = (site.shared.runs_at("e-1"), Instant::now());
    for i in 0..12 {
        assert!(send(format!("stream-{i}")).await.is_whole);
    }
    let runs = site.shared.runs_at("e-1") - before;
    let allowed = 1.5 * started.elapsed().as_secs_f64() + 5.0;
    assert!((runs as f64) <= allowed, "{runs} runs, allowed {allowed}");
}
