//! Graceful shutdown: the host is not ready at once, requests in flight complete, and kept connections are
//! closed after their next answer.

mod site;

use std::sync::Arc;

use hyper::StatusCode;
use site::{Site, events, exchange, generation, request};

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
