//! Requests that end each server which begins to run them, and come again.

mod site;

use std::time::Duration;

use bytes::Bytes;
use gooseberry_gateway::run::Gateway;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use site::{Site, request, send_to};

/// Servers that may end before such a request is recognised, and sends allowed after that.
const MAX_RUNS: usize = 3 + 3;

/// Plain servers of the deployment; more than may end.
const SERVERS: usize = 24;

/// Times that a caller sends such a request.
const REQUESTS: usize = 8;

/// A site with [`SERVERS`] plain servers and a second gateway.
async fn site() -> (Site, Gateway) {
    let site = Site::start().await;
    for i in 3..=SERVERS {
        let centre = if i % 2 == 0 { "a" } else { "b" };
        site.server(&format!("p-{i}"), false, centre).await;
    }
    let other = site.peer("host-2").await;
    (site, other)
}

/// A call that ends its server; all of one path are equal but for their ids.
fn fatal(id: &str, path: &str) -> Request<Full<Bytes>> {
    let mut call = request(id, path);
    *call.body_mut() = Full::from("the same each time");
    call
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
