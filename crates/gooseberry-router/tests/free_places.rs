//! The free places of a backend server whose load report is older than many views.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use gooseberry_router::backends::{Backend, Placement};
use peer::agent::BackendView;

/// The places of the server, and the requests that its report counts.
const SLOTS: u64 = 16;
const REPORTED: u64 = 4;

/// A view whose report is a second old.
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
    // Views come for other servers as well; each carries the same old report of this one.
    let mut held = first;
    for at in 1_011..1_300 {
        held = Arc::new(Backend::adopt(Millis(at), view(), &[held]));
    }
    // The report was made before any of the five was placed, and counts none of them.
    assert_eq!(held.free_slots(Millis(1_300)), SLOTS - REPORTED - 5);
    drop(placed);
}
