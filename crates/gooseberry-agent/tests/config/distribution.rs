//! Accepted versions reach every agent and never decrease, also while agents, the platform or a
//! data centre are unavailable.

use crate::site::{Relay, Site, agent, get};
use base::prelude::*;
use hyper::StatusCode;
use profiles::cache::{ConfigCache, Update};
use profiles::change::{Change, Revision};
use profiles::commit::WriteResult;
use profiles::document::Workspace;
use profiles::topology::{Role, Topology, role};
use serde_json::json;
use std::time::Duration;
use store::client::Platform;
use store::wire::{Expect, Op, Transact, Write};
use tokio::time::sleep;

#[tokio::test]
async fn reaches_all() {
    let site = Site::start(1, &["a"; 7]).await;
    let agents = site.agents();
    for base in 0..4 {
        // The base has been accepted but may not be in force at this agent yet.
        let name = format!("w-{base}");
        let by = &agents[usize::try_from(base).expect("small")];
        assert_eq!(by.put(base, &name).await.1["version"], base + 1);
    }
    let mut documents = Vec::new();
    for one in &agents {
        one.wait_version(4).await;
        documents.push(one.state().await["view"]["document"].clone());
    }
    assert_eq!(documents[0]["workspaces"].as_array().map(Vec::len), Some(4));
    assert!(documents.iter().all(|d| *d == documents[0]));
}

#[tokio::test]
async fn watchers_stopped() {
    let site = Site::start(2, &["a"; 6]).await;
    let mut agents = site.agents();
    agents[0].put(0, "w").await;
    for one in &agents {
        one.wait_version(1).await;
    }
    let names: Vec<String> = (0..6).map(|i| format!("entry-{i}")).collect();
    let live: Vec<&str> = names.iter().map(String::as_str).collect();
    let watches = |i: &usize| role(Topology::Tree, live[*i], &live) == Role::Watch;
    let watchers: Vec<usize> = (0..6).filter(watches).collect();
    assert_eq!(watchers.len(), 2);
    for i in watchers.into_iter().rev() {
        agents.remove(i).stop().await;
    }
    assert_eq!(agents[0].put(1, "x").await.0, StatusCode::OK);
    for one in &agents {
        one.wait_version(2).await;
    }
}

