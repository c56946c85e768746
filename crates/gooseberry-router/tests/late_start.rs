//! A generation whose output does not begin within the deadline is answered with an error then.

mod common;

use std::sync::Arc;

use base::prelude::*;
use common::{configure, request, router, send};
use gooseberry_router::backends::Backend;
use gooseberry_router::config::Snapshot;
use gooseberry_router::context::Router;
use hyper::StatusCode;
use peer::agent::BackendView;
use serde_json::json;
use tokio::net::TcpListener;

/// Creates a router whose only engine accepts connections and never answers.
async fn router_with_unresponsive_engine() -> (Arc<Router>, TcpListener) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let view = BackendView {
        backend: BackendId::from("mute"),
        service: ServiceName::from("draft-model"),
        data_centre: DataCentre::from("vn-south-a"),
        addr: listener.local_addr().expect("an address"),
        incarnation: None,
        leaving: false,
        alive: true,
        running: 0,
        queued: 0,
        slots: 8,
        models: vec![Model {
            name: "draft".to_owned(),
            version: "1".to_owned(),
            adapter: None,
        }],
        age_ms: 0,
        blocks: Vec::new(),
    };
    let router = router();
    configure(&router);
    let configured = router.snapshot();
    router.swap(Snapshot {
        backends: vec![Arc::new(Backend::adopt(Millis(0), view, &[]))],
        ..(*configured).clone()
    });
    (router, listener)
}

#[tokio::test]
async fn unresponsive_engine() {
    let (router, _listener) = router_with_unresponsive_engine().await;
    let body = json!({ "model": "draft-model", "prompt": "Scene 1", "max_tokens": 5 });
    let completion = request("POST", "/v1/completions", body.to_string());
    let answer = send(&router, completion).await;
    assert_eq!(
        answer.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{}",
        answer.body
    );
    assert_eq!(answer.body["kind"], "overloaded");
    // The engine may have started the generation, so `not_run` would be wrong.
    assert_eq!(answer.body["ran"], "unknown");
    assert_eq!(answer.headers["retry-after"], "1");
}
