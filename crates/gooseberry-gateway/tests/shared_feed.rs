//! Changes of the store's tables that hosts poll from the hub of their data centre.

mod site;

use base::hash::rendezvous;
use gooseberry_gateway::feed::RecentChanges;
use gooseberry_gateway::metrics::Cause;
use gooseberry_gateway::run::Gateway;
use gooseberry_standin::faults::Switch;
use peer::host::FeedError;
use platform::store::Row;
use site::{Site, config, version};

fn row(revision: u64, bytes: usize) -> Row {
    Row {
        key: format!("key-{revision}"),
        revision,
        value: Some(vec![0; bytes]),
    }
}

fn revisions(recent: &RecentChanges, since: u64) -> Result<Vec<u64>, FeedError> {
    let rows = recent.changes_after(since)?;
    Ok(rows.rows.iter().map(|r| r.revision).collect())
}

#[test]
fn changes_after_a_revision() {
    let mut recent = RecentChanges::default();
    assert_eq!(
        revisions(&recent, 0),
        Err(FeedError::Unavailable),
        "no table has been read"
    );
    recent.reset(10);
    recent.append(&[row(11, 1), row(13, 1)], 10, 15);
    assert_eq!(revisions(&recent, 9), Err(FeedError::Evicted));
    assert_eq!(revisions(&recent, 10), Ok(vec![11, 13]));
    assert_eq!(revisions(&recent, 11), Ok(vec![13]));
    assert_eq!(revisions(&recent, 14), Ok(vec![]));
    assert_eq!(recent.changes_after(14).unwrap().revision, 15);
    assert_eq!(
        recent.changes_after(20).unwrap().revision,
        20,
        "the other host has a later revision"
    );
    recent.set_unavailable();
    assert_eq!(revisions(&recent, 11), Err(FeedError::Unavailable));
    recent.append(&[row(16, 1)], 15, 16);
    assert_eq!(revisions(&recent, 11), Ok(vec![13, 16]));
}

#[test]
fn changes_polled_from_hub_leave_gap() {
    let mut recent = RecentChanges::default();
    recent.reset(10);
    recent.append(&[row(11, 1)], 10, 11);
    recent.set_unavailable();
    recent.append(&[row(30, 1)], 20, 30);
    assert_eq!(revisions(&recent, 11), Err(FeedError::Evicted));
    assert_eq!(revisions(&recent, 20), Ok(vec![30]));
}

#[test]
fn oldest_changes_are_evicted() {
    let mut recent = RecentChanges::default();
    recent.reset(0);
    for revision in 1..=100 {
        recent.append(&[row(revision, 10_000)], revision - 1, revision);
    }
    assert_eq!(revisions(&recent, 0), Err(FeedError::Evicted));
    let oldest = (0..100)
        .find(|since| recent.changes_after(*since).is_ok())
        .unwrap();
    let rows = revisions(&recent, oldest).unwrap();
    assert_eq!(rows, (oldest + 1..=100).collect::<Vec<u64>>(), "no gap");
    assert!(rows.len() > 20, "{} rows", rows.len());
}

/// A host name that comes after `host-1` in hub order, so that `host-1` is its hub.
fn later_host() -> String {
    let mut later = host_names().skip_while(|n| weight(n) < weight("host-1"));
    later.next().expect("a later name")
}

/// Two host names that come before `host-1`, in hub order.
fn earlier_hosts() -> [String; 2] {
    let earlier = host_names().filter(|n| weight(n) < weight("host-1"));
    let mut names: Vec<String> = earlier.take(2).collect();
    names.sort_by_key(|n| weight(n));
    names.try_into().expect("two names")
}

fn host_names() -> impl Iterator<Item = String> {
    (2..).map(|i| format!("host-{i}"))
}

fn weight(host: &str) -> u64 {
    rendezvous("a", host)
}

fn store_calls(gateway: &Gateway) -> u64 {
    let cause = Cause { cause: "answered" };
    gateway.ctx.metrics.store_calls.get_or_create(&cause).get()
}

/// Changes the configuration and adds a server; returns how many store calls `other` made until it applied
/// both.
async fn change(site: &Site, other: &Gateway, number: u64) -> u64 {
    let before = store_calls(other);
    site.configure(number, &config(number));
    let id = format!("p-{number}");
    site.server(&id, false, "a").await;
    site.until("the change is applied", || {
        let is_listed = |id: &str| {
            let fleet = other.ctx.servers.lock();
            fleet.roster.iter().any(|(i, _)| i.as_str() == id)
        };
        version(other) == number && is_listed(&id)
    })
    .await;
    store_calls(other) - before
}

/// Makes changes until the other host polls the hub for them; returns the number of the next change.
async fn until_shared(site: &Site, other: &Gateway) -> u64 {
    for number in 10..30 {
        if change(site, other, number).await == 0 {
            return number + 1;
        }
    }
    panic!("the other host still polls the store");
}

#[tokio::test]
async fn member_makes_no_store_calls() {
    let site = Site::start().await;
    let other = site.gateway(&later_host()).await;
    let next = until_shared(&site, &other).await;
    for number in next..next + 3 {
        assert_eq!(change(&site, &other, number).await, 0);
    }
}

#[tokio::test]
async fn hub_unreachable() {
    let mut site = Site::start().await;
    let other = site.gateway(&later_host()).await;
    let next = until_shared(&site, &other).await;
    let third = site.gateway(&later_host().replace("host", "other")).await;
    drop(std::mem::replace(&mut site.gateway, third));
    assert!(
        change(&site, &other, next).await > 0,
        "it must poll the store"
    );
}

/// The store refuses the hub and serves the others: one of them stands in for it.
#[tokio::test]
async fn hub_cut_from_store() {
    let site = Site::bare().await;
    let [first, second] = earlier_hosts();
    let (hub, way) = site.gateway_apart(&first).await;
    site.until("the hub is listed", || hub.ctx.gossip().is_listed())
        .await;
    let stand_in = site.gateway(&second).await;
    site.until("the stand-in is listed", || {
        stand_in.ctx.gossip().is_listed()
    })
    .await;
    let other = site.gateway(&later_host()).await;
    let next = until_shared(&site, &other).await;
    drop(way);
    site.until("the hub is cut from the store", || {
        hub.ctx.servers.is_registry_unavailable()
    })
    .await;
    let mut calls = Vec::new();
    for number in next..next + 6 {
        calls.push(change(&site, &other, number).await);
    }
    assert_eq!(calls[3..], [0, 0, 0], "store calls of a member: {calls:?}");
}

#[tokio::test]
async fn changes_apply_after_store_outage() {
    let site = Site::start().await;
    let other = site.gateway(&later_host()).await;
    let next = until_shared(&site, &other).await;
    let outage = |is_out| {
        site.store.faults.apply(&Switch {
            outage: Some(is_out),
            ..Switch::default()
        });
    };
    outage(true);
    site.until("the outage is detected", || {
        other.ctx.servers.is_registry_unavailable()
    })
    .await;
    outage(false);
    site.until("the store is reachable again", || {
        !other.ctx.servers.is_registry_unavailable()
    })
    .await;
    change(&site, &other, next).await;
}
