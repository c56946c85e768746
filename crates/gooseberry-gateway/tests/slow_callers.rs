//! Callers that stop reading a stream for a while get all of it.

mod site;

use std::time::Duration;

use gooseberry_gateway::link::Link;
use http_body_util::BodyExt;
use site::cut::Cut;
use site::{Site, generation};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Longer than a server may be without an event.
const READER_PAUSE: Duration = Duration::from_secs(4);

/// Events of a stream that fills the buffers of all connections.
const EVENTS: usize = 300;

/// An event of 64 KiB, whatever its number.
fn event(number: usize) -> String {
    format!("id: {number:08}\ndata: {}\n\n", "x".repeat(64 << 10))
}

/// An engine that answers each stream with [`EVENTS`] events at once.
async fn long_streams(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        tokio::spawn(async move {
            let mut head = [0; 4_096];
            if stream.read(&mut head).await.is_ok_and(|n| n > 0) {
                let head = "HTTP/1.1 200 OK\r\nresponse-seal: s\r\nconnection: close\r\n\r\n";
                let _ = stream.write_all(head.as_bytes()).await;
                for number in 1..=EVENTS {
                    let _ = stream.write_all(event(number).as_bytes()).await;
                }
            }
        });
    }
}

async fn site() -> Site {
    let site = Site::bare().await;
    let listener = site::listener().await;
    let addr = listener.local_addr().unwrap();
    tokio::spawn(long_streams(listener));
    site.list("e-1", addr, true, "a", "ready");
    site.configure(1, &site::config(1));
    site.until("ready", || site.version() == 1 && site.listed_count() == 1)
        .await;
    site
}

async fn assert_whole(mut link: Link) {
    let response = link.send(generation("1", "/draft/a")).await.unwrap();
    tokio::time::sleep(READER_PAUSE).await;
    let body = response.into_body().collect().await.expect("cut");
    assert_eq!(body.to_bytes().len(), EVENTS * event(1).len());
}

#[tokio::test]
async fn slow_caller_is_not_cut() {
    let site = site().await;
    assert_whole(site.open().await).await;
}

#[tokio::test]
async fn slow_caller_through_tunnel() {
    let site = site().await;
    let host = site.cut_host("host-2", &["host-1"]).await;
    host.cut_servers(Cut::Reset).await;
    assert_whole(host.open().await).await;
    assert!(host.tunnel_count() > 0);
}
