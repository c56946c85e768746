//! The changes of the store's tables, which hosts take from the hub of their data centre.

mod site;

use base::hash::rendezvous;
use gooseberry_gateway::feed::Recent;
use gooseberry_gateway::metrics::Cause;
use gooseberry_gateway::run::Gateway;
use gooseberry_standin::faults::Switch;
use peer::host::Unserved;
use platform::store::Row;
use site::{Site, config, version};

fn row(revision: u64, bytes: usize) -> Row {
    Row {
        key: format!("key-{revision}"),
        revision,
        value: Some(vec![0; bytes]),
    }
}

fn revisions(recent: &Recent, since: u64) -> Result<Vec<u64>, Unserved> {
    let rows = recent.since(since)?;
    Ok(rows.rows.iter().map(|r| r.revision).collect())
}

#[test]
fn changes_behind_a_revision() {
    let mut recent = Recent::default();
    assert_eq!(
        revisions(&recent, 0),
        Err(Unserved::Away),
        "nothing was read"
    );
    recent.read(10);
    recent.add(&[row(11, 1), row(13, 1)], 10, 15);
    assert_eq!(revisions(&recent, 9), Err(Unserved::Behind));
    assert_eq!(revisions(&recent, 10), Ok(vec![11, 13]));
    assert_eq!(revisions(&recent, 11), Ok(vec![13]));
    assert_eq!(revisions(&recent, 14), Ok(vec![]));
    assert_eq!(recent.since(14).unwrap().revision, 15);
    assert_eq!(
        recent.since(20).unwrap().revision,
        20,
        "the other knows more"
    );
    recent.lost();
    assert_eq!(revisions(&recent, 11), Err(Unserved::Away));
    recent.add(&[row(16, 1)], 15, 16);
    assert_eq!(revisions(&recent, 11), Ok(vec![13, 16]));
}

#[test]
fn changes_told_by_others_leave_a_gap() {
    let mut recent = Recent::default();
    recent.read(10);
    recent.add(&[row(11, 1)], 10, 11);
    recent.lost();
    recent.add(&[row(30, 1)], 20, 30);
    assert_eq!(revisions(&recent, 11), Err(Unserved::Behind));
    assert_eq!(revisions(&recent, 20), Ok(vec![30]));
}

#[test]
fn old_changes_make_room() {
    let mut recent = Recent::default();
    recent.read(0);
    for revision in 1..=100 {
        recent.add(&[row(revision, 10_000)], revision - 1, revision);
    }
    assert_eq!(revisions(&recent, 0), Err(Unserved::Behind));
    let held = (0..100).find(|since| recent.since(*since).is_ok()).unwrap();
    let rows = revisions(&recent, held).unwrap();
    assert_eq!(rows, (held + 1..=100).collect::<Vec<u64>>(), "no gap");
    assert!(rows.len() > 20, "{} rows", rows.len());
}

/// A name that comes after the first host's in the order of hubs.
fn later_host() -> String {
    let weight = |host: &str| rendezvous("a", host);
    let names = (2..).map(|i| format!("host-{i}"));
    let mut later = names.skip_while(|n| weight(n) < weight("host-1"));
    later.next().expect("a later name")
}

fn store_calls(gateway: &Gateway) -> u64 {
    let cause = Cause { cause: "answered" };
    gateway.ctx.metrics.store_calls.get_or_create(&cause).get()
}

/// Changes the configuration and the servers; returns the calls to the store by which `other` learnt it.
async fn change(site: &Site, other: &Gateway, number: u64) -> u64 {
    let before = store_calls(other);
    site.configure(number, &config(number));
    let id = format!("p-{number}");
    site.server(&id, false, "a").await;
    site.until("the change is known", || {
        let is_known = |id: &str| {
            let fleet = other.ctx.servers.lock();
            fleet.roster.iter().any(|(i, _)| i.as_str() == id)
        };
        version(other) == number && is_known(&id)
    })
    .await;
    store_calls(other) - before
}

/// Has the other host take changes from the hub; returns the number of the next change.
async fn until_shared(site: &Site, other: &Gateway) -> u64 {
    for number in 10..30 {
        if change(site, other, number).await == 0 {
            return number + 1;
        }
    }
    panic!("the other host still asks the store");
}

#[tokio::test]
async fn no_calls_to_the_store() {
    let site = Site::start().await;
    let other = site.gateway(&later_host()).await;
    let next = until_shared(&site, &other).await;
    for number in next..next + 3 {
        assert_eq!(change(&site, &other, number).await, 0);
    }
}

#[tokio::test]
async fn hub_that_is_gone() {
    let mut site = Site::start().await;
    let other = site.gateway(&later_host()).await;
    let next = until_shared(&site, &other).await;
    let third = site.gateway(&later_host().replace("host", "other")).await;
    drop(std::mem::replace(&mut site.gateway, third));
    assert!(change(&site, &other, next).await > 0, "it asks the store");
}

#[tokio::test]
async fn store_away_from_the_hub() {
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
    site.until("the outage is noticed", || {
        other.ctx.servers.is_registry_unavailable()
    })
    .await;
    outage(false);
    site.until("the store is back", || {
        !other.ctx.servers.is_registry_unavailable()
    })
    .await;
    change(&site, &other, next).await;
}