#[tokio::test]
async fn stale_read() {
    let site = Site::start(3, &["a"]).await;
    let one = agent(site.settings(0));
    for base in 0..3 {
        one.put(base, &format!("w-{base}")).await;
    }
    assert_eq!(one.version().await, 3);
    let platform = Platform {
        addr: site.platform,
        limit: Duration::from_secs(5),
    };
    let old = Op {
        key: "config/head".to_owned(),
        expect: Expect::Any,
        write: Write::Put(json!({ "version": 1, "operation": "old" })),
    };
    platform
        .transact(&Transact { ops: vec![old] })
        .await
        .expect("a write");
    let reads = async || get(site.platform, "/stats").await["reads"].as_u64();
    let before = reads().await.expect("a number");
    while reads().await < Some(before + 20) {
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(one.version().await, 3);
}

#[tokio::test]
async fn platform_outage() {
    let site = Site::start(4, &["a"; 3]).await;
    let agents = site.agents();
    agents[0].put(0, "w").await;
    for one in &agents {
        one.wait_version(1).await;
    }
    site.faults(json!({ "outage": true })).await;
    let (status, body) = agents[1].put(1, "x").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(body["outcome"], "unavailable");
    for one in &agents {
        assert_eq!(one.version().await, 1);
        assert_eq!(get(one.admin(), "/v1/ready").await["ready"], true);
    }
    site.faults(json!({ "outage": false })).await;
    assert_eq!(agents[1].put(1, "x").await.0, StatusCode::OK);
    for one in &agents {
        one.wait_version(2).await;
    }
}

/// Data centre `a` is cut off from the platform and from data centre `b`, then reconnected.
#[tokio::test]
async fn data_centre_cut() {
    let site = Site::with(5, &["a", "a", "b", "b"], &[2, 3]).await;
    let store = Relay::start(site.address(210, 7020), site.platform).await;
    let mut peers = Vec::new();
    for i in [2, 3] {
        peers.push(Relay::start(site.address(i, 7006), site.address(i, 7004)).await);
    }
    let mut agents = Vec::new();
    for i in 0..4 {
        let mut settings = site.settings(i);
        if i < 2 {
            settings.platform = site.address(210, 7020);
        }
        agents.push(agent(settings));
    }
    agents[3].put(0, "w").await;
    for one in &agents {
        one.wait_version(1).await;
    }
    store.cut(true);
    peers.iter().for_each(|p| p.cut(true));
    // Calls in flight when the relays were cut may still get a response.
    sleep(Duration::from_millis(100)).await;
    assert_eq!(agents[3].put(1, "x").await.0, StatusCode::OK);
    agents[2].wait_version(2).await;
    assert_eq!(agents[0].version().await, 1);
    assert_eq!(get(agents[0].admin(), "/v1/ready").await["ready"], true);
    // With the platform still cut off, the agents of data centre `b` deliver the version.
    peers.iter().for_each(|p| p.cut(false));
    agents[0].wait_version(2).await;
    agents[1].wait_version(2).await;
    store.cut(false);
    assert_eq!(agents[0].put(2, "y").await.0, StatusCode::OK);
    for one in &agents {
        one.wait_version(3).await;
    }
}

/// A host that starts far behind reads a snapshot, because the first revisions are deleted.
#[tokio::test]
async fn starts_from_snapshot() {
    let site = Site::start(7, &["a"]).await;
    let platform = Platform {
        addr: site.platform,
        limit: Duration::from_secs(5),
    };
    let mut held = ConfigCache::default();
    for version in 1..=300 {
        let revision = revision(version);
        held.apply(Update::Changes(vec![revision.clone()]));
        let head = platform.head().await.expect("a head");
        assert_eq!(
            platform.commit(&head, &revision).await,
            WriteResult::Committed
        );
        let kept = platform.write_snapshot(held.document()).await;
        kept.expect("a snapshot, if one is due");
    }
    let deletes = (1..=200).map(|version| Op {
        key: format!("config/change/{version}"),
        expect: Expect::Any,
        write: Write::Delete,
    });
    let ops = deletes.collect();
    platform.transact(&Transact { ops }).await.expect("a write");
    let one = agent(site.settings(0));
    one.wait_version(300).await;
    let document = &one.state().await["view"]["document"];
    assert_eq!(
        *document,
        serde_json::to_value(held.document()).expect("JSON")
    );
}

/// The revision for `version`: changes the share of one of three workspaces.
fn revision(version: u32) -> Revision {
    let workspace = Workspace {
        name: WorkspaceName(format!("w-{}", version % 3)),
        keys: Vec::new(),
        share: version,
        running: 0,
    };
    Revision {
        version: Version(version.into()),
        operation: OperationId(format!("op-{version}")),
        changes: vec![Change::PutWorkspace(workspace)],
    }
}

/// All hosts of a data centre restart while the platform is unavailable and get the configuration
/// from a peer of another one.
#[tokio::test]
async fn restart_without_platform() {
    let site = Site::start(6, &["a", "a", "b"]).await;
    let mut agents = site.agents();
    for base in 0..2 {
        agents[0].put(base, &format!("w-{base}")).await;
    }
    for one in &agents {
        one.wait_version(2).await;
    }
    site.faults(json!({ "outage": true })).await;
    let mut stopped = Vec::new();
    for one in agents.drain(..2) {
        stopped.push(one.stop().await);
    }
    let peers = vec![
        site.address(0, 7004),
        site.address(1, 7004),
        site.address(2, 7004),
    ];
    for mut settings in stopped {
        settings.peers = peers.clone();
        let started = agent(settings);
        started.wait_version(2).await;
        assert_eq!(get(started.admin(), "/v1/ready").await["ready"], true);
        agents.push(started);
    }
    for one in agents {
        one.stop().await;
    }
    // No running peer has a configuration now.
    let mut settings = site.settings(0);
    settings.peers = peers;
    let isolated = agent(settings);
    let reason = loop {
        let state = isolated.state().await;
        assert_eq!(state["view"]["version"], 0);
        let ready = web::client::get::<serde_json::Value>(
            isolated.admin(),
            "/v1/ready",
            Duration::from_secs(5),
        );
        let error = ready.await.expect_err("not ready").to_string();
        if error.contains("0 of 2 peers answered") {
            break error;
        }
        sleep(Duration::from_millis(20)).await;
    };
    assert!(
        reason.contains("503") && reason.contains("the platform cannot be read"),
        "{reason}"
    );
}
