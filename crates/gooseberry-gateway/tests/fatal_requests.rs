//! Requests that end each server which begins to run them, and come again.

mod site;

use std::time::Duration;

use base::hash::fingerprint;
use bytes::Bytes;
use gooseberry_gateway::run::Gateway;
use gooseberry_standin::site::documents::HOST;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use relay::Subject;
use site::cut::Cut;
use site::{Site, generation, request, send_to};

/// Servers that may end before such a request is recognised, and sends allowed after that.
const MAX_RUNS: usize = 3 + 3;

/// Plain servers of the deployment; more than may end.
const SERVERS: usize = 24;

/// Times that a caller sends such a request.
const REQUESTS: usize = 8;

/// A site with [`SERVERS`] plain servers and a second gateway.
async fn site() -> (Site, Gateway) {
    let site = Site::start().await;
    site.add_servers("p", false, SERVERS).await;
    let other = site.peer("host-2").await;
    (site, other)
}

/// A call that ends its server; all of one path are equal but for their ids.
fn fatal(id: &str, path: &str) -> Request<Full<Bytes>> {
    let mut call = request(id, path);
    *call.body_mut() = Full::from("the same each time");
    call
}

/// A stream whose prompt shares no part with others.
fn fatal_stream(id: &str) -> Request<Full<Bytes>> {
    let mut stream = generation(id, "/draft/crash");
    *stream.body_mut() = Full::from("the same each time");
    stream
}

/// Sends such calls by two gateways in turn, and a sound one after each; returns the statuses of the sound ones.
async fn send_fatal(site: &Site, other: &Gateway, path: &str) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for i in 0..REQUESTS {
        let gateway = if i % 2 == 0 { &site.gateway } else { other };
        let answer = send_to(gateway, fatal(&format!("bad-{i}"), path)).await;
        assert_ne!(answer.status, StatusCode::OK);
        let sound = request(&format!("good-{i}"), "/safe/a");
        statuses.push(send_to(gateway, sound).await.status);
        // Servers that end at the same moment have a common cause.
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    statuses
}

#[tokio::test]
async fn fatal_call_ends_few_servers() {
    for path in ["/safe/crash", "/once/crash"] {
        let (site, other) = site().await;
        let statuses = send_fatal(&site, &other, path).await;
        let runs = site.shared.runs_of_path(path);
        assert!(runs <= MAX_RUNS, "{path}: sent to servers {runs} times");
        assert!(statuses.iter().all(|s| *s == StatusCode::OK), "{path}");
    }
}

#[tokio::test]
async fn fatal_stream_ends_few_servers() {
    let (site, other) = site().await;
    site.add_servers("e", true, SERVERS).await;
    site.until("the engines are listed", || {
        other.ctx.servers.lock().roster.len() == site.store.keys("servers").len()
    })
    .await;
    for i in 0..REQUESTS {
        let gateway = if i % 2 == 0 { &site.gateway } else { &other };
        let answer = send_to(gateway, fatal_stream(&format!("bad-{i}"))).await;
        assert_ne!(answer.status, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    let runs = site.shared.runs_of_path("/draft/crash");
    assert!(runs <= MAX_RUNS, "sent to servers {runs} times");
    let answer = send_to(&other, generation("good", "/draft/a")).await;
    assert!(answer.is_whole);
}

/// A response says that the request has not run only if that attempt reached no server.
#[tokio::test]
async fn refused_before_it_runs() {
    let (site, other) = site().await;
    let mut refusals = 0;
    for i in 0..REQUESTS {
        let gateway = if i % 2 == 0 { &site.gateway } else { &other };
        let id = format!("bad-{i}");
        let answer = send_to(gateway, fatal(&id, "/safe/crash")).await;
        let has_run = !site.shared.runs(&id).is_empty();
        let expected = if has_run {
            StatusCode::BAD_GATEWAY
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        assert_eq!(answer.status, expected, "{id}");
        assert_eq!(answer.headers.contains_key("retry-after"), !has_run, "{id}");
        refusals += usize::from(!has_run);
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert!(refusals > 0);
}

/// A host that starts after the crashes, and hears no other host before its first request.
#[tokio::test]
async fn known_after_a_restart() {
    let (site, other) = site().await;
    send_fatal(&site, &other, "/safe/crash").await;
    site.until("the quarantine is in the store", || {
        !site.store.keys("gooseberry-quarantine").is_empty()
    })
    .await;
    let runs = site.shared.runs_of_path("/safe/crash");
    let started = site.gateway("host-3").await;
    let has_read = || !started.ctx.quarantine(Subject::Requests).is_empty();
    site.until("the new host has read the quarantine", has_read)
        .await;
    let answer = send_to(&started, fatal("bad-9", "/safe/crash")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(site.shared.runs_of_path("/safe/crash"), runs);
    let prompts = started.ctx.quarantine(Subject::Prompts);
    assert!(prompts.is_empty(), "taken for parts of prompts");
}

/// Servers that break connections and run on, as a reset or a lost answer looks, say nothing of the request.
#[tokio::test]
async fn broken_by_live_servers() {
    let (site, other) = site().await;
    for i in 0..REQUESTS {
        let gateway = if i % 2 == 0 { &site.gateway } else { &other };
        let answer = send_to(gateway, fatal(&format!("cut-{i}"), "/safe/cut")).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "it has run");
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert!(other.ctx.quarantine(Subject::Requests).is_empty());
}

/// A host that reaches the servers through another one only.
#[tokio::test]
async fn fatal_call_through_tunnels() {
    let (site, _other) = site().await;
    let host = site.cut_host("host-3", &["host-1"]).await;
    host.cut("p-", Cut::Reset).await;
    for i in 0..4 {
        host.try_send(request(&format!("first-{i}"), "/safe/a"))
            .await;
    }
    assert!(host.tunnel_count() > 0);
    for i in 0..REQUESTS {
        let answer = host.send(fatal(&format!("bad-{i}"), "/safe/crash")).await;
        assert_ne!(answer.status, StatusCode::OK);
        let sound = host.send(request(&format!("good-{i}"), "/safe/a")).await;
        assert_eq!(sound.status, StatusCode::OK, "{i}: {}", sound.text());
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    let runs = site.shared.runs_of_path("/safe/crash");
    assert!(runs <= MAX_RUNS, "sent to servers {runs} times");
}

/// A server that answers a request with an error has run it and goes on.
#[tokio::test]
async fn answered_with_an_error() {
    let site = Site::start().await;
    let ctx = &site.gateway.ctx;
    for path in ["/safe/fail", "/draft/fail"] {
        let fields = ["POST", HOST, path, "crew", "1"];
        let key = fingerprint(&fields.map(str::as_bytes));
        let is_news = ctx
            .quarantine(Subject::Requests)
            .record_crash(ctx.now(), 1, &[key]);
        assert!(is_news);
        let answer = site.send(request("1", path)).await;
        assert!(answer.status.is_server_error());
        assert!(ctx.quarantine(Subject::Requests).is_empty(), "{path}");
    }
}
