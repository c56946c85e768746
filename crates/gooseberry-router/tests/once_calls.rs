//! Non-idempotent calls through routers: a backend server runs each key at most once.

mod site;

use gooseberry_standin::faults::Switch;
use hyper::Method;
use site::{Behaviour, Fake, Site, document, runs, stand_in, unused_address};
use tokio_util::sync::CancellationToken;

/// Deadline, in milliseconds, that these tests do not reach.
const LONG: u64 = 8_000;

/// Deadline, in milliseconds, that these tests wait for.
const SHORT: u64 = 600;

#[tokio::test]
async fn stored_outcome() {
    let stop = CancellationToken::new();
    let server = stand_in(&stop).await;
    let site = Site::start(2, &[server], &document(LONG)).await;
    let first = site.confirm(0, "k1").await;
    let second = site.confirm(1, "k1").await;
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(first.text, second.text);
    assert_eq!(second.key(), "k1");
    assert_eq!(runs(server, "k1").await, 1);
}

#[tokio::test]
async fn same_key() {
    let stop = CancellationToken::new();
    let server = stand_in(&stop).await;
    let site = Site::start(3, &[server], &document(LONG)).await;
    let (a, b, c) = tokio::join!(
        site.confirm(0, "k"),
        site.confirm(1, "k"),
        site.confirm(2, "k")
    );
    assert_eq!([a.status, b.status, c.status], [200; 3]);
    assert_eq!(a.text, b.text);
    assert_eq!(b.text, c.text);
    assert_eq!(runs(server, "k").await, 1);
}

#[tokio::test]
async fn other_body() {
    let stop = CancellationToken::new();
    let server = stand_in(&stop).await;
    let site = Site::start(1, &[server], &document(LONG)).await;
    site.confirm(0, "k").await;
    let other = site
        .call(0, Method::POST, "/confirm", "k", "gaffer, Friday")
        .await;
    assert_eq!(other.status, 422);
    assert_eq!(other.json()["kind"], "key_reused");
    assert_eq!(runs(server, "k").await, 1);
}

#[tokio::test]
async fn large_body() {
    let stop = CancellationToken::new();
    let server = stand_in(&stop).await;
    let site = Site::start(2, &[server], &document(LONG)).await;
    let body = "x".repeat(100_000);
    let first = site.call(0, Method::POST, "/confirm", "k", &body).await;
    let second = site.call(1, Method::POST, "/confirm", "k", &body).await;
    assert_eq!(first.text, second.text);
    assert!(second.text.len() > body.len());
    assert_eq!(runs(server, "k").await, 1);
}

#[tokio::test]
async fn claim_answer_lost() {
    let stop = CancellationToken::new();
    let server = stand_in(&stop).await;
    let site = Site::start(1, &[server], &document(LONG)).await;
    let lose = Switch {
        lose_answers: Some(2),
        ..Switch::default()
    };
    site.switch(lose).await;
    let answer = site.confirm(0, "k").await;
    assert_eq!(answer.status, 200);
    assert_eq!(runs(server, "k").await, 1);
}

#[tokio::test]
async fn store_down() {
    let stop = CancellationToken::new();
    let server = stand_in(&stop).await;
    let site = Site::start(1, &[server], &document(SHORT)).await;
    let outage = |on| Switch {
        outage: Some(on),
        ..Switch::default()
    };
    site.switch(outage(true)).await;
    let chosen = site.confirm(0, "given").await;
    assert_eq!(
        (chosen.status, &chosen.json()["kind"]),
        (503, &"store_away".into())
    );
    // Another host may have run the key, so this one must not answer `not_run`.
    assert_eq!(chosen.json()["ran"], "unknown");
    assert!(chosen.headers.contains_key("retry-after"));
    let generated = site.confirm(0, "").await;
    assert_eq!(generated.status, 200);
    site.switch(outage(false)).await;
    assert_eq!(runs(server, "given").await, 0);
    assert_eq!(runs(server, &generated.key()).await, 1);
    // A refused call runs when it is retried.
    let again = site.confirm(0, "given").await;
    assert_eq!(again.status, 200);
    assert_eq!(runs(server, "given").await, 1);
}

