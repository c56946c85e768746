//! Streams: each event once and in order, whatever becomes of the servers.

mod site;

use base::prelude::*;
use gooseberry_gateway::streams::probe_time;
use hyper::StatusCode;
use site::{Answer, Site, events, generation};

fn assert_exact(answer: &Answer, id: &str, from: u64) {
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_whole, "the stream was cut: {}", answer.text());
    assert_eq!(answer.text(), events(id, from));
    assert_eq!(answer.header("response-seal"), "3e1b.07.5a2");
}

#[tokio::test]
async fn undisturbed() {
    let site = Site::start().await;
    let answer = site.ask(generation("1", "/draft/a")).await;
    assert_exact(&answer, "1", 0);
    assert_eq!(site.shared.runs("1").len(), 1);
}

#[tokio::test]
async fn broken_within_an_event() {
    let site = Site::start().await;
    let answer = site.ask(generation("1", "/draft/break-first")).await;
    assert_exact(&answer, "1", 0);
    let runs = site.shared.runs("1");
    assert_eq!(runs.len(), 2);
    assert_eq!(runs[1].headers["last-event-id"], "14");
    let servers: Vec<_> = runs.iter().map(|r| &r.headers["expect-instance"]).collect();
    assert_ne!(servers[0], servers[1]);
}

#[tokio::test]
async fn continued_from_copy() {
    let site = Site::start().await;
    let answer = site.ask(generation("1", "/draft/break-first")).await;
    assert_exact(&answer, "1", 0);
    let runs = site.shared.runs("1");
    let holder = runs[0].headers["kv-backup"].to_str().unwrap();
    let source = runs[1].headers["kv-from"].to_str().unwrap();
    assert_eq!(source, format!("{holder}/1"));
}

#[tokio::test]
async fn silent_server() {
    let site = Site::start().await;
    let answer = site.ask(generation("1", "/draft/silent-first")).await;
    assert_exact(&answer, "1", 0);
    assert_eq!(site.shared.runs("1").len(), 2);
}

/// Two streams of a server that falls silent at 1,000: one had its last event then, the other before.
#[test]
fn silence_of_the_server_counts() {
    assert_eq!(probe_time(Millis(1_000), Millis(1_000)), Millis(1_300));
    let (first, again) = (
        probe_time(Millis(760), Millis(760)),
        probe_time(Millis(760), Millis(1_000)),
    );
    assert!(first > Millis(1_000), "the server has been heard since");
    assert_eq!(again, Millis(1_300), "not 300 ms after the first look");
}

#[tokio::test]
async fn continued_by_caller() {
    let site = Site::start().await;
    let mut request = generation("1", "/draft/break-first");
    let last = "9".parse().unwrap();
    request.headers_mut().insert("last-event-id", last);
    let answer = site.ask(request).await;
    assert_exact(&answer, "1", 9);
}

#[tokio::test]
async fn caller_holds_all() {
    let site = Site::start().await;
    let mut request = generation("1", "/draft/a");
    let last = "30".parse().unwrap();
    request.headers_mut().insert("last-event-id", last);
    let answer = site.ask(request).await;
    assert_exact(&answer, "1", 30);
    assert_eq!(answer.text(), "");
    assert_eq!(site.shared.runs("1").len(), 1);
}

#[tokio::test]
async fn rejected_everywhere() {
    let site = Site::start().await;
    let mut request = generation("1", "/draft/reject");
    let patience = "600".parse().unwrap();
    request.headers_mut().insert("deadline-ms", patience);
    let answer = site.ask(request).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(site.shared.runs("1").is_empty());
}

#[tokio::test]
async fn fixed_stream_is_not_continued() {
    let site = Site::start().await;
    let mut fixed = site::config(2);
    fixed["routes"][2]["resumable"] = false.into();
    site.configure(2, &fixed);
    site.until("version 2", || site.version() == 2).await;
    let answer = site.ask(generation("1", "/draft/break-first")).await;
    assert!(!answer.is_whole, "it must not look complete");
    assert!(events("1", 0).starts_with(answer.text()));
    assert_eq!(site.shared.runs("1").len(), 1);
}
