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

#[tokio::test]
async fn row_is_removed() {
    let site = Site::start().await;
    let store = Arc::clone(&site.store);
    let row = || store.get("gooseberry-hosts", "host-1").is_some();
    site.until("the host's row", row).await;
    site.gateway.stop().await;
    assert!(!row());
}