#[tokio::test]
async fn generated_key() {
    let stop = CancellationToken::new();
    let server = stand_in(&stop).await;
    let site = Site::start(2, &[server], &document(SHORT)).await;
    let first = site.confirm(0, "").await;
    let key = first.key();
    let repeat = site.confirm(1, &key).await;
    assert_eq!(repeat.text, first.text);
    // A key with the prefix of generated keys that no router generated is looked up and never sent.
    let forged = site.confirm(1, "gsb-00").await;
    assert_eq!(forged.json()["ran"], "unknown");
    assert_eq!(runs(server, &key).await, 1);
    assert_eq!(runs(server, "gsb-00").await, 0);
}

#[tokio::test]
async fn server_disconnects() {
    let fake = Fake::default();
    let server = fake.serve(Behaviour::Disconnect).await;
    let site = Site::start(2, &[server, server], &document(SHORT)).await;
    let first = site.confirm(0, "k").await;
    let second = site.confirm(1, "k").await;
    assert_eq!(first.json()["ran"], "unknown");
    assert_eq!(second.json()["ran"], "unknown");
    assert_eq!(*fake.ran.lock().expect("the lock is not poisoned"), ["k"]);
}

#[tokio::test]
async fn late_answer() {
    let fake = Fake::default();
    let server = fake.serve(Behaviour::SlowFirst(5_000)).await;
    let site = Site::start(1, &[server], &document(SHORT)).await;
    let late = site.confirm(0, "late").await;
    let other = site.confirm(0, "other").await;
    assert_eq!(late.json()["ran"], "unknown");
    assert_eq!((other.status, other.text.as_str()), (200, "other"));
    assert_eq!(
        *fake.closed.lock().expect("the lock is not poisoned"),
        ["late"]
    );
    assert_eq!(
        *fake.ran.lock().expect("the lock is not poisoned"),
        ["late", "other"]
    );
}

#[tokio::test]
async fn no_server() {
    let stop = CancellationToken::new();
    let site = Site::start(2, &[unused_address().await], &document(SHORT)).await;
    let refused = site.confirm(0, "k").await;
    assert_eq!(refused.json()["kind"], "not_sent");
    assert_eq!(refused.json()["ran"], "not_run");
    // The key stays refused in this deployment; in another one with a server it runs.
    let server = stand_in(&stop).await;
    let reachable = Site::start(1, &[server], &document(SHORT)).await;
    assert_eq!(reachable.confirm(0, "k").await.status, 200);
    let again = site.confirm(1, "k").await;
    assert_eq!(again.json()["ran"], "not_run");
}

#[tokio::test]
async fn other_server() {
    let stop = CancellationToken::new();
    let server = stand_in(&stop).await;
    let site = Site::start(1, &[unused_address().await, server], &document(LONG)).await;
    for i in 0..6 {
        assert_eq!(site.confirm(0, &format!("k{i}")).await.status, 200);
    }
}

#[tokio::test]
async fn leaving_host() {
    let stop = CancellationToken::new();
    let server = stand_in(&stop).await;
    let site = Site::start(1, &[server], &document(LONG)).await;
    site.routers[0].drain.cancel();
    let chosen = site.confirm(0, "k").await;
    let generated = site.confirm(0, "").await;
    assert_eq!(chosen.json()["ran"], "unknown");
    assert_eq!(generated.json()["ran"], "not_run");
}

#[tokio::test]
async fn shared_writes() {
    let stop = CancellationToken::new();
    let server = stand_in(&stop).await;
    let site = Site::start(1, &[server], &document(LONG)).await;
    let keys: Vec<String> = (0..200).map(|i| format!("k{i}")).collect();
    let calls = keys.iter().map(|key| site.confirm(0, key));
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(|a| a.status == 200));
    let transactions = site.routers[0].claims.dump()["transactions"].as_u64();
    assert!(transactions.is_some_and(|t| t < 100), "{transactions:?}");
}
