//! The store is unavailable; meanwhile rows are removed or its history is compacted.

mod site;

use gooseberry_gateway::metrics::Cause;
use gooseberry_standin::faults::Switch;
use hyper::StatusCode;
use site::{Site, config, exchange, generation, request};

fn outage(site: &Site, is_out: bool) {
    site.store.faults.apply(&Switch {
        outage: Some(is_out),
        ..Switch::default()
    });
}

fn is_unavailable(site: &Site) -> bool {
    site.gateway.ctx.servers.is_registry_unavailable()
}

#[tokio::test]
async fn requests_are_served() {
    let site = Site::start().await;
    outage(&site, true);
    site.until("the outage is detected", || is_unavailable(&site))
        .await;
    assert!(site.is_ready().await);
    assert_eq!(
        site.send(request("1", "/safe/a")).await.status,
        StatusCode::OK
    );
    site.configure(5, &config(5));
    outage(&site, false);
    site.until("the missed change is applied", || site.version() == 5)
        .await;
}

#[tokio::test]
async fn lapsed_rows_expire_after_grace() {
    let site = Site::start().await;
    outage(&site, true);
    site.until("the outage is detected", || is_unavailable(&site))
        .await;
    site.put("servers", "p-1", None);
    site.put("servers", "p-2", None);
    outage(&site, false);
    site.until("the store is reachable again", || !is_unavailable(&site))
        .await;
    assert_eq!(
        site.send(request("1", "/safe/a")).await.status,
        StatusCode::OK
    );
    site.until("the missing rows expire", || site.usable_count() == 2)
        .await;
}

#[tokio::test]
async fn compacted_history() {
    let site = Site::start().await;
    outage(&site, true);
    site.until("the outage is detected", || is_unavailable(&site))
        .await;
    site.server("p-3", false, "a").await;
    site.put("servers", "p-1", None);
    site.store.compact();
    outage(&site, false);
    site.until("the table is read in full", || {
        let fleet = site.gateway.ctx.servers.lock();
        fleet.roster.get(&"p-3".into()).is_some()
    })
    .await;
    site.until("the missing row expires", || site.usable_count() == 4)
        .await;
}

#[tokio::test]
async fn engine_observed_but_not_registered() {
    let site = Site::bare().await;
    let listener = site::listener().await;
    let addr = listener.local_addr().unwrap();
    site.serve(listener, "new", true);
    site.list("old", addr, true, "a", "ready");
    site.configure(1, &config(1));
    site.until("ready", || site.version() == 1 && site.listed_count() == 1)
        .await;
    outage(&site, true);
    site.until("the outage is detected", || is_unavailable(&site))
        .await;
    let answer = site.send(generation("1", "/draft/a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(site.shared.runs("1")[0].headers["expect-instance"], "new");
}

/// An engine restarts at its address under another id while the store is away. No request is sent to the old id, as
/// each host would have to spend a retry on each engine.
#[tokio::test]
async fn restarted_engine_is_recognised() {
    let site = Site::bare().await;
    for (old, new) in [("old-1", "new-1"), ("old-2", "new-2")] {
        let listener = site::listener().await;
        let addr = listener.local_addr().unwrap();
        site.serve_since(listener, new, true, 2);
        site.list(old, addr, true, "a", "ready");
    }
    site.configure(1, &config(1));
    site.until("ready", || site.version() == 1 && site.listed_count() == 2)
        .await;
    outage(&site, true);
    site.until("the outage is detected", || is_unavailable(&site))
        .await;
    for id in ["1", "2", "3"] {
        let answer = site.send(generation(id, "/draft/a")).await;
        assert_eq!(answer.status, StatusCode::OK);
        let runs = site.shared.runs(id);
        assert!(
            runs[0].headers["expect-instance"]
                .as_bytes()
                .starts_with(b"new")
        );
    }
    let cause = Cause { cause: "moved" };
    let moved = site.gateway.ctx.metrics.sends.get_or_create(&cause).get();
    assert_eq!(moved, 0, "sends to an engine that is gone");
}

#[tokio::test]
async fn host_registers_itself() {
    let site = Site::start().await;
    let row = || site.store.get("gooseberry-hosts", "host-1");
    site.until("the host's row", || row().is_some()).await;
    let mut link = site.open().await;
    let answer = exchange(&mut link, request("1", "/safe/a")).await;
    assert_eq!(answer.status, StatusCode::OK);
}
