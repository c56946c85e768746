//! Invalid requests: each gets a typed error whose message names the remedy.

mod common;

use std::sync::Arc;

use common::{Answer, configure, connect, request, router, send};
use gooseberry_router::context::Router;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde_json::json;

async fn ready() -> Arc<Router> {
    let router = router();
    configure(&router);
    router
}

/// Checks status, kind, `ran` and the remedy in the message.
fn check(answer: &Answer, status: StatusCode, kind: &str, remedy: &str) {
    assert_eq!(answer.status, status, "{}", answer.body);
    assert_eq!(answer.body["kind"], kind);
    assert_eq!(answer.body["ran"], "not_run");
    let message = answer.body["message"].as_str().unwrap_or_default();
    assert!(message.contains(remedy), "{message}");
}

fn completion(model: &str) -> String {
    json!({ "model": model, "prompt": "Scene 1", "max_tokens": 5 }).to_string()
}

#[tokio::test]
async fn malformed_json() {
    let router = ready().await;
    let answer = send(&router, request("POST", "/v1/completions", "{\"model\": 3")).await;
    check(
        &answer,
        StatusCode::BAD_REQUEST,
        "malformed",
        "correct it and send it again",
    );
}

#[tokio::test]
async fn missing_field() {
    let router = ready().await;
    let answer = send(
        &router,
        request("POST", "/v1/completions", "{\"model\": \"m\"}"),
    )
    .await;
    check(
        &answer,
        StatusCode::BAD_REQUEST,
        "malformed",
        "missing field `prompt`",
    );
}

#[tokio::test]
async fn no_tokens() {
    let router = ready().await;
    let body = json!({ "model": "draft-model", "prompt": "x", "max_tokens": 0 }).to_string();
    let answer = send(&router, request("POST", "/v1/completions", body)).await;
    check(
        &answer,
        StatusCode::BAD_REQUEST,
        "malformed",
        "`max_tokens` must be above 0",
    );
}

#[tokio::test]
async fn large_body() {
    let router = ready().await;
    let body = "x".repeat(1_001);
    let answer = send(&router, request("POST", "/v1/completions", body)).await;
    check(
        &answer,
        StatusCode::PAYLOAD_TOO_LARGE,
        "too_large",
        "send a shorter one",
    );
}

#[tokio::test]
async fn large_header() {
    let router = ready().await;
    let mut large = request("POST", "/v1/completions", completion("draft-model"));
    let value = HeaderValue::from_str(&"x".repeat(100_000)).expect("the value is plain");
    large.headers_mut().insert("x-large", value);
    let mut sender = connect(&router).await;
    let response = sender
        .send_request(large)
        .await
        .expect("a response arrives");
    assert_eq!(
        response.status(),
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
    );
    // Other connections are not affected.
    let answer = send(&router, request("GET", "/nothing", "")).await;
    check(
        &answer,
        StatusCode::NOT_FOUND,
        "not_found",
        "/v1/completions",
    );
}

#[tokio::test]
async fn unknown_service() {
    let router = ready().await;
    let answer = send(
        &router,
        request("POST", "/v1/completions", completion("other")),
    )
    .await;
    check(&answer, StatusCode::NOT_FOUND, "not_found", "`other`");
}

#[tokio::test]
async fn unknown_path() {
    let router = ready().await;
    let answer = send(&router, request("GET", "/v2", "")).await;
    check(
        &answer,
        StatusCode::NOT_FOUND,
        "not_found",
        "/v1/completions",
    );
}

#[tokio::test]
async fn unknown_key() {
    let router = ready().await;
    let mut unknown = request("POST", "/v1/completions", completion("draft-model"));
    let value = HeaderValue::from_static("Bearer other");
    unknown.headers_mut().insert("authorization", value);
    let answer = send(&router, unknown).await;
    check(
        &answer,
        StatusCode::UNAUTHORIZED,
        "unauthorized",
        "ask an operator",
    );
}

#[tokio::test]
async fn missing_key() {
    let router = ready().await;
    let mut missing = request("POST", "/v1/completions", completion("draft-model"));
    missing.headers_mut().remove("authorization");
    let answer = send(&router, missing).await;
    check(
        &answer,
        StatusCode::UNAUTHORIZED,
        "unauthorized",
        "Authorization: Bearer KEY",
    );
}

#[tokio::test]
async fn wrong_method() {
    let router = ready().await;
    let answer = send(&router, request("PUT", "/v1/completions", "")).await;
    check(
        &answer,
        StatusCode::METHOD_NOT_ALLOWED,
        "method_not_allowed",
        "POST",
    );
}

#[tokio::test]
async fn bad_idempotency_key() {
    let router = ready().await;
    let mut bad = request("POST", "/v1/completions", completion("draft-model"));
    let value = HeaderValue::from_str(&"k".repeat(129)).expect("the value is plain");
    bad.headers_mut().insert("idempotency-key", value);
    let answer = send(&router, bad).await;
    check(&answer, StatusCode::BAD_REQUEST, "malformed", "1 to 128");
}

#[tokio::test]
async fn bad_event_id() {
    let router = ready().await;
    let mut bad = request("POST", "/v1/completions", completion("draft-model"));
    let value = HeaderValue::from_static("seven");
    bad.headers_mut().insert("last-event-id", value);
    let answer = send(&router, bad).await;
    check(
        &answer,
        StatusCode::BAD_REQUEST,
        "malformed",
        "`id` of an event",
    );
}

#[tokio::test]
async fn no_configuration() {
    let router = router();
    let answer = send(&router, request("POST", "/v1/completions", "")).await;
    check(
        &answer,
        StatusCode::SERVICE_UNAVAILABLE,
        "not_ready",
        "no configuration yet",
    );
    assert_eq!(answer.headers["retry-after"], "1");
}
