//! The backend servers as the request path sees them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use balance::{Ask, Server, choose};
use base::prelude::*;
use engine::wire::is_sampled;
use peer::agent::BackendView;

use crate::config::Snapshot;

/// A backend server and what this router has running there.
#[derive(Clone, Debug)]
pub struct Backend {
    /// What the agent tells of it.
    pub seen: BackendView,
    own: Arc<AtomicU64>,
    /// The resumed streams that have not given a token yet.
    resuming: Arc<AtomicU64>,
    /// Until when it is passed over, since a stream of it is lost or cannot be opened.
    suspect: Arc<AtomicU64>,
}

impl Backend {
    /// A backend server with the count of its predecessor among `held`.
    pub fn adopt(seen: BackendView, held: &[Arc<Backend>]) -> Self {
        let old = held.iter().find(|b| b.seen.backend == seen.backend);
        let counts = |count: fn(&Backend) -> &Arc<AtomicU64>| {
            old.map(|b| count(b).clone()).unwrap_or_default()
        };
        Self {
            seen,
            own: counts(|b| &b.own),
            resuming: counts(|b| &b.resuming),
            suspect: counts(|b| &b.suspect),
        }
    }

    /// The requests that this router has running there.
    pub fn own(&self) -> u64 {
        self.own.load(Ordering::Relaxed)
    }

    /// Passes it over for a while.
    pub fn suspect(&self, now: Millis) {
        let until = now + SUSPECT;
        self.suspect.store(until.0, Ordering::Relaxed);
    }

    /// Ends the time for which it is passed over.
    pub fn trust(&self) {
        self.suspect.store(0, Ordering::Relaxed);
    }

    /// Whether it is passed over while there is another.
    fn is_avoided(&self, want: &Want<'_>) -> bool {
        let is_full = want.is_resume && self.resuming.load(Ordering::Relaxed) >= want.resumes;
        is_full
            || self.suspect.load(Ordering::Relaxed) > want.now.0
            || want.avoid.contains(&self.seen.backend)
    }
}

/// How long a backend server is passed over after a loss; its load reports tell of it by then.
const SUSPECT: Millis = Millis(2_000);

/// What a request needs of its backend server.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// The time.
    pub now: Millis,
    /// The data centre of the router.
    pub near: &'a DataCentre,
    /// The service.
    pub service: &'a ServiceName,
    /// The model that must be held.
    pub model: Option<&'a Model>,
    /// The blocks of the prompt.
    pub blocks: &'a [u64],
    /// Backend servers that are passed over while there is another.
    pub avoid: &'a [BackendId],
    /// Whether output that was begun elsewhere goes on there.
    pub is_resume: bool,
    /// The most resumes that wait at one backend server while there is another.
    pub resumes: u64,
    /// Whether a held prompt counts more than load and distance.
    pub prefers_cached: bool,
}

/// A request in its place at a backend server; dropping it frees the place.
#[derive(Debug)]
pub struct Placed {
    /// The backend server.
    pub backend: Arc<Backend>,
    is_resuming: bool,
}

impl Placed {
    /// Counts a request at `backend`.
    pub fn new(backend: Arc<Backend>) -> Self {
        backend.own.fetch_add(1, Ordering::Relaxed);
        Self {
            backend,
            is_resuming: false,
        }
    }

    /// Counts output begun elsewhere as waiting here until it goes on.
    fn resuming(backend: Arc<Backend>) -> Self {
        backend.resuming.fetch_add(1, Ordering::Relaxed);
        let mut placed = Self::new(backend);
        placed.is_resuming = true;
        placed
    }

    /// Notes that output goes on.
    pub fn flow(&mut self) {
        if std::mem::take(&mut self.is_resuming) {
            self.backend.resuming.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.backend.own.fetch_sub(1, Ordering::Relaxed);
        if self.is_resuming {
            self.backend.resuming.fetch_sub(1, Ordering::Relaxed);
        }
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

/// Places one request.
///
/// # Errors
///
/// [`NoBackend`] if no server can be used.
pub fn place(snapshot: &Snapshot, want: &Want<'_>) -> Result<Placed, NoBackend> {
    let live: Vec<&Arc<Backend>> = snapshot
        .backends
        .iter()
        .filter(|b| b.seen.service == *want.service && b.seen.alive && !b.seen.leaving)
        .collect();
    let mut servers: Vec<Server<'_>> = live.iter().map(|b| server(b, want)).collect();
    let avoid: Vec<BackendId> = live
        .iter()
        .filter(|b| b.is_avoided(want))
        .map(|b| b.seen.backend.clone())
        .collect();
    if want.prefers_cached {
        keep_cached(&mut servers, &avoid);
    }
    let ask = Ask {
        avoid: &avoid,
        spread: rand::random(),
    };
    match choose(&servers, &ask) {
        Some(i) if want.is_resume => Ok(Placed::resuming(live[i].clone())),
        Some(i) => Ok(Placed::new(live[i].clone())),
        None if live.is_empty() => Err(NoBackend::None),
        None => Err(NoBackend::NoModel),
    }
}

/// What the choice needs to know of one backend server.
fn server<'a>(backend: &'a Backend, want: &Want<'_>) -> Server<'a> {
    let seen = &backend.seen;
    Server {
        backend: &seen.backend,
        is_usable: want.model.is_none_or(|m| seen.models.contains(m)),
        is_near: seen.data_centre == *want.near,
        own: backend.own(),
        reported: seen.running + seen.queued,
        slots: seen.slots,
        cached: held_blocks(&seen.blocks, want.blocks),
    }
}

/// Leaves only the servers that hold most of the prompt, if one with room holds any of it.
fn keep_cached(servers: &mut [Server<'_>], avoid: &[BackendId]) {
    let has_room = |s: &Server<'_>| {
        let load = s.own.max(s.reported);
        s.is_usable && !avoid.contains(s.backend) && (s.slots == 0 || load < s.slots)
    };
    let best = servers.iter().filter(|s| has_room(s)).map(|s| s.cached);
    let best = best.max().unwrap_or(0);
    if best == 0 {
        return;
    }
    for server in servers {
        server.is_usable = has_room(server) && server.cached == best;
    }
}

/// How many of the sampled `blocks`, from the first on, are in the sorted list `held`.
fn held_blocks(held: &[u64], blocks: &[u64]) -> u64 {
    let is_held = |b: &&u64| held.binary_search(b).is_ok();
    let sampled = blocks.iter().filter(|b| is_sampled(**b));
    sampled.take_while(is_held).count() as u64
}
