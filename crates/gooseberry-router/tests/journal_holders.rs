//! A host that takes over a request queries every host that its owner may have chosen as witness.

use base::prelude::*;
use cadence::{NopMetricSink, StatsdClient};
use gooseberry_router::config::Snapshot;
use gooseberry_router::context::Router;
use peer::agent::HostView;
use serde_json::json;
use timer::Timer;

/// Data centre of each host: four data centres with two hosts each.
const CENTRES: [&str; 8] = ["a", "b", "c", "d", "a", "b", "c", "d"];

/// Number of request keys to check.
const KEYS: usize = 200;

fn view(i: usize) -> HostView {
    HostView {
        host: HostId(format!("entry-{i}")),
        data_centre: DataCentre::from(CENTRES[i]),
        router: ([127, 0, 0, 1], 7_000 + i as u16).into(),
        agent: ([127, 0, 0, 1], 8_000 + i as u16).into(),
        incarnation: None,
        leaving: false,
        alive: true,
    }
}

/// Creates the router of host `i` with a view of all hosts.
fn router(i: usize) -> Router {
    let settings = json!({
        "host": format!("entry-{i}"),
        "data_centre": CENTRES[i],
        "listen": {
            "callers": "127.0.0.1:1",
            "peers": "127.0.0.1:2",
            "admin": "127.0.0.1:3",
        },
        "agent": "127.0.0.1:4",
        "platform": "127.0.0.1:5",
    });
    let settings = serde_json::from_value(settings).expect("the settings are complete");
    let metrics = StatsdClient::from_sink("test", NopMetricSink);
    let router = Router::new(settings, Timer::start(), metrics);
    router.swap(Snapshot {
        hosts: (0..CENTRES.len()).map(view).collect(),
        ..Snapshot::default()
    });
    router
}

#[tokio::test]
async fn witness_among_holders() {
    let routers: Vec<Router> = (0..CENTRES.len()).map(router).collect();
    for n in 0..KEYS {
        let key = RequestKey(format!("drafts/{n}"));
        for owner in &routers {
            let witnesses = owner.witnesses(&key);
            for other in &routers {
                let asked: Vec<HostId> = other.holders(&key).into_iter().map(|h| h.host).collect();
                let is_known = |w: &&HostId| **w == other.settings.host || asked.contains(w);
                let missing: Vec<_> = witnesses.iter().filter(|w| !is_known(w)).collect();
                assert!(
                    missing.is_empty(),
                    "{key}: witnesses that are not queried: {missing:?}"
                );
            }
        }
    }
}
