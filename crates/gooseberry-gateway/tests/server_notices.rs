//! What servers say of themselves in their answers: that they are leaving.

mod site;

use base::prelude::*;
use gooseberry_gateway::run::Gateway;
use hyper::StatusCode;
use site::{Site, generation, request};

/// Requests sent to see where they go.
const REQUESTS: usize = 12;

/// Whether a host may send requests to a server.
fn is_used(gateway: &Gateway, id: &str) -> bool {
    let now = gateway.ctx.now();
    let fleet = gateway.ctx.servers.lock();
    let member = fleet.roster.get(&BackendId::from(id));
    member.is_some_and(|m| m.is_usable(now))
}

#[tokio::test]
async fn leaving_server_is_not_used() {
    let site = Site::start().await;
    let other = site.gateway("host-2").await;
    site.until("the second gateway knows all servers", || {
        other.ctx.servers.lock().roster.len() == 4
    })
    .await;
    for id in ["p-1", "e-1"] {
        site.shared.set_header(id, "server-leaving", Some("1"));
    }
    for i in 0..REQUESTS {
        let call = site.send(request(&format!("tell-{i}"), "/once/a")).await;
        assert_eq!(call.status, StatusCode::OK, "the answer itself counts");
        let stream = generation(&format!("tell-stream-{i}"), "/draft/a");
        assert!(site.send(stream).await.is_whole);
    }
    let before = ["p-1", "e-1"].map(|id| site.shared.runs_at(id));
    // The registry has it still as one that serves.
    site.list(
        "p-1",
        site.gateway
            .ctx
            .servers
            .addr(&BackendId::from("p-1"))
            .unwrap(),
        false,
        "a",
        "ready",
    );
    for i in 0..REQUESTS {
        let call = site.send(request(&format!("call-{i}"), "/once/a")).await;
        assert_eq!(call.status, StatusCode::OK);
        let stream = generation(&format!("stream-{i}"), "/draft/a");
        assert!(site.send(stream).await.is_whole);
    }
    let after = ["p-1", "e-1"].map(|id| site.shared.runs_at(id));
    assert_eq!(after, before);
    site.until("the other host has heard of it", || {
        !is_used(&other, "p-1") && !is_used(&other, "e-1")
    })
    .await;
}
