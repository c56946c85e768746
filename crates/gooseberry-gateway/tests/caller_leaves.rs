//! A caller that leaves ends the work done for it.

mod site;

use http_body_util::BodyExt;
use site::{Site, generation, request};

#[tokio::test]
async fn while_a_call_runs() {
    let site = Site::start().await;
    let mut link = site.open().await;
    let waiting = tokio::spawn(async move { link.send(request("1", "/safe/hang")).await });
    site.until("the call runs", || !site.shared.runs("1").is_empty())
        .await;
    waiting.abort();
    site.until("the server sees it", || site.shared.has_left("1"))
        .await;
    assert_eq!(site.shared.runs("1").len(), 1, "it is not sent again");
    site.until("nothing is in flight", || {
        site.gateway.ctx.metrics.in_flight.get() == 0
    })
    .await;
}

#[tokio::test]
async fn while_a_stream_runs() {
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
