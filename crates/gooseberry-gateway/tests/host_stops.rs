//! A planned stop: not ready at once, nothing in flight is cut, new connections go elsewhere.

mod site;

use std::sync::Arc;

use hyper::StatusCode;
use site::{Site, events, exchange, generation, request};

#[tokio::test]
async fn nothing_is_cut() {
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
    // A kept connection may still carry a request; it is answered and told to end.
    let answer = exchange(&mut idle, request("3", "/safe/a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.header("connection"), "close");
    let answer = stream.await.unwrap();
    assert!(answer.is_whole);
    assert_eq!(answer.text(), events("2", 0));
}

/// A host that has decided to end must do nothing more but end: what it still has to tell others is told
/// while it serves. Otherwise a request that comes meanwhile on a kept connection is passed on and cut.
#[tokio::test]
async fn leave_is_taken_while_serving() {
    let site = Site::start().await;
    let store = Arc::clone(&site.store);
    let row = || store.get("gooseberry-hosts", "host-1").is_some();
    site.until("the host's row", row).await;
    let ctx = Arc::clone(&site.gateway.ctx);
    let mut link = site.open().await;
    // The server holds this answer for ever, so that the host cannot end early.
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
        "the row is gone while a call is in flight"
    );
    hanging.abort();
    stopping.await.unwrap();
    assert_eq!(ctx.metrics.in_flight.get(), 0);
}
