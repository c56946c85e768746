//! Graceful shutdown: the host is not ready at once, requests in flight complete, and kept connections are
//! closed after their next answer.

mod site;

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use site::{Site, events, exchange, generation, listener, open, request, send_to};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// A short grace period, in seconds.
const GRACE_S: f64 = 3.0;

#[tokio::test]
async fn requests_in_flight_complete() {
    let site = Site::start().await;
    let (mut idle, mut busy) = (site.open().await, site.open().await);
    assert_eq!(
        exchange(&mut idle, request("1", "/safe/a")).await.status,
        StatusCode::OK
    );
    let stream =
        tokio::spawn(
            async move { exchange(&mut busy, generation("2", "/draft/break-first")).await },
        );
    site.until("the stream runs", || !site.shared.runs("2").is_empty())
        .await;
    site.gateway.ctx.stop();
    assert!(!site.is_ready().await);
    // A request on a kept connection is still answered, and the answer closes the connection.
    let answer = exchange(&mut idle, request("3", "/safe/a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.header("connection"), "close");
    let answer = stream.await.unwrap();
    assert!(answer.is_whole);
    assert_eq!(answer.text(), events("2", 0));
}

/// A stopping host must sign off and remove its row while it still serves, and end at once afterwards. If it
/// did so after the last request, a request arriving meanwhile on a kept connection would be forwarded and
/// then cut off by the end of the process.
#[tokio::test]
async fn unregisters_while_serving() {
    let site = Site::start().await;
    let store = Arc::clone(&site.store);
    let row = || store.get("gooseberry-hosts", "host-1").is_some();
    site.until("the host's row", row).await;
    let ctx = Arc::clone(&site.gateway.ctx);
    let mut link = site.open().await;
    // The server never answers this call, so that the host cannot end early.
    let hanging = tokio::spawn(async move { link.send(request("1", "/safe/hang")).await });
    site.until("the call runs", || !site.shared.runs("1").is_empty())
        .await;
    let stopping = tokio::spawn(site.gateway.stop());
    while row() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    assert_eq!(
        ctx.metrics.in_flight.get(),
        1,
        "the row must be removed while the call is in flight"
    );
    hanging.abort();
    stopping.await.unwrap();
    assert_eq!(ctx.metrics.in_flight.get(), 0);
}

/// A call that comes when too little of the grace period is left for its time limit must be refused before it runs: if
/// it were passed on, the end of the process could cut it off.
#[tokio::test]
async fn late_calls_are_refused() {
    let site = Site::start().await;
    let gateway = site.gateway_with_grace("host-2", GRACE_S).await;
    let mut kept = open(&gateway).await;
    exchange(&mut kept, request("1", "/once/a")).await;
    gateway.ctx.stop();
    sleep(Duration::from_secs_f64(GRACE_S * 0.4)).await;
    let answer = exchange(&mut kept, request("2", "/once/a")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.is_refusal() && !answer.header("retry-after").is_empty());
    assert!(site.shared.runs("2").is_empty());
    // One whose time limit ends before the process does is still served.
    let mut short = request("3", "/once/a");
    let limit = "500".parse().unwrap();
    short.headers_mut().insert("deadline-ms", limit);
    assert_eq!(send_to(&gateway, short).await.status, StatusCode::OK);
}

/// A call that waits for a server must not be sent either once too little of the grace period is left.
#[tokio::test]
async fn waiting_calls_are_refused() {
    let site = Site::start().await;
    let gateway = site.gateway_with_grace("host-2", GRACE_S).await;
    site.shared.reject_all("p-1");
    site.shared.reject_all("p-2");
    let mut link = open(&gateway).await;
    gateway.ctx.stop();
    let call = exchange(&mut link, request("1", "/once/a"));
    let count = || site.shared.rejections_at("p-1") + site.shared.rejections_at("p-2");
    let early = async {
        sleep(Duration::from_secs_f64(GRACE_S * 0.4)).await;
        count()
    };
    let (answer, early) = tokio::join!(call, early);
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(early > 0);
    assert_eq!(count(), early, "no send after the time for starts");
}

/// A call that is still running when the grace period is nearly over must be answered before the process ends.
#[tokio::test]
async fn running_calls_are_answered() {
    let site = Site::start().await;
    let gateway = site.gateway_with_grace("host-2", GRACE_S).await;
    let ctx = Arc::clone(&gateway.ctx);
    let mut link = open(&gateway).await;
    let call = exchange(&mut link, request("1", "/once/hang"));
    let stop = async {
        site.until("the call runs", || !site.shared.runs("1").is_empty())
            .await;
        gateway.stop().await;
        ctx.metrics.in_flight.get()
    };
    let (answer, left) = tokio::join!(call, stop);
    assert_eq!(left, 0, "requests without an answer at the end");
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(answer.text().contains("stopping"));
}

/// Bytes of an answer that the sockets of a connection cannot hold.
const LARGE_BYTES: usize = 15 << 20;

/// A server whose answers are large.
async fn large(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer_large(stream));
    }
}

async fn answer_large(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = vec![0; 16 << 10];
    while stream.read(&mut request).await? > 0 {
        let head =
            format!("HTTP/1.1 200 OK\r\nresponse-seal: s\r\ncontent-length: {LARGE_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&vec![b'x'; LARGE_BYTES]).await?;
    }
    Ok(())
}

/// An answer that its caller reads slowly must be written before the process ends.
#[tokio::test]
async fn slowly_read_answer() {
    let site = Site::bare().await;
    let listener = listener().await;
    let addr = listener.local_addr().unwrap();
    tokio::spawn(large(listener));
    site.list("p-1", addr, false, "a", "ready");
    site.configure(1, &site::config(1));
    site.until("ready", || site.version() == 1 && site.listed_count() == 1)
        .await;
    let mut link = site.open().await;
    let response = link.send(request("1", "/once/a")).await.unwrap();
    let ctx = Arc::clone(&site.gateway.ctx);
    // The caller has the head and reads no further for a while.
    sleep(Duration::from_millis(200)).await;
    assert_eq!(ctx.metrics.in_flight.get(), 1);
    let answer = site::caller::read(response).await;
    assert!(answer.is_whole);
    assert_eq!(answer.body.len(), LARGE_BYTES);
    site.until("the answer is complete", || {
        ctx.metrics.in_flight.get() == 0
    })
    .await;
}
