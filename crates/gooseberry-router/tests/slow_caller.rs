//! Back-pressure from a caller that does not read: the router buffers a bounded part of the output,
//! and all of it arrives once the caller reads again.

#[expect(dead_code, reason = "each test uses part of the module")]
mod common;

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use common::{configure, connect, request, router};
use gooseberry_router::backends::Backend;
use gooseberry_router::config::Snapshot;
use gooseberry_router::context::Router;
use gooseberry_standin::{engine, sequence};
use http_body_util::BodyExt;
use peer::agent::BackendView;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Maximum number of output tokens.
const TOKENS: u64 = 4_000;

/// Bound on the tokens that the router receives while the caller does not read: its window and what
/// its buffers and the pipe hold, at about 150 bytes per token event.
const MAX_HELD: u64 = 2_000;

/// Interval between two polls of the engine, and the maximum number of polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_POLLS: u32 = 300;

/// Prompt, which determines the output of the engine.
const PROMPT: &str = "Scene 2";

/// Starts an engine that generates one token per millisecond.
async fn engine() -> (std::net::SocketAddr, CancellationToken) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let stop = CancellationToken::new();
    let settings = engine::Settings {
        gap_ms: 1,
        ..engine::Settings::default()
    };
    tokio::spawn(engine::run(listener, settings, stop.clone()));
    (addr, stop)
}

fn backend(addr: std::net::SocketAddr) -> Arc<Backend> {
    let view = BackendView {
        backend: BackendId::from("engine-0"),
        service: ServiceName::from("draft-model"),
        data_centre: DataCentre::from("vn-south-a"),
        addr,
        incarnation: None,
        leaving: false,
        alive: true,
        running: 0,
        queued: 0,
        slots: 8,
        models: engine::Settings::default().models,
        age_ms: 0,
        blocks: Vec::new(),
    };
    Arc::new(Backend::adopt(Millis(0), view, &[]))
}

/// Creates a router with this engine and a profile that allows long outputs.
fn router_with_engine(addr: std::net::SocketAddr) -> Arc<Router> {
    let router = router();
    configure(&router);
    let configured = router.snapshot();
    let mut document = (*configured.document).clone();
    document.profiles[0].limits.tokens = TOKENS;
    router.swap(Snapshot {
        document: Arc::new(document),
        backends: vec![backend(addr)],
        ..(*configured).clone()
    });
    router
}

/// Number of tokens that the router has received for its only request.
fn received_tokens(router: &Router) -> u64 {
    let dump = router.registry.dump();
    dump.first()
        .and_then(|r| r["state"]["length"].as_u64())
        .unwrap_or(0)
}

/// Waits until the engine has generated this number of tokens.
async fn wait_for_tokens(addr: std::net::SocketAddr, tokens: u64) {
    for _ in 0..MAX_POLLS {
        let stats: Value = web::client::get(addr, "/stats", POLL_INTERVAL)
            .await
            .expect("stats");
        if stats["decode"] == tokens {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the engine did not generate {tokens} tokens");
}

#[tokio::test(flavor = "multi_thread")]
async fn bounded_and_complete() {
    let (addr, _stop) = engine().await;
    let router = router_with_engine(addr);
    let body = json!({
        "model": "draft-model", "prompt": PROMPT, "max_tokens": TOKENS, "stream": true,
    });
    let mut sender = connect(&router).await;
    let completion = request("POST", "/v1/completions", body.to_string());
    let mut response = sender
        .send_request(completion)
        .await
        .expect("the response head arrives");

    // The caller does not read until the engine has generated the whole output.
    let (length, _) = sequence::length(PROMPT, TOKENS);
    wait_for_tokens(addr, length).await;
    let held = received_tokens(&router);
    assert!(held < MAX_HELD, "the router received {held} tokens");

    let mut text = String::new();
    while let Some(frame) = response.body_mut().frame().await {
        let data = frame
            .expect("the stream is complete")
            .into_data()
            .unwrap_or_default();
        text.push_str(&String::from_utf8_lossy(&data));
    }
    let mut output = String::new();
    for data in text.lines().filter_map(|l| l.strip_prefix("data: ")) {
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        output.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    assert_eq!(sequence::check(PROMPT, &output), Ok(length));
    assert!(text.contains("data: [DONE]"));
}
