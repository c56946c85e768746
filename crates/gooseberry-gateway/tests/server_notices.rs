//! What servers say of themselves in their answers: that they are leaving, or want no requests for a while.

mod site;

use std::sync::Arc;

use base::prelude::*;
use gooseberry_gateway::fleet::Servers;
use gooseberry_gateway::run::Gateway;
use hyper::StatusCode;
use serde_json::Value;
use site::cut::Cut;
use site::{Site, config, generation, request, server_addr};

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
    let other = site.peer("host-2").await;
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
        server_addr(&site.gateway, "p-1"),
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

/// From half a second after the answer on, two requests are allowed until the time is over.
#[tokio::test]
async fn server_turns_host_away() {
    let site = Site::start().await;
    for id in ["p-1", "e-1"] {
        site.shared.set_header(id, "retry-after", Some("30"));
        site.shared.reject_all(id);
    }
    for i in 0..REQUESTS {
        let call = site.send(request(&format!("call-{i}"), "/once/a")).await;
        assert_eq!(call.status, StatusCode::OK);
        let stream = generation(&format!("stream-{i}"), "/draft/a");
        assert!(site.send(stream).await.is_whole);
    }
    for id in ["p-1", "e-1"] {
        let rejections = site.shared.rejections_at(id);
        assert!((1..=2).contains(&rejections), "{id}: {rejections}");
    }
}

#[tokio::test]
async fn all_servers_turn_host_away() {
    let site = Site::start().await;
    for id in ["p-1", "p-2"] {
        site.shared.set_header(id, "retry-after", Some("30"));
        site.shared.reject_all(id);
    }
    for i in 0..REQUESTS {
        let call = site.send(request(&format!("call-{i}"), "/once/a")).await;
        assert_eq!(call.status, StatusCode::SERVICE_UNAVAILABLE);
        let retry: f64 = call.header("retry-after").parse().unwrap();
        assert!(retry > 0.0);
    }
    let rejections = ["p-1", "p-2"].map(|id| site.shared.rejections_at(id));
    assert_eq!(rejections, [1, 1]);
}

/// A poll may be the first that a host hears of a server.
#[tokio::test]
async fn notice_of_unused_server() {
    let site = Site::start().await;
    let ctx = &site.gateway.ctx;
    ctx.servers
        .pause(&BackendId::from("p-1"), ctx.now(), Millis(30_000));
    let id = BackendId::from("e-1");
    assert!(
        ctx.servers
            .record_limit(&id, ctx.now(), ctx.now(), Some(1_000))
    );
    for i in 0..REQUESTS {
        let call = site.send(request(&format!("call-{i}"), "/once/a")).await;
        assert_eq!(call.status, StatusCode::OK);
    }
    assert_eq!(site.shared.runs_at("p-1"), 0);
}

/// A stream that has been placed waits for its backup server, while others hear that its own wants no requests.
#[tokio::test]
async fn notice_after_placement() {
    let site = Site::start().await;
    let notices: [fn(&Servers, &BackendId, Millis); 2] = [
        |servers, id, now| servers.pause(id, now, Millis(30_000)),
        |servers, id, now| assert!(servers.record_leaving(id, now)),
    ];
    for (i, notice) in notices.into_iter().enumerate() {
        let host = site.cut_host(&format!("host-{i}"), &[]).await;
        host.cut("e-2", Cut::Hang).await;
        let ctx = Arc::clone(&host.gateway.ctx);
        let mut link = host.open().await;
        let id = format!("stream-{i}");
        let stream = generation(&id, "/draft/a");
        let waiting = tokio::spawn(async move { link.send(stream).await.unwrap().status() });
        let e1 = BackendId::from("e-1");
        site.until("the stream is placed", || ctx.servers.prefill(&e1) > 0)
            .await;
        notice(&ctx.servers, &e1, ctx.now());
        assert_eq!(waiting.await.unwrap(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(site.shared.runs(&id).is_empty(), "{id} was sent");
    }
}

/// A row may be missing for a moment, as around an outage of the registry; a server that has started anew is another.
#[tokio::test]
async fn pause_outlives_row() {
    let site = Site::start().await;
    let servers = &site.gateway.ctx.servers;
    let p1 = BackendId::from("p-1");
    let row = site.store.get("servers", "p-1").unwrap();
    let mut row: Value = serde_json::from_slice(&row).unwrap();
    servers.pause(&p1, site.gateway.ctx.now(), Millis(30_000));
    for (started, is_paused) in [(1, true), (2, false)] {
        site.put("servers", "p-1", None);
        site.until("the row is gone", || site.listed_count() == 3)
            .await;
        servers.lock().sweep(site.gateway.ctx.now());
        row["born"] = started.into();
        site.put("servers", "p-1", Some(row.clone()));
        site.until("the row is back", || site.listed_count() == 4)
            .await;
        let takes_requests = servers.takes_requests(&p1, site.gateway.ctx.now());
        assert_eq!(takes_requests, !is_paused, "started at {started}");
    }
}

/// More servers may leave at once than fit a datagram.
#[tokio::test]
async fn many_servers_leave() {
    const SERVERS: usize = 300;
    let site = Site::start().await;
    let ctx = &site.gateway.ctx;
    let ids: Vec<String> = (0..SERVERS).map(|i| format!("many-{i}")).collect();
    for id in &ids {
        site.list(id, ([127, 0, 0, 1], 1).into(), false, "a", "ready");
    }
    site.until("the servers are listed", || {
        site.listed_count() == SERVERS + 4
    })
    .await;
    let other = site.peer("host-2").await;
    for id in ids.iter().map(|id| BackendId::from(id.as_str())) {
        assert!(ctx.servers.record_leaving(&id, ctx.now()));
        ctx.servers
            .record_limit(&id, ctx.now(), ctx.now(), Some(1_000));
    }
    ctx.wake_gossip.notify_one();
    site.until("the other host has heard of all", || {
        let is_told = |id: &String| {
            let id = BackendId::from(id.as_str());
            !is_used(&other, id.as_str()) && other.ctx.servers.is_limited(&id)
        };
        ids.iter().all(is_told)
    })
    .await;
}

/// An answer that is not forwarded still says what its server wants.
#[tokio::test]
async fn notice_of_unusable_answer() {
    let site = Site::start().await;
    for (id, path) in [("p-1", "/once/encoded"), ("p-2", "/once/foreign")] {
        site.shared.set_header(id, "server-leaving", Some("1"));
        let (before, mut sent) = (site.shared.runs_at(id), 0);
        while site.shared.runs_at(id) == before {
            let call = site.send(request(&format!("{id}-{sent}"), path)).await;
            assert_eq!(call.status, StatusCode::BAD_GATEWAY);
            sent += 1;
        }
        assert!(!is_used(&site.gateway, id), "{path}");
    }
}

/// What another server at the address says concerns that one only.
#[tokio::test]
async fn notice_of_another_server() {
    let site = Site::bare().await;
    let listener = site::listener().await;
    let addr = listener.local_addr().unwrap();
    site.serve(listener, "new", false);
    for id in ["old", "new"] {
        site.list(id, addr, false, "a", "ready");
    }
    site.configure(1, &config(1));
    site.until("ready", || site.version() == 1 && site.listed_count() == 2)
        .await;
    site.shared.set_header("new", "server-leaving", Some("1"));
    let ctx = &site.gateway.ctx;
    ctx.servers
        .pause(&BackendId::from("new"), ctx.now(), Millis(30_000));
    let call = site.send(request("1", "/once/a")).await;
    assert_eq!(call.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(is_used(&site.gateway, "old") && !is_used(&site.gateway, "new"));
}
