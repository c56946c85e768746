//! Streams deliver each event once and in order, also when their server fails.

mod site;

use base::prelude::*;
use gooseberry_gateway::streams::probe_time;
use hyper::StatusCode;
use site::{Answer, Site, events, generation};

/// Number of prompts that are run twice.
const PROMPTS: u64 = 8;

fn assert_exact(answer: &Answer, id: &str, from: u64) {
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_whole, "the stream was cut: {}", answer.text());
    assert_eq!(answer.text(), events(id, from));
    assert_eq!(answer.header("response-seal"), "3e1b.07.5a2");
}

#[tokio::test]
async fn without_failure() {
    let site = Site::start().await;
    let answer = site.send(generation("1", "/draft/a")).await;
    assert_exact(&answer, "1", 0);
    assert_eq!(site.shared.runs("1").len(), 1);
}

#[tokio::test]
async fn broken_within_an_event() {
    let site = Site::start().await;
    let answer = site.send(generation("1", "/draft/break-first")).await;
    assert_exact(&answer, "1", 0);
    let runs = site.shared.runs("1");
    assert_eq!(runs.len(), 2);
    assert_eq!(runs[1].headers["last-event-id"], "14");
    let servers: Vec<_> = runs.iter().map(|r| &r.headers["expect-instance"]).collect();
    assert_ne!(servers[0], servers[1]);
}

#[tokio::test]
async fn resumed_from_backup() {
    let site = Site::start().await;
    let answer = site.send(generation("1", "/draft/break-first")).await;
    assert_exact(&answer, "1", 0);
    let runs = site.shared.runs("1");
    let backup = runs[0].headers["kv-backup"].to_str().unwrap();
    let source = runs[1].headers["kv-from"].to_str().unwrap();
    assert_eq!(source, format!("{backup}/1"));
}

#[tokio::test]
async fn unresponsive_server() {
    let site = Site::start().await;
    let answer = site.send(generation("1", "/draft/silent-first")).await;
    assert_exact(&answer, "1", 0);
    assert_eq!(site.shared.runs("1").len(), 2);
}

/// Two streams of a server that becomes unresponsive at 1,000 ms: one received its last event then, the
/// other at 760 ms. The check of the latter at 1,060 ms finds that the server has sent data since. The next
/// one is due 300 ms after that data, at the same time as for the other stream.
#[test]
fn idle_time_of_server_counts() {
    assert_eq!(probe_time(Millis(1_000), Millis(1_000)), Millis(1_300));
    let (first, again) = (
        probe_time(Millis(760), Millis(760)),
        probe_time(Millis(760), Millis(1_000)),
    );
    assert!(first > Millis(1_000), "the server has sent data since");
    assert_eq!(again, Millis(1_300), "not 300 ms after the first check");
}

#[tokio::test]
async fn resumed_by_caller() {
    let site = Site::start().await;
    let mut request = generation("1", "/draft/break-first");
    let last = "9".parse().unwrap();
    request.headers_mut().insert("last-event-id", last);
    let answer = site.send(request).await;
    assert_exact(&answer, "1", 9);
}

/// The host that ran the streams is gone with all it knew; an engine joined since.
#[tokio::test]
async fn returns_to_the_cached_prompt() {
    let site = Site::bare().await;
    site.server("e-1", true, "a").await;
    site.configure(1, &site::config(1));
    site.until("the engine is listed", || site.listed_count() == 1)
        .await;
    site.until("version 1", || site.version() == 1).await;
    let prefix = |i: u64| format!("5c:200,{i:x}:800").parse().unwrap();
    for i in 0..PROMPTS {
        let mut request = generation(&format!("first-{i}"), "/draft/a");
        request.headers_mut().insert("prompt-prefix", prefix(i));
        assert!(site.send(request).await.is_whole);
    }
    site.server("e-2", true, "b").await;
    site.until("both engines are listed", || site.listed_count() == 2)
        .await;
    for i in 0..PROMPTS {
        let id = format!("again-{i}");
        let mut request = generation(&id, "/draft/a");
        request.headers_mut().insert("prompt-prefix", prefix(i));
        let last = "9".parse().unwrap();
        request.headers_mut().insert("last-event-id", last);
        assert_exact(&site.send(request).await, &id, 9);
        let runs = site.shared.runs(&id);
        assert_eq!(runs[0].headers["expect-instance"], "e-1", "prompt {i}");
    }
}

#[tokio::test]
async fn caller_has_all_events() {
    let site = Site::start().await;
    let mut request = generation("1", "/draft/a");
    let last = "30".parse().unwrap();
    request.headers_mut().insert("last-event-id", last);
    let answer = site.send(request).await;
    assert_exact(&answer, "1", 30);
    assert_eq!(answer.text(), "");
    assert_eq!(site.shared.runs("1").len(), 1);
}

#[tokio::test]
async fn rejected_everywhere() {
    let site = Site::start().await;
    let mut request = generation("1", "/draft/reject");
    let time_limit = "600".parse().unwrap();
    request.headers_mut().insert("deadline-ms", time_limit);
    let answer = site.send(request).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(site.shared.runs("1").is_empty());
}

#[tokio::test]
async fn non_resumable_stream_is_not_resumed() {
    let site = Site::start().await;
    let mut config = site::config(2);
    config["routes"][2]["resumable"] = false.into();
    site.configure(2, &config);
    site.until("version 2", || site.version() == 2).await;
    let answer = site.send(generation("1", "/draft/break-first")).await;
    assert!(!answer.is_whole, "it must not look complete");
    assert!(events("1", 0).starts_with(answer.text()));
    assert_eq!(site.shared.runs("1").len(), 1);
}
