//! Free slots of a backend server whose load report is older than many views.
//!
//! The router adds its own requests placed since the report; the test guards against losing count
//! of them when more views arrive than counts are kept.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use gooseberry_router::backends::{Backend, Placement};
use peer::agent::BackendView;

/// Slots of the server, and the running requests in its report.
const SLOTS: u64 = 16;
const REPORTED: u64 = 4;

/// Creates a view whose load report is one second old.
fn view() -> BackendView {
    BackendView {
        backend: BackendId::from("engine-0"),
        service: ServiceName::from("draft-model"),
        data_centre: DataCentre::from("vn-south-a"),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: None,
        leaving: false,
        alive: true,
        running: REPORTED,
        queued: 0,
        slots: SLOTS,
        models: Vec::new(),
        age_ms: 1_000,
        blocks: Vec::new(),
    }
}

#[test]
fn placed_since_report() {
    let first = Arc::new(Backend::adopt(Millis(1_000), view(), &[]));
    let placed: Vec<Placement> = (0..5)
        .map(|_| Placement::new(first.clone(), Millis(1_010), false))
        .collect();
    // Each change of another server also produces a view, with the same old report of this one.
    let mut held = first;
    for at in 1_011..1_300 {
        held = Arc::new(Backend::adopt(Millis(at), view(), &[held]));
    }
    // The report predates all five requests and counts none of them.
    assert_eq!(held.free_slots(Millis(1_300)), SLOTS - REPORTED - 5);
    drop(placed);
}
