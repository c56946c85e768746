//! Selection of the backend server for a resumed generation: a cap on resumes per server, no
//! suspected server while there is another, and servers that cache the prompt first in cost mode.

#[expect(dead_code, reason = "each test uses part of the module")]
mod common;

use std::sync::Arc;

use base::prelude::*;
use engine::wire::{is_sampled, prompt_blocks};
use generation::policy::Mode;
use gooseberry_router::backends::{Backend, Placement, PlacementRequest, place};
use gooseberry_router::config::Snapshot;
use gooseberry_router::context::Router;
use peer::agent::BackendView;
use profiles::document::Profile;
use serde_json::json;

/// A prompt of many blocks.
fn prompt() -> String {
    (0..400).map(|n| format!("scene {n:08} ")).collect()
}

fn backend(name: &str, centre: &str, blocks: Vec<u64>) -> Arc<Backend> {
    let view = BackendView {
        backend: BackendId(name.to_owned()),
        service: ServiceName::from("draft-model"),
        data_centre: DataCentre::from(centre),
        addr: ([127, 0, 0, 1], 1).into(),
        incarnation: None,
        leaving: false,
        alive: true,
        running: 0,
        queued: 0,
        slots: 32,
        models: Vec::new(),
        age_ms: 0,
        blocks,
    };
    Arc::new(Backend::adopt(Millis(0), view, &[]))
}

/// Creates a router in data centre `vn-south-a` with these backend servers.
fn router(backends: Vec<Arc<Backend>>) -> Arc<Router> {
    let router = common::router();
    router.swap(Snapshot {
        backends,
        ..Snapshot::default()
    });
    router
}

/// Places a resume and returns its backend server.
fn resume(router: &Router, blocks: &[u64], mode: Mode) -> (String, Placement) {
    let profile = json!({ "name": "drafts", "resume": { "mode": mode, "resumes": 2 } });
    let profile: Profile = serde_json::from_value(profile).expect("a profile");
    let want = PlacementRequest {
        service: &ServiceName::from("draft-model"),
        profile: &profile,
        model: None,
        blocks,
        avoid: &[],
        is_resume: true,
    };
    let placed = place(router, &want).expect("a backend server is usable");
    (placed.backend.view.backend.0.clone(), placed)
}

#[test]
fn resume_cap_spills_over() {
    let near = backend("near", "vn-south-a", Vec::new());
    let far = backend("far", "vn-south-b", Vec::new());
    let router = router(vec![near, far]);
    let mut placed: Vec<(String, Placement)> = (0..4)
        .map(|_| resume(&router, &[], Mode::Latency))
        .collect();
    let names: Vec<&str> = placed.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["near", "near", "far", "far"]);
    // After the first token of one resume, the near server accepts another.
    placed[0].1.first_token(router.timer.now());
    assert_eq!(resume(&router, &[], Mode::Latency).0, "near");
}

#[test]
fn suspect_skipped() {
    let failed = backend("failed", "vn-south-a", Vec::new());
    let healthy = backend("sound", "vn-south-b", Vec::new());
    let router = router(vec![failed.clone(), healthy]);
    failed.suspect(router.timer.now());
    assert_eq!(resume(&router, &[], Mode::Latency).0, "sound");
    failed.clear_suspicion();
    assert_eq!(resume(&router, &[], Mode::Latency).0, "failed");
}

#[test]
fn cached_preferred() {
    let blocks = prompt_blocks(&prompt());
    let mut cached: Vec<u64> = blocks.iter().copied().filter(|b| is_sampled(*b)).collect();
    cached.sort_unstable();
    assert!(!cached.is_empty());
    let empty = backend("empty", "vn-south-a", Vec::new());
    let holder = backend("holder", "vn-south-b", cached);
    let router = router(vec![empty, holder.clone()]);
    assert_eq!(resume(&router, &blocks, Mode::Latency).0, "empty");
    assert_eq!(resume(&router, &blocks, Mode::Cost).0, "holder");
    holder.suspect(router.timer.now());
    assert_eq!(resume(&router, &blocks, Mode::Cost).0, "empty");
}
