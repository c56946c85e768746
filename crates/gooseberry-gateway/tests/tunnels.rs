//! Tunnels through other hosts keep what holds without them: no second run, true refusals, budgets counted once.

mod site;

use std::time::Duration;

use base::prelude::*;
use gooseberry_gateway::run::Gateway;
use http_body_util::BodyExt;
use hyper::StatusCode;
use membership::gossip::{KINDS, ListedPeer};
use site::cut::{Cut, CutHost};
use site::{Site, events, generation, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// An answer that fills the buffers of both connections of a tunnel, in bytes.
const LONG_ANSWER: usize = 64 << 20;

/// Longer than data to a server may remain unacknowledged.
const READER_PAUSE: Duration = Duration::from_secs(4);

/// Requests sent to see where they go.
const REQUESTS: usize = 6;

/// Lets a host notice that its paths to the plain servers are cut.
async fn notice(host: &CutHost) {
    for i in 0..3 {
        host.try_send(request(&format!("first-{i}"), "/safe/a"))
            .await;
    }
}

async fn assert_served(host: &CutHost, tag: &str) {
    for i in 0..REQUESTS {
        let id = format!("{tag}-{i}");
        let answer = host.send(request(&id, "/once/a")).await;
        assert_eq!(answer.status, StatusCode::OK, "{id}: {}", answer.text());
    }
}

fn served_tunnels(gateway: &Gateway) -> i64 {
    gateway.ctx.metrics.served_tunnels.get()
}

#[tokio::test]
async fn own_path_returns() {
    let site = Site::start().await;
    for cut in [Cut::Reset, Cut::RefuseNew, Cut::Hang] {
        let host = site.cut_host(&format!("host-{cut:?}"), &["host-1"]).await;
        host.cut_servers(cut).await;
        notice(&host).await;
        assert!(host.tunnel_count() > 0);
        host.cut_servers(Cut::Open).await;
        site.until("the paths are back", || {
            !host.gateway.ctx.servers.has_lost_paths()
        })
        .await;
        let before = host.tunnel_count();
        assert_served(&host, &format!("{cut:?}")).await;
        assert_eq!(
            host.tunnel_count(),
            before,
            "served by the host's own paths"
        );
    }
}

#[tokio::test]
async fn decided_by_one_host() {
    let site = Site::start().await;
    let host = site.cut_host("host-2", &["host-1"]).await;
    host.cut_servers(Cut::Reset).await;
    notice(&host).await;
    let answer = host.send(request("1", "/safe/fail-first")).await;
    assert_eq!(answer.status, StatusCode::OK, "retried by the host");
    assert_eq!(site.shared.runs("1").len(), 2);
    let mut short = request("2", "/once/reject");
    short
        .headers_mut()
        .insert("deadline-ms", "600".parse().unwrap());
    let answer = host.send(short).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.text().contains("\"ran\":\"not_run\""));
    assert!(site.shared.runs("2").is_empty());
    let answer = host.send(request("3", "/once/cut")).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(site.shared.runs("3").len(), 1, "must run once at most");
    let run = &site.shared.runs("1")[0];
    assert_eq!(run.headers["tenant"], "crew");
    assert!(!run.headers.contains_key("x-api-key"));
    let left: u64 = run.headers["deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(left <= 6_000, "{left} ms, but the route allows 6,000");
    let budgets = site.gateway.ctx.budgets();
    assert!(budgets.is_empty(), "the host in between counts no request");
}

#[tokio::test]
async fn caller_of_tunnel_leaves() {
    let site = Site::start().await;
    let host = site.cut_host("host-2", &["host-1"]).await;
    host.cut_servers(Cut::Reset).await;
    notice(&host).await;
    let mut link = host.open().await;
    let waiting = tokio::spawn(async move { link.send(request("1", "/safe/hang")).await });
    site.until("the call runs", || !site.shared.runs("1").is_empty())
        .await;
    waiting.abort();
    site.until("the server observes the disconnect", || {
        site.shared.has_left("1")
    })
    .await;
    site.until("the tunnel is closed", || {
        served_tunnels(&site.gateway) == 0
    })
    .await;
    assert_eq!(site.shared.runs("1").len(), 1);
}

/// Makes a host know only `peer`.
fn know_only(host: &CutHost, peer: &CutHost, name: &str) {
    let listen = peer.gateway.listen;
    host.gateway.ctx.gossip().set_hosts(vec![ListedPeer {
        host: HostId::from(name),
        data_centre: DataCentre::from("b"),
        addr: listen.peers,
        tunnels: listen.tunnels,
        has_http2: true,
        hub_priority: 0,
        kinds: KINDS,
    }]);
}

#[tokio::test]
async fn no_loop_of_hosts() {
    let site = Site::start().await;
    let one = site.cut_host("host-2", &[]).await;
    let two = site.cut_host("host-3", &[]).await;
    know_only(&one, &two, "host-3");
    know_only(&two, &one, "host-2");
    one.cut_servers(Cut::Reset).await;
    two.cut_servers(Cut::Reset).await;
    notice(&one).await;
    notice(&two).await;
    for (i, host) in [&one, &two].into_iter().enumerate() {
        let id = format!("call-{i}");
        let answer = host.send(request(&id, "/once/a")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.text().contains("\"ran\":\"not_run\""));
        assert_eq!(host.tunnel_count(), 0);
    }
}

#[tokio::test]
async fn host_in_between_is_cut_too() {
    let site = Site::start().await;
    let other = site.gateway("host-2").await;
    let host = site.cut_host("host-3", &["host-1", "host-2"]).await;
    host.cut_servers(Cut::Reset).await;
    // The host in between takes its servers to be out of reach, as it has no open way to them either.
    for id in ["p-1", "p-2", "e-1", "e-2"] {
        let id = BackendId::from(id);
        let ctx = &other.ctx;
        ctx.servers
            .record_refused(&id, ctx.now(), &ctx.data_centre, true);
    }
    notice(&host).await;
    assert_served(&host, "a").await;
}

#[tokio::test]
async fn host_in_between_is_lost() {
    let site = Site::start().await;
    let _other = site.gateway("host-2").await;
    for cut in [Cut::Reset, Cut::Hang] {
        let host = site
            .cut_host(&format!("host-{cut:?}"), &["host-1", "host-2"])
            .await;
        host.cut_servers(Cut::Reset).await;
        notice(&host).await;
        let id = format!("stream-{cut:?}");
        let mut link = host.open().await;
        let response = link.send(generation(&id, "/draft/a")).await.unwrap();
        let mut body = response.into_body();
        let first = body.frame().await.unwrap().unwrap().into_data().unwrap();
        let through_first = served_tunnels(&site.gateway) > 0;
        let lost = if through_first { "host-1" } else { "host-2" };
        host.cut(lost, cut).await;
        let rest = body.collect().await.expect("the stream was cut").to_bytes();
        let text = String::from_utf8([first, rest].concat()).unwrap();
        assert_eq!(text, events(&id, 0));
        assert_served(&host, &format!("{cut:?}")).await;
    }
}

/// The request goes on elsewhere, so the server must not work on it for a host that is out of reach.
#[tokio::test]
async fn run_outlives_lost_host() {
    let site = Site::start().await;
    let host = site.cut_host("host-2", &["host-1"]).await;
    host.cut_servers(Cut::Reset).await;
    notice(&host).await;
    let mut link = host.open().await;
    let waiting = tokio::spawn(async move { link.send(request("1", "/safe/hang")).await });
    site.until("the call runs", || !site.shared.runs("1").is_empty())
        .await;
    host.cut("host-1", Cut::Hang).await;
    site.until("the server observes that the host is gone", || {
        site.shared.has_left("1")
    })
    .await;
    waiting.abort();
}

#[tokio::test]
async fn host_in_between_stops() {
    let site = Site::start().await;
    let other = site.gateway("host-2").await;
    let host = site.cut_host("host-3", &["host-1", "host-2"]).await;
    host.cut_servers(Cut::Reset).await;
    notice(&host).await;
    let mut link = host.open().await;
    let response = link.send(generation("1", "/draft/a")).await.unwrap();
    for gateway in [&site.gateway, &other] {
        if served_tunnels(gateway) > 0 {
            gateway.ctx.stop();
            assert!(
                gateway.ctx.metrics.in_flight.get() > 0,
                "it waits for the tunnel"
            );
        }
    }
    let body = response.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(String::from_utf8(body.to_vec()).unwrap(), events("1", 0));
    assert_eq!(site.shared.runs("1").len(), 1, "the stream was not moved");
    assert_served(&host, "a").await;
}

#[tokio::test]
async fn host_of_earlier_version() {
    let site = Site::start().await;
    let _other = site.gateway("host-2").await;
    site.forget_tunnels("host-1").await;
    let host = site.cut_host("host-3", &["host-1", "host-2"]).await;
    host.cut_servers(Cut::Reset).await;
    notice(&host).await;
    assert_served(&host, "a").await;
    assert_eq!(served_tunnels(&site.gateway), 0);
}

/// Callers may read slowly, so that a host stops reading from its tunnel for a while.
#[tokio::test]
async fn slow_reader_is_cut() {
    let site = Site::bare().await;
    let listener = site::listener().await;
    let addr = listener.local_addr().unwrap();
    site.list("p-1", addr, false, "a", "ready");
    site.until("the server is listed", || site.listed_count() == 1)
        .await;
    let host = site.gateway.listen.tunnels.unwrap();
    let mut tunnel = TcpStream::connect(host).await.unwrap();
    let head = format!("CONNECT {addr} HTTP/1.1\r\nbackend-server: p-1\r\n\r\n");
    tunnel.write_all(head.as_bytes()).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    tokio::spawn(async move {
        // An error is seen by the reader as missing bytes.
        let _ = server.write_all(&vec![b'x'; LONG_ANSWER]).await;
    });
    tokio::time::sleep(READER_PAUSE).await;
    let mut received = Vec::new();
    let result = tunnel.read_to_end(&mut received).await;
    assert!(result.is_ok(), "{result:?}");
    let body = received.iter().filter(|b| **b == b'x').count();
    assert_eq!(body, LONG_ANSWER);
}

/// An answer that ends with its connection is whole if the server ended it, and only then: the host in between may
/// be lost instead, and the server may fail.
#[tokio::test]
async fn answer_without_length() {
    let site = Site::bare().await;
    let listener = site::listener().await;
    let addr = listener.local_addr().unwrap();
    let (finish, finished) = watch::channel(None);
    tokio::spawn(answer_without_lengths(listener, finished));
    site.list("p-1", addr, false, "a", "ready");
    site.configure(1, &site::config(1));
    site.until("ready", || site.version() == 1 && site.listed_count() == 1)
        .await;
    let host = site.cut_host("host-2", &["host-1"]).await;
    finish.send_replace(Some(End::Close));
    let answer = host.send(request("1", "/once/a")).await;
    assert_eq!((answer.status, answer.text()), (StatusCode::OK, "half"));
    host.cut_servers(Cut::Reset).await;
    let answer = host.send(request("2", "/once/a")).await;
    assert_eq!((answer.status, answer.text()), (StatusCode::OK, "half"));
    assert!(host.tunnel_count() > 0);
    finish.send_replace(Some(End::Reset));
    let answer = host.send(request("3", "/once/a")).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "it has run");
    finish.send_replace(None);
    let mut link = host.open().await;
    let waiting = tokio::spawn(async move { link.send(request("4", "/once/a")).await });
    let is_open = || served_tunnels(&site.gateway) > 0;
    site.until("the tunnel is open", is_open).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    host.cut("host-1", Cut::Reset).await;
    let answer = waiting.await.unwrap().unwrap();
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "it has run");
}

