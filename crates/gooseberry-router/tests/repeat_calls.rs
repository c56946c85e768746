//! Idempotent calls through a router: retries on failed and unresponsive servers.

#[expect(dead_code, reason = "each test uses part of the module")]
mod site;

use hyper::Method;
use site::{Behaviour, Fake, Site, document, runs, stand_in, unused_address};
use tokio_util::sync::CancellationToken;

/// Deadline, in milliseconds, that these tests do not reach.
const LONG: u64 = 8_000;

#[tokio::test]
async fn other_server() {
    let stop = CancellationToken::new();
    let fake = Fake::default();
    let failing = fake.serve(Behaviour::Disconnect).await;
    let server = stand_in(&stop).await;
    let site = Site::start(1, &[failing, server], &document(LONG)).await;
    for i in 0..6 {
        let answer = site
            .call(0, Method::GET, "/status/7", &format!("k{i}"), "")
            .await;
        assert_eq!(answer.status, 200);
        assert_eq!(runs(server, &format!("k{i}")).await, 1);
    }
    assert!(
        !fake
            .ran
            .lock()
            .expect("the lock is not poisoned")
            .is_empty()
    );
}

#[tokio::test]
async fn unresponsive_server() {
    let fake = Fake::default();
    let server = fake.serve(Behaviour::SlowFirst(60_000)).await;
    let site = Site::start(1, &[server], &document(LONG)).await;
    let answer = site.call(0, Method::GET, "/status", "k", "").await;
    assert_eq!((answer.status, answer.text.as_str()), (200, "k"));
    assert_eq!(
        *fake.ran.lock().expect("the lock is not poisoned"),
        ["k", "k"]
    );
    assert_eq!(
        *fake.closed.lock().expect("the lock is not poisoned"),
        ["k"]
    );
}

#[tokio::test]
async fn no_reachable_server() {
    let site = Site::start(1, &[unused_address().await], &document(400)).await;
    let answer = site.call(0, Method::GET, "/status", "", "").await;
    assert_eq!(
        (answer.status, &answer.json()["ran"]),
        (502, &"not_run".into())
    );
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn paths_not_declared() {
    let fake = Fake::default();
    let failing = fake.serve(Behaviour::Disconnect).await;
    let site = Site::start(1, &[failing], &document(LONG)).await;
    let calls = [
        (Method::POST, "/status"),
        (Method::GET, "/statuses"),
        (Method::GET, "/status/../confirm"),
        (Method::GET, "/status/%2e%2e/confirm"),
        (Method::GET, "/other"),
    ];
    for (i, (method, path)) in calls.into_iter().enumerate() {
        let answer = site.call(0, method, path, &format!("k{i}"), "").await;
        assert_eq!(answer.json()["ran"], "unknown", "{path}");
    }
    // Each was sent once, as no rule covers any of them.
    let ran = fake.ran.lock().expect("the lock is not poisoned").clone();
    assert_eq!(ran, ["k0", "k1", "k2", "k3", "k4"]);
}
