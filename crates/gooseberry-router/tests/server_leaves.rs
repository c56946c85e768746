//! A backend server that is leaving gets no new work, whether the platform's list or its own report
//! marks it so.

#[expect(dead_code, reason = "each test uses part of the module")]
mod fleet;

use std::sync::atomic::{AtomicU64, Ordering};

use fleet::Fleet;
use gooseberry_standin::faults::Switch;

/// Sends 12 requests through both hosts; returns the number of streams that engine 0 started for
/// them.
async fn streams_on_first(fleet: &Fleet, name: &str) -> u64 {
    let before = fleet.streams(0).await;
    for i in 0..12 {
        let key = format!("{name}-{i}");
        let answer = fleet.complete(i % 2, &key, 5).await;
        assert!(answer.is_complete(&key, 5), "{answer:?}");
    }
    fleet.streams(0).await - before
}

/// Sends requests until engine 0 has started a stream.
async fn takes_work(fleet: &Fleet, name: &str) {
    let round = AtomicU64::new(0);
    let started = || async {
        let name = format!("{name}-{}", round.fetch_add(1, Ordering::Relaxed));
        streams_on_first(fleet, &name).await > 0
    };
    fleet.wait_until("engine 0 takes work", started).await;
}

/// Waits until both routers list engine 0 as alive, and as leaving or not.
async fn wait_until_known(fleet: &Fleet, leaving: bool) {
    for host in 0..2 {
        let is_reported = || async {
            let view = fleet.backend_view(host, 0).await;
            view["leaving"] == leaving && view["alive"] == true
        };
        fleet
            .wait_until("both routers have the new state of engine 0", is_reported)
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_in_list_in_report_and_restarted() {
    let mut fleet = Fleet::start(2, 2, 2).await;
    takes_work(&fleet, "before").await;

    // The list marks it as leaving; the engine's own report does not.
    fleet.set_leaving(fleet.backend(0), true).await;
    wait_until_known(&fleet, true).await;
    assert_eq!(streams_on_first(&fleet, "listed").await, 0);

    // The list no longer marks it, but the engine stays excluded for the rest of its incarnation.
    fleet.set_leaving(fleet.backend(0), false).await;
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    assert_eq!(streams_on_first(&fleet, "denied").await, 0);

    // A new incarnation at the same address takes work again.
    let old = fleet.backend_view(0, 0).await["incarnation"].clone();
    fleet.engines[0].kill();
    fleet.engines[0] = fleet.engine(0).await;
    wait_until_known(&fleet, false).await;
    assert_ne!(fleet.backend_view(0, 0).await["incarnation"], old);
    takes_work(&fleet, "again").await;

    // The engine reports that it is leaving, and later that it is not.
    let leaving = |value| Switch {
        leaving: Some(value),
        ..Switch::default()
    };
    fleet.switch(0, &leaving(true)).await;
    wait_until_known(&fleet, true).await;
    fleet.switch(0, &leaving(false)).await;
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    assert_eq!(streams_on_first(&fleet, "reported").await, 0);
}