/// How a server ends its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// A server whose answers have no length and end with their connection, once it is told how.
async fn answer_without_lengths(listener: TcpListener, end: watch::Receiver<Option<End>>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut end = end.clone();
        tokio::spawn(async move {
            let mut head = [0; 4_096];
            if stream.read(&mut head).await.is_ok_and(|n| n > 0) {
                let answer =
                    b"HTTP/1.1 200 OK\r\nresponse-seal: s\r\nconnection: close\r\n\r\nhalf";
                let _ = stream.write_all(answer).await;
                let end = *end.wait_for(Option::is_some).await.unwrap();
                if end == Some(End::Reset) {
                    // Lets the answer arrive before the reset.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    stream.set_zero_linger().unwrap();
                }
            }
        });
    }
}

/// Hosts of the version before open tunnels by HTTP/1 only, where an answer that ends with its connection may have been
/// cut off.
#[tokio::test]
async fn only_hosts_of_earlier_version() {
    let site = Site::bare().await;
    let listener = site::listener().await;
    let addr = listener.local_addr().unwrap();
    let (_finish, finished) = watch::channel(Some(End::Close));
    tokio::spawn(answer_without_lengths(listener, finished));
    for (id, centre) in [("p-2", "a"), ("p-3", "b")] {
        site.server(id, false, centre).await;
    }
    site.configure(1, &site::config(1));
    site.until("ready", || site.version() == 1 && site.listed_count() == 2)
        .await;
    site.forget_tunnels("host-1").await;
    let host = site.cut_host("host-2", &["host-1"]).await;
    host.cut_servers(Cut::Reset).await;
    notice(&host).await;
    assert_served(&host, "a").await;
    assert!(host.tunnel_count() > 0);
    for id in ["p-2", "p-3"] {
        site.put("servers", id, None);
    }
    site.list("p-1", addr, false, "a", "ready");
    site.until("listed", || site.listed_count() == 1).await;
    let host = site.cut_host("host-3", &["host-1"]).await;
    host.cut_servers(Cut::Reset).await;
    let answer = host.send(request("1", "/once/a")).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "it has run");
}
