//! Calls to plain services: complete answers, no call run twice unless it is safe to repeat, and errors that
//! say whether the call ran.

mod site;

use hyper::StatusCode;
use site::{Site, config, request};

#[tokio::test]
async fn call_is_forwarded() {
    let site = Site::start().await;
    let mut forged = request("1", "/safe/a?b=c%20d");
    let headers = forged.headers_mut();
    for name in [
        "hold",
        "kv-backup",
        "kv-from",
        "pin-ms",
        "tenant",
        "expect-instance",
        "x-other",
    ] {
        headers.insert(name, "forged".parse().unwrap());
    }
    let answer = site.send(forged).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.header("response-seal"), "3e1b.07.5a2");
    assert_eq!(answer.header("attempt-id"), "1");
    let runs = site.shared.runs("1");
    assert_eq!(runs.len(), 1);
    let run = &runs[0];
    assert_eq!(run.path, "/safe/a?b=c%20d");
    assert_eq!(run.body, "1");
    assert_eq!(run.headers["tenant"], "crew");
    assert_eq!(run.headers["x-other"], "forged");
    assert!(
        run.headers["expect-instance"]
            .to_str()
            .unwrap()
            .starts_with("p-")
    );
    for name in ["x-api-key", "hold", "kv-backup", "kv-from", "pin-ms"] {
        assert!(!run.headers.contains_key(name), "{name} was forwarded");
    }
    let left: u64 = run.headers["deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(left <= 6_000, "{left} ms, but the route allows 6,000");
}

#[tokio::test]
async fn invalid_answers_are_not_forwarded() {
    let site = Site::start().await;
    for quirk in ["no-seal", "encoded", "foreign", "cut"] {
        let answer = site.send(request(quirk, &format!("/once/{quirk}"))).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{quirk}");
        assert!(
            answer.text().contains("\"ran\":\"unknown\""),
            "{}",
            answer.text()
        );
        assert_eq!(
            site.shared.runs(quirk).len(),
            1,
            "{quirk}: must run once at most"
        );
        let id = format!("safe-{quirk}");
        let answer = site.send(request(&id, &format!("/safe/{quirk}"))).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{quirk}");
        assert_eq!(
            site.shared.runs(&id).len(),
            3,
            "{quirk}: must run as often as the route allows"
        );
    }
}

#[tokio::test]
async fn failures_are_retried_or_forwarded() {
    let site = Site::start().await;
    let answer = site.send(request("1", "/safe/fail-first")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(site.shared.runs("1").len(), 2);
    let answer = site.send(request("2", "/once/fail-first")).await;
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.header("response-seal"), "3e1b.07.5a2");
    assert_eq!(site.shared.runs("2").len(), 1);
}

#[tokio::test]
async fn rejected_calls() {
    let site = Site::start().await;
    let answer = site.send(request("1", "/once/reject-first")).await;
    assert_eq!(answer.status, StatusCode::OK, "another server accepted it");
    assert_eq!(site.shared.runs("1").len(), 1);
    let mut short = request("2", "/once/reject");
    let time_limit = "600".parse().unwrap();
    short.headers_mut().insert("deadline-ms", time_limit);
    let answer = site.send(short).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.text().contains("\"ran\":\"not_run\""));
    let after: f64 = answer.header("retry-after").parse().unwrap();
    assert!(after > 0.0 && after < 2.0);
    assert!(site.shared.runs("2").is_empty());
}

#[tokio::test]
async fn route_timeout() {
    let site = Site::start().await;
    let mut quick = config(2);
    quick["routes"][1]["timeout-ms"] = 300.into();
    site.configure(2, &quick);
    site.until("version 2", || site.version() == 2).await;
    let answer = site.send(request("1", "/once/hang")).await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    site.until("the server observes the disconnect", || {
        site.shared.has_left("1")
    })
    .await;
}

#[tokio::test]
async fn oversized_requests() {
    let site = Site::start().await;
    let mut large = request("1", "/once/a");
    *large.body_mut() = vec![b'a'; 20_000].into();
    assert_eq!(site.send(large).await.status, StatusCode::PAYLOAD_TOO_LARGE);
    let mut wide = request("2", "/once/a");
    wide.headers_mut()
        .insert("x-wide", "a".repeat(5_000).parse().unwrap());
    let status = site.send(wide).await.status;
    assert_eq!(status, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    assert!(site.shared.runs("1").is_empty() && site.shared.runs("2").is_empty());
}

#[tokio::test]
async fn another_server_at_address() {
    let site = Site::bare().await;
    let listener = site::listener().await;
    let addr = listener.local_addr().unwrap();
    site.serve(listener, "new", false);
    site.list("old", addr, false, "a", "ready");
    site.configure(1, &config(1));
    site.until("ready", || site.version() == 1 && site.listed_count() == 1)
        .await;
    let answer = site.send(request("1", "/once/a")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        site.shared.runs("1").is_empty(),
        "the server at this address is not the listed one"
    );
}
