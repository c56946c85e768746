//! What servers say of themselves in answers that pass through a host for other hosts.

mod site;

use std::net::SocketAddr;

use base::prelude::*;
use hyper::StatusCode;
use site::cut::{Cut, CutHost};
use site::{Site, caller, events, generation, request, server_addr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Hosts that ask for tunnels.
const ASKERS: usize = 4;

/// Requests sent by each host to see where they go.
const REQUESTS: usize = 6;

/// Opens a tunnel as a host of an earlier version does, and sends a call; returns all that comes back.
async fn ask(host: SocketAddr, server: (&str, SocketAddr), call: &str) -> String {
    let mut tunnel = TcpStream::connect(host).await.unwrap();
    let (id, addr) = server;
    let head = format!("CONNECT {addr} HTTP/1.1\r\nbackend-server: {id}\r\n\r\n");
    tunnel.write_all(head.as_bytes()).await.unwrap();
    let mut opened = vec![0; 4_096];
    let count = tunnel.read(&mut opened).await.unwrap();
    let mut received = String::from_utf8_lossy(&opened[..count]).into_owned();
    if received.starts_with("HTTP/1.1 200") {
        let request = format!(
            "POST /once/a HTTP/1.1\r\nhost: x\r\nattempt-id: {call}\r\nexpect-instance: {id}\r\n\
             content-length: 0\r\nconnection: close\r\n\r\n"
        );
        tunnel.write_all(request.as_bytes()).await.unwrap();
        tunnel.read_to_string(&mut received).await.unwrap();
    }
    received
}

/// Hosts that are cut from the plain servers and reach them through the site's gateway.
async fn askers(site: &Site) -> Vec<CutHost> {
    let mut hosts = Vec::new();
    for i in 0..ASKERS {
        let host = site.cut_host(&format!("asker-{i}"), &["host-1"]).await;
        host.cut("p-", Cut::Reset).await;
        for call in 0..4 {
            host.try_send(request(&format!("first-{i}-{call}"), "/safe/a"))
                .await;
        }
        assert!(host.tunnel_count() > 0);
        hosts.push(host);
    }
    hosts
}

/// A server counts the host from which requests reach it, whoever asked that host for a tunnel.
#[tokio::test]
async fn paused_host_in_between() {
    let site = Site::start().await;
    let hosts = askers(&site).await;
    site.shared.set_header("p-1", "retry-after", Some("30"));
    site.shared.reject_all("p-1");
    let mut sent = 0;
    while site.shared.rejections_at("p-1") == 0 {
        let answer = hosts[0]
            .send(request(&format!("tell-{sent}"), "/once/a"))
            .await;
        assert_eq!(answer.status, StatusCode::OK);
        sent += 1;
    }
    for i in 0..REQUESTS {
        for (host, asker) in hosts.iter().enumerate() {
            let call = asker
                .send(request(&format!("call-{host}-{i}"), "/once/a"))
                .await;
            assert_eq!(call.status, StatusCode::OK, "{}", call.text());
        }
        let call = site.send(request(&format!("own-{i}"), "/once/a")).await;
        assert_eq!(call.status, StatusCode::OK);
    }
    assert_eq!(site.shared.rejections_at("p-1"), 1);
}

/// The host that asked for the tunnel may end before it tells the others.
#[tokio::test]
async fn leaving_told_to_lost_host() {
    let site = Site::start().await;
    let host = site.gateway.listen.tunnels.unwrap();
    let server = ("p-1", server_addr(&site.gateway, "p-1"));
    site.shared.set_header("p-1", "server-leaving", Some("1"));
    let answer = ask(host, server, "tell").await;
    assert!(answer.contains("server-leaving: 1"), "{answer}");
    for i in 0..REQUESTS {
        let call = site.send(request(&format!("own-{i}"), "/once/a")).await;
        assert_eq!(call.status, StatusCode::OK);
        let answer = ask(host, server, &format!("call-{i}")).await;
        assert!(answer.contains("tunnel-refusal"), "{answer}");
    }
    assert_eq!(site.shared.runs_at("p-1"), 1);
}

/// A stream goes on at a server that leaves, and the checks of that server do not end it.
#[tokio::test]
async fn stream_at_leaving_server() {
    let site = Site::start().await;
    let host = site.cut_host("asker", &["host-1"]).await;
    host.cut_servers(Cut::Reset).await;
    for i in 0..4 {
        host.try_send(generation(&format!("first-{i}"), "/draft/a"))
            .await;
    }
    let mut link = host.open().await;
    let response = link.send(generation("1", "/draft/slow")).await.unwrap();
    let (own, between) = (&host.gateway.ctx, &site.gateway.ctx);
    for id in ["e-1", "e-2"].map(BackendId::from) {
        assert!(between.servers.record_leaving(&id, between.now()));
    }
    let started = own.now();
    let answer = caller::read(response).await;
    assert_eq!((answer.text(), answer.is_whole), (&*events("1", 0), true));
    assert_eq!(site.shared.runs("1").len(), 1, "the stream was moved");
    for id in ["e-1", "e-2"].map(BackendId::from) {
        assert!(
            own.servers.is_up_since(&id, started),
            "{id} counts as failed"
        );
    }
}
