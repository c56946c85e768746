//! The backend servers as the request path sees them.

mod stats;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use balance::{ChoiceRequest, Health, Server, choose};
use base::prelude::*;
use generation::policy::Mode;
use peer::agent::BackendView;
use profiles::document::Profile;

use crate::context::Router;
use stats::ServerStats;

/// How long a backend server is passed over after a loss; its load reports tell of it by then.
const SUSPECT_PERIOD: Millis = Millis(2_000);

/// The blocks of a prompt that decide on its home when no cache event tells of any.
const PREFIX_BLOCKS: usize = 8;

/// The least time between two counts of the past that are kept.
const HISTORY_INTERVAL: Millis = Millis(100);

/// The most counts of the past that are kept for each server; with the step they reach beyond the age
/// at which a report is no longer used.
const MAX_HISTORY: usize = 32;

/// A backend server and what this router has running there.
#[derive(Clone, Debug)]
pub struct Backend {
    /// What the agent tells of it.
    pub view: BackendView,
    /// When it was told.
    received: Millis,
    /// The requests that this router had running there when the agent's news came, oldest first.
    history: Vec<(Millis, u64)>,
    stats: Arc<ServerStats>,
}

impl Backend {
    /// A backend server with the counts of its predecessor among `held`.
    pub fn adopt(now: Millis, view: BackendView, previous: &[Arc<Backend>]) -> Self {
        let old = previous.iter().find(|b| b.view.backend == view.backend);
        let stats = old.map(|b| b.stats.clone()).unwrap_or_default();
        let is_returned = match old {
            Some(old) => !old.view.alive || old.view.incarnation != view.incarnation,
            None => !previous.is_empty(),
        };
        if is_returned && view.alive {
            stats.update_health(|h| h.record_return(now));
        }
        let mut history = old.map(|b| b.history.clone()).unwrap_or_default();
        // Views come for each change of any server; keeping a count of each would reach back less far
        // than reports are old.
        let is_due = history
            .last()
            .is_none_or(|(at, _)| now.since(*at) >= HISTORY_INTERVAL);
        if is_due && history.len() >= MAX_HISTORY {
            history.remove(0);
        }
        if is_due {
            history.push((now, stats.in_flight()));
        }
        Self {
            view,
            received: now,
            history,
            stats,
        }
    }

    /// The requests that this router has running there.
    pub fn in_flight(&self) -> u64 {
        self.stats.in_flight()
    }

    /// What the outcomes of its requests tell of it.
    pub fn health(&self) -> Health {
        self.stats.health()
    }

    /// Passes it over for a while, since a stream of it is lost or cannot be opened.
    pub fn suspect(&self, now: Millis) {
        self.stats.suspect(now + SUSPECT_PERIOD);
    }

    /// Ends the time for which it is passed over.
    pub fn clear_suspicion(&self) {
        self.stats.suspect(Millis(0));
    }

    /// The age of the load report.
    fn age(&self, now: Millis) -> Millis {
        Millis(self.view.age_ms) + now.since(self.received)
    }

    /// The places that are free there, as far as this router knows.
    pub fn free_slots(&self, now: Millis) -> u64 {
        let reported = self.view.running + self.view.queued;
        let known = reported.saturating_add_signed(self.since_report(now));
        self.view.slots.saturating_sub(known.max(self.in_flight()))
    }

    /// The requests of this router placed after the load report, less those ended since.
    fn since_report(&self, now: Millis) -> i64 {
        let report_time = now - self.age(now);
        let at_report = self.history.iter().rev().find(|(at, _)| *at <= report_time);
        let oldest = self.history.first();
        let at_report = at_report.or(oldest).map_or(0, |(_, own)| *own);
        self.in_flight() as i64 - at_report as i64
    }

    /// What the choice needs to know.
    fn server(
        &self,
        now: Millis,
        own_centre: &DataCentre,
        request: &PlacementRequest<'_>,
    ) -> Server<'_> {
        let health = self.health();
        Server {
            backend: self.view.backend.as_str(),
            is_usable: request.model.is_none_or(|m| self.view.models.contains(m)),
            rank: preference_rank(&self.view.data_centre, own_centre, &request.profile.spill),
            in_flight: self.in_flight(),
            since_report: self.since_report(now),
            reported_load: self.view.running + self.view.queued,
            report_age: self.age(now),
            slots: self.view.slots,
            cached_blocks: cached_prefix(&self.view.blocks, request.blocks),
            is_ejected: health.is_ejected(now),
            ramp_permille: health.ramp_permille(now),
            latency_ms: health.latency(now),
            resumes: self.stats.resumes(),
        }
    }
}

/// A request in its place at a backend server; dropping it frees the place.
#[derive(Debug)]
pub struct Placement {
    /// The backend server.
    pub backend: Arc<Backend>,
    /// When it was placed.
    at: Millis,
    /// Whether it is a resumed one that has not gone on yet.
    is_resume: bool,
    /// Whether its first token has come.
    has_token: bool,
}

