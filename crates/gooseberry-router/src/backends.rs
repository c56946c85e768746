//! The backend servers as the request path sees them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use balance::{Ask, Server, choose};
use base::prelude::*;
use peer::agent::BackendView;

use crate::config::Snapshot;

/// A backend server and what this router has running there.
#[derive(Clone, Debug)]
pub struct Backend {
    /// What the agent tells of it.
    pub seen: BackendView,
    own: Arc<AtomicU64>,
}

impl Backend {
    /// A backend server with the count of its predecessor among `held`.
    pub fn adopt(seen: BackendView, held: &[Arc<Backend>]) -> Self {
        let old = held.iter().find(|b| b.seen.backend == seen.backend);
        let own = old.map(|b| b.own.clone()).unwrap_or_default();
        Self { seen, own }
    }

    /// The requests that this router has running there.
    pub fn own(&self) -> u64 {
        self.own.load(Ordering::Relaxed)
    }
}

/// A request in its place at a backend server; dropping it frees the place.
#[derive(Debug)]
pub struct Placed {
    /// The backend server.
    pub backend: Arc<Backend>,
}

impl Placed {
    /// Counts a request at `backend`.
    pub fn new(backend: Arc<Backend>) -> Self {
        backend.own.fetch_add(1, Ordering::Relaxed);
        Self { backend }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.backend.own.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Why no backend server can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoBackend {
    /// None is alive and takes work.
    None,
    /// Some take work, but none has the model.
    NoModel,
}

/// Places one request of `service`.
///
/// # Errors
///
/// [`NoBackend`] if no server can be used.
pub fn place(
    snapshot: &Snapshot,
    near: &DataCentre,
    service: &ServiceName,
    model: Option<&Model>,
    blocks: &[u64],
    avoid: &[BackendId],
) -> Result<Placed, NoBackend> {
    let live: Vec<&Arc<Backend>> = snapshot
        .backends
        .iter()
        .filter(|b| b.seen.service == *service && b.seen.alive && !b.seen.leaving)
        .collect();
    let servers: Vec<Server<'_>> = live
        .iter()
        .map(|b| Server {
            backend: &b.seen.backend,
            is_usable: model.is_none_or(|m| b.seen.models.contains(m)),
            is_near: b.seen.data_centre == *near,
            own: b.own(),
            reported: b.seen.running + b.seen.queued,
            slots: b.seen.slots,
            cached: held_blocks(&b.seen.blocks, blocks),
        })
        .collect();
    let ask = Ask {
        avoid,
        spread: rand::random(),
    };
    match choose(&servers, &ask) {
        Some(i) => Ok(Placed::new(live[i].clone())),
        None if live.is_empty() => Err(NoBackend::None),
        None => Err(NoBackend::NoModel),
    }
}

/// How many of `blocks`, from the first on, are in the sorted list `held`.
fn held_blocks(held: &[u64], blocks: &[u64]) -> u64 {
    let is_held = |b: &&u64| held.binary_search(b).is_ok();
    blocks.iter().take_while(is_held).count() as u64
}
