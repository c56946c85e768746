//! Prompts with a part that ends each server which begins to answer on it.

mod site;

use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use gooseberry_gateway::run::Gateway;
use gooseberry_standin::site::worker::FATAL_PART;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use membership::gossip::{Body, Gossip, KINDS, ListedPeer};
use relay::{Quarantine, Subject};
use site::{Site, generation, send_to};

/// Servers that may end before such prompts are recognised, and sends allowed after that.
const MAX_RUNS: usize = 5 + 3;

/// Engines of the deployment; more than may end.
const ENGINES: usize = 12;

/// A site with [`ENGINES`] engines and a second gateway.
async fn site() -> (Site, Gateway) {
    let site = Site::start().await;
    site.add_servers("e", true, ENGINES).await;
    let other = site.peer("host-2").await;
    (site, other)
}

/// A stream's request whose prompt has these parts.
fn prompt(id: &str, parts: &str) -> Request<Full<Bytes>> {
    let mut request = generation(id, "/draft/a");
    let parts = parts.parse().unwrap();
    request.headers_mut().insert("prompt-prefix", parts);
    request
}

#[tokio::test]
async fn fatal_part_ends_few_servers() {
    let (site, other) = site().await;
    for i in 0..8 {
        let parts = format!("5c{i}:200,{FATAL_PART}:300,7{i}:800");
        let gateway = if i % 2 == 0 { &site.gateway } else { &other };
        let answer = send_to(gateway, prompt(&format!("bad-{i}"), &parts)).await;
        assert_ne!(answer.status, StatusCode::OK);
        let sound = prompt(&format!("good-{i}"), &format!("5c{i}:200,8{i}:800"));
        assert!(send_to(gateway, sound).await.is_whole);
    }
    let runs = site.shared.runs_with_part(FATAL_PART);
    assert!(runs <= MAX_RUNS, "sent to servers {runs} times");
}

/// A host that starts after the crashes, and hears no other host before its first request.
#[tokio::test]
async fn known_after_a_restart() {
    let (site, other) = site().await;
    let parts = |i: usize| format!("5c:200,{FATAL_PART}:300,7{i}:800");
    for i in 0..4 {
        send_to(&other, prompt(&format!("bad-{i}"), &parts(i))).await;
        // Servers that end at the same moment have a common cause.
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    site.until("the quarantine is in the store", || {
        !site.store.keys("gooseberry-quarantine").is_empty()
    })
    .await;
    let runs = site.shared.runs_with_part(FATAL_PART);
    let started = site.gateway("host-3").await;
    let has_read = || !started.ctx.quarantine(Subject::Prompts).fatal().is_empty();
    site.until("the new host has read the quarantine", has_read)
        .await;
    let answer = send_to(&started, prompt("bad-9", &parts(9))).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(site.shared.runs_with_part(FATAL_PART), runs);
}

/// A request whose servers fail one after the other is given up, also if its prompt has no shared parts.
#[tokio::test]
async fn request_ends_two_servers() {
    let (site, _other) = site().await;
    let answer = site.send(prompt("bad", &format!("{FATAL_PART}:300"))).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(site.shared.runs("bad").len(), 2);
}

#[test]
fn evidence_fits_a_datagram() {
    let mut quarantine = Quarantine::default();
    for i in 0..500 {
        let now = Millis(10_000 + i);
        let parts: Vec<u64> = (0..1 + i % 16).map(|p| u64::MAX - i * 16 - p).collect();
        quarantine.record_crash(now, u32::MAX - i as u32, &parts);
        quarantine.restore(parts.clone(), now, Millis(86_400_000));
        quarantine.record_sound(now + Millis(1), &parts[..1]);
    }
    let evidence = quarantine.evidence(Millis(11_000), true).unwrap();
    let centre = DataCentre::from("a-data-centre-with-a-long-name");
    let name = HostId::from("a-host-with-a-long-name-in-a-data-centre-1");
    let mut gossip = Gossip::new(name, centre.clone(), Incarnation(u64::MAX));
    gossip.set_hosts(vec![ListedPeer {
        host: HostId::from("b"),
        data_centre: centre,
        addr: "10.0.0.1:1".parse().unwrap(),
        tunnels: None,
        has_http2: false,
        hub_priority: 9,
        kinds: KINDS,
    }]);
    let messages = gossip.news(Millis(11_000), Body::Prompts(evidence));
    let bytes = postcard::to_stdvec(&messages[0].1).unwrap();
    assert!(bytes.len() <= 1_400, "{} bytes", bytes.len());
}
