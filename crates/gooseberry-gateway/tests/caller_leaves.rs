//! A caller that disconnects ends the work done for its request.

mod site;

use http_body_util::BodyExt;
use site::{Site, generation, request};

#[tokio::test]
async fn during_a_call() {
    let site = Site::start().await;
    let mut link = site.open().await;
    let waiting = tokio::spawn(async move { link.send(request("1", "/safe/hang")).await });
    site.until("the call runs", || !site.shared.runs("1").is_empty())
        .await;
    waiting.abort();
    site.until("the server observes the disconnect", || {
        site.shared.has_left("1")
    })
    .await;
    assert_eq!(
        site.shared.runs("1").len(),
        1,
        "the call must not be retried"
    );
    site.until("nothing is in flight", || {
        site.gateway.ctx.metrics.in_flight.get() == 0
    })
    .await;
}

#[tokio::test]
async fn during_a_stream() {
    let site = Site::start().await;
    let mut link = site.open().await;
    let response = link.send(generation("1", "/draft/silent-first")).await;
    let mut body = response.unwrap().into_body();
    assert!(body.frame().await.is_some());
    drop(body);
    drop(link);
    site.until("nothing is in flight", || {
        site.gateway.ctx.metrics.in_flight.get() == 0
    })
    .await;
}
