//! A store that comes back from a copy some seconds old: revisions go back and are given out again.

mod site;

use base::prelude::*;
use gooseberry_gateway::run::Gateway;
use hyper::StatusCode;
use site::{Site, config, request, version};

const HOSTS: &str = "gooseberry-hosts";

fn is_used(gateway: &Gateway, id: &str) -> bool {
    let now = gateway.ctx.now();
    let fleet = gateway.ctx.servers.lock();
    let member = fleet.roster.get(&BackendId::from(id));
    member.is_some_and(|m| m.is_usable(now))
}

/// A site with a second gateway, which follows the tables through the first one.
async fn site() -> (Site, Gateway) {
    let site = Site::start().await;
    let other = site.peer("host-2").await;
    (site, other)
}

#[tokio::test]
async fn changes_after_it_are_seen() {
    let (site, other) = site().await;
    let gateways = [&site.gateway, &other];
    let copy = site.store.copy();
    // Revisions that the copy does not have; fewer are given out after it.
    for i in 0..9 {
        site.put("servers", &format!("gone-{i}"), None);
    }
    site.configure(2, &config(2));
    site.until("version 2", || gateways.iter().all(|g| version(g) == 2))
        .await;
    site.store.restore(&copy);
    let addr = site.gateway.ctx.servers.addr(&BackendId::from("p-1"));
    site.list("p-1", addr.unwrap(), false, "a", "draining");
    site.until("the leaving server is not used", || {
        gateways.iter().all(|g| !is_used(g, "p-1"))
    })
    .await;
    assert_eq!(gateways.map(version), [2, 2], "it does not go back");
    site.configure(3, &config(3));
    site.until("version 3", || gateways.iter().all(|g| version(g) == 3))
        .await;
    let answer = site.send(request("1", "/once/a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    let runs = site.shared.runs("1");
    assert_eq!(runs[0].headers["expect-instance"], "p-2");
}

/// The copy lists as serving what has left or was removed since.
#[tokio::test]
async fn what_left_stays_away() {
    let (site, other) = site().await;
    let gateways = [&site.gateway, &other];
    let copy = site.store.copy();
    let addr = |id: &str| site.gateway.ctx.servers.addr(&BackendId::from(id));
    let (first, second) = (addr("p-1").unwrap(), addr("e-1").unwrap());
    site.list("p-1", first, false, "a", "draining");
    site.put("servers", "e-1", None);
    let are_used = |id: &str| gateways.iter().any(|g| is_used(g, id));
    site.until("neither is used", || !are_used("p-1") && !are_used("e-1"))
        .await;
    site.store.restore(&copy);
    site.list("p-2", addr("p-2").unwrap(), false, "b", "ready");
    let is_read = |g: &Gateway| g.ctx.store_era() == 1 && g.ctx.servers.lock().roster.len() == 4;
    site.until("the copy is read", || gateways.iter().all(|g| is_read(g)))
        .await;
    assert!(!are_used("p-1") && !are_used("e-1"));
    // It was removed for want of heartbeats and writes again.
    site.list("e-1", second, true, "a", "ready");
    site.until("a server that writes again is used", || {
        gateways.iter().all(|g| is_used(g, "e-1"))
    })
    .await;
    assert!(!are_used("p-1"));
}

#[tokio::test]
async fn own_rows_are_written_again() {
    let site = Site::bare().await;
    let copy = site.store.copy();
    site.until("the host is listed", || !site.store.keys(HOSTS).is_empty())
        .await;
    site.store.restore(&copy);
    site.until("the host is listed again", || {
        !site.store.keys(HOSTS).is_empty()
    })
    .await;
}
