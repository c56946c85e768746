//! Where output goes on after a loss: spread over engines, past those that failed, and to the one
//! that holds the prompt if the profile says so.

use std::sync::Arc;

use base::prelude::*;
use engine::wire::{is_sampled, prompt_blocks};
use gooseberry_router::backends::{Backend, Placed, Want, place};
use gooseberry_router::config::Snapshot;
use peer::agent::BackendView;

/// A prompt of many blocks.
fn prompt() -> String {
    (0..400).map(|n| format!("scene {n:08} ")).collect()
}

fn backend(name: &str, centre: &str, blocks: Vec<u64>) -> Arc<Backend> {
    let seen = BackendView {
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
    Arc::new(Backend::adopt(seen, &[]))
}

fn snapshot(backends: Vec<Arc<Backend>>) -> Snapshot {
    Snapshot {
        backends,
        ..Snapshot::default()
    }
}

/// Places a resume and returns its backend server.
fn resume(snapshot: &Snapshot, blocks: &[u64], prefers_cached: bool) -> (String, Placed) {
    let want = Want {
        now: Millis(1_000),
        near: &DataCentre::from("a"),
        service: &ServiceName::from("draft-model"),
        model: None,
        blocks,
        avoid: &[],
        is_resume: true,
        resumes: 2,
        prefers_cached,
    };
    let placed = place(snapshot, &want).expect("a backend server is usable");
    (placed.backend.seen.backend.0.clone(), placed)
}

#[test]
fn far_beyond_cap() {
    let near = backend("near", "a", Vec::new());
    let far = backend("far", "b", Vec::new());
    let snapshot = snapshot(vec![near, far]);
    let mut placed: Vec<(String, Placed)> = (0..4).map(|_| resume(&snapshot, &[], false)).collect();
    let names: Vec<&str> = placed.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["near", "near", "far", "far"]);
    // Once output goes on, the near one takes more.
    placed[0].1.flow();
    assert_eq!(resume(&snapshot, &[], false).0, "near");
}

#[test]
fn suspect_passed_over() {
    let failed = backend("failed", "a", Vec::new());
    let sound = backend("sound", "b", Vec::new());
    let snapshot = snapshot(vec![failed.clone(), sound]);
    failed.suspect(Millis(900));
    assert_eq!(resume(&snapshot, &[], false).0, "sound");
    failed.trust();
    assert_eq!(resume(&snapshot, &[], false).0, "failed");
}

#[test]
fn cached_preferred() {
    let blocks = prompt_blocks(&prompt());
    let mut held: Vec<u64> = blocks.iter().copied().filter(|b| is_sampled(*b)).collect();
    held.sort_unstable();
    assert!(!held.is_empty());
    let empty = backend("empty", "a", Vec::new());
    let holder = backend("holder", "b", held);
    let snapshot = snapshot(vec![empty, holder.clone()]);
    assert_eq!(resume(&snapshot, &blocks, false).0, "empty");
    assert_eq!(resume(&snapshot, &blocks, true).0, "holder");
    holder.suspect(Millis(900));
    assert_eq!(resume(&snapshot, &blocks, true).0, "empty");
}