impl Placement {
    /// Counts a request at `backend`.
    pub fn new(backend: Arc<Backend>, now: Millis, is_resume: bool) -> Self {
        backend.stats.begin(is_resume);
        Self {
            backend,
            at: now,
            is_resume,
            has_token: false,
        }
    }

    /// A token came.
    pub fn first_token(&mut self, now: Millis) {
        if self.has_token {
            return;
        }
        self.has_token = true;
        self.end_resume();
        let latency = now.since(self.at);
        self.backend
            .stats
            .update_health(|h| h.record_first_token(now, latency));
    }

    /// The request failed there; only failures before the first token tell of the server.
    pub fn failed(&mut self, now: Millis) {
        if !self.has_token {
            self.backend.stats.update_health(|h| h.record_failure(now));
        }
    }

    fn end_resume(&mut self) {
        if self.is_resume {
            self.is_resume = false;
            self.backend.stats.end_resume();
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.end_resume();
        self.backend.stats.end();
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

/// What a request needs of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The profile.
    pub profile: &'a Profile,
    /// The model, if the service has any.
    pub model: Option<&'a Model>,
    /// The hashes of the prompt's blocks.
    pub blocks: &'a [u64],
    /// Servers that are taken only if there is no other.
    pub avoid: &'a [BackendId],
    /// Whether output so far is to be continued.
    pub is_resume: bool,
}

/// Places one request.
///
/// # Errors
///
/// [`NoBackend`] if no server can be used.
pub fn place(router: &Router, request: &PlacementRequest<'_>) -> Result<Placement, NoBackend> {
    let snapshot = router.snapshot();
    let now = router.timer.now();
    let own_centre = &router.settings.data_centre;
    let live: Vec<&Arc<Backend>> = snapshot
        .backends
        .iter()
        .filter(|b| b.view.service == *request.service && b.view.alive && !b.view.leaving)
        .collect();
    let mut servers: Vec<Server<'_>> = live
        .iter()
        .map(|b| b.server(now, own_centre, request))
        .collect();
    let suspects = live.iter().filter(|b| b.stats.is_suspect(now));
    let mut avoid: Vec<BackendId> = suspects.map(|b| b.view.backend.clone()).collect();
    avoid.extend_from_slice(request.avoid);
    if request.is_resume && request.profile.resume.mode == Mode::Cost {
        retain_cached(&mut servers, &avoid);
    }
    let routers = snapshot.hosts.iter().filter(|h| h.alive).count() as u64;
    let prefix = PREFIX_BLOCKS.min(request.blocks.len()).checked_sub(1);
    let choice = ChoiceRequest {
        avoid: &avoid,
        seed: rand::random(),
        routers,
        prefix: prefix.map(|i| request.blocks[i]),
        blocks: request.blocks.len() as u64,
        max_resumes: request.is_resume.then_some(request.profile.resume.resumes),
        rule: request.profile.choice,
        sequence: router.choice_count.fetch_add(1, Ordering::Relaxed),
    };
    match choose(&servers, &choice) {
        Some(i) => Ok(Placement::new(live[i].clone(), now, request.is_resume)),
        None if live.is_empty() => Err(NoBackend::None),
        None => Err(NoBackend::NoModel),
    }
}

/// Leaves only the servers that hold most of the prompt, if one with room holds any of it.
fn retain_cached(servers: &mut [Server<'_>], avoid: &[BackendId]) {
    let has_room = |s: &Server<'_>| {
        let load = s.in_flight.max(s.reported_load);
        let is_avoided = avoid.iter().any(|b| b.as_str() == s.backend);
        s.is_usable && !is_avoided && (s.slots == 0 || load < s.slots)
    };
    let best = servers
        .iter()
        .filter(|s| has_room(s))
        .map(|s| s.cached_blocks);
    let best = best.max().unwrap_or(0);
    if best == 0 {
        return;
    }
    for server in servers {
        server.is_usable = has_room(server) && server.cached_blocks == best;
    }
}

/// The place of a data centre in the order of preference; 0 is the router's own.
fn preference_rank(
    data_centre: &DataCentre,
    own_centre: &DataCentre,
    spill: &[DataCentre],
) -> usize {
    if data_centre == own_centre {
        return 0;
    }
    let named = spill.iter().position(|d| d == data_centre);
    named.unwrap_or(spill.len()) + 1
}

/// How many of `blocks` are in the sorted list `held`, up to the last one found.
///
/// Each hash covers the blocks before it, so that a block whose event was lost is still counted.
fn cached_prefix(held: &[u64], blocks: &[u64]) -> u64 {
    let last = blocks.iter().rposition(|b| held.binary_search(b).is_ok());
    last.map_or(0, |i| i as u64 + 1)
}
