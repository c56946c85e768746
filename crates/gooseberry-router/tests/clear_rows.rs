//! Call rows are deleted after their retention period, and not before.

#[expect(dead_code, reason = "each test uses part of the module")]
mod site;

use std::sync::Arc;

use calls::record::PARTITIONS;
use gooseberry_router::claims::platform;
use gooseberry_router::context::Router;
use gooseberry_router::services::clear::clear_part;
use hyper::Method;
use site::{Site, document, stand_in};
use store::wire::{Row, Scan};
use tokio_util::sync::CancellationToken;

/// Size of a body that is stored in the object store, in bytes.
const LARGE: usize = 50_000;

#[tokio::test]
async fn clear_rows() {
    let stop = CancellationToken::new();
    let server = stand_in(&stop).await;
    let mut short = document(1_500);
    short.services[0].retain_ms = 1;
    let site = Site::start(1, &[server], &short).await;
    let router = &site.routers[0];
    let body = "x".repeat(LARGE);
    site.call(0, Method::POST, "/confirm", "large", &body).await;
    site.confirm(0, "small").await;
    // A row is kept for at least two deadlines, also with `retain_ms` 1, so that it outlives each
    // submission in progress.
    until_count(router, 2).await;
    clear(router).await;
    assert_eq!(rows(router).await.len(), 2);
    let object = rows(router).await.iter().find_map(object_name);
    let object = object.expect("the large body is in the object store");
    while !rows(router).await.is_empty() {
        clear(router).await;
    }
    let kept = platform(router).object(&object).await.expect("a read");
    assert_eq!(kept, None);
}

/// Waits until `count` outcomes are stored.
async fn until_count(router: &Arc<Router>, count: usize) {
    loop {
        let done = rows(router).await;
        let is_done = |r: &&Row| r.value["state"].get("done").is_some();
        if done.iter().filter(is_done).count() == count {
            return;
        }
        tokio::task::yield_now().await;
    }
}

async fn clear(router: &Arc<Router>) {
    for part in 0..PARTITIONS {
        clear_part(router, part).await;
    }
}

async fn rows(router: &Arc<Router>) -> Vec<Row> {
    let scan = Scan {
        prefix: "call/".to_owned(),
        after: String::new(),
        limit: 100,
    };
    platform(router).scan(&scan).await.expect("a scan")
}

fn object_name(row: &Row) -> Option<String> {
    let name = row.value["state"]["done"]["body"]["object"].as_str();
    name.map(str::to_owned)
}
