//! Backend servers as seen by the request path, and the placement of requests on them.

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

/// How long a backend server is avoided after a failure; by then its load reports reflect the
/// failure.
const SUSPECT_PERIOD: Millis = Millis(2_000);

/// Number of leading prompt blocks whose hash selects a server when no server is known to cache any
/// block of the prompt.
const PREFIX_BLOCKS: usize = 8;

/// Minimum interval between in-flight counts kept in the history.
const HISTORY_INTERVAL: Millis = Millis(100);

/// Maximum number of in-flight counts kept per server; at [`HISTORY_INTERVAL`] they reach back
/// further than the age at which a load report is no longer used.
const MAX_HISTORY: usize = 32;

/// A backend server, with the statistics of the requests that this router placed there.
#[derive(Clone, Debug)]
pub struct Backend {
    /// State of the server as reported by the agent.
    pub view: BackendView,
    /// When the view was received from the agent.
    received: Millis,
    /// In-flight counts of this router at the times when views were received, oldest first.
    history: Vec<(Millis, u64)>,
    stats: Arc<ServerStats>,
}

impl Backend {
    /// Creates a backend server that keeps the statistics of its predecessor in `previous`.
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
        // A view arrives for each change of any server; with a count for each, the history would
        // not reach back as far as the load reports.
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

    /// Number of requests of this router that are in flight there.
    pub fn in_flight(&self) -> u64 {
        self.stats.in_flight()
    }

    /// Health derived from the outcomes of the requests of this router.
    pub fn health(&self) -> Health {
        self.stats.health()
    }

    /// Avoids it for `SUSPECT_PERIOD`, since a stream of it failed or cannot be opened.
    pub fn suspect(&self, now: Millis) {
        self.stats.suspect(now + SUSPECT_PERIOD);
    }

    /// Stops avoiding it, since it has accepted a stream.
    pub fn clear_suspicion(&self) {
        self.stats.suspect(Millis(0));
    }

    /// Age of the load report: its age when the agent sent the view, plus the time since then.
    fn age(&self, now: Millis) -> Millis {
        Millis(self.view.age_ms) + now.since(self.received)
    }

    /// Number of free slots, from the load report and the requests of this router.
    pub fn free_slots(&self, now: Millis) -> u64 {
        let reported = self.view.running + self.view.queued;
        let known = reported.saturating_add_signed(self.since_report(now));
        self.view.slots.saturating_sub(known.max(self.in_flight()))
    }

    /// Change of the in-flight count of this router since the load report.
    fn since_report(&self, now: Millis) -> i64 {
        let report_time = now - self.age(now);
        let at_report = self.history.iter().rev().find(|(at, _)| *at <= report_time);
        let oldest = self.history.first();
        let at_report = at_report.or(oldest).map_or(0, |(_, own)| *own);
        self.in_flight() as i64 - at_report as i64
    }

    /// Input of the load balancer for this server.
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

/// A request placed on a backend server, counted as in flight there until dropped.
#[derive(Debug)]
pub struct Placement {
    /// The backend server that was chosen.
    pub backend: Arc<Backend>,
    /// When it was placed.
    at: Millis,
    /// Whether it is a resumed request without a token from this server yet.
    is_resume: bool,
    /// Whether its first token has been received.
    has_token: bool,
}

impl Placement {
    /// Counts a request as in flight at `backend`.
    pub fn new(backend: Arc<Backend>, now: Millis, is_resume: bool) -> Self {
        backend.stats.begin(is_resume);
        Self {
            backend,
            at: now,
            is_resume,
            has_token: false,
        }
    }

    /// Records the first token and its latency; later calls have no effect.
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

    /// Records a failure; ignored after the first token, since only failures before it count
    /// against the health of the server.
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
    /// No server of the service is alive and accepts work.
    None,
    /// Some servers accept work, but none holds the model.
    NoModel,
}

/// Requirements of a request on its backend server.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service whose servers are eligible.
    pub service: &'a ServiceName,
    /// Profile with the balancing rule, the data centres for spill-over and the limit of resumes.
    pub profile: &'a Profile,
    /// Model that the server must hold; `None` for services without models.
    pub model: Option<&'a Model>,
    /// Hashes of the blocks of the prompt; each covers the blocks before it.
    pub blocks: &'a [u64],
    /// Servers that are chosen only if there is no other.
    pub avoid: &'a [BackendId],
    /// Whether it continues output that was generated before.
    pub is_resume: bool,
}

/// Chooses a backend server and places a request on it.
///
/// # Errors
///
/// [`NoBackend`] if no server can be chosen.
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

/// Restricts the choice to the servers that cache the longest prefix of the prompt, if one with a
/// free slot caches any of it.
fn retain_cached(servers: &mut [Server<'_>], avoid: &[BackendId]) {
    let has_free_slot = |s: &Server<'_>| {
        let load = s.in_flight.max(s.reported_load);
        let is_avoided = avoid.iter().any(|b| b.as_str() == s.backend);
        s.is_usable && !is_avoided && (s.slots == 0 || load < s.slots)
    };
    let best = servers
        .iter()
        .filter(|s| has_free_slot(s))
        .map(|s| s.cached_blocks);
    let best = best.max().unwrap_or(0);
    if best == 0 {
        return;
    }
    for server in servers {
        server.is_usable = has_free_slot(server) && server.cached_blocks == best;
    }
}

/// Rank of a data centre in the order of preference; 0 is the router's own.
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

/// Number of leading `blocks` that are cached, given the sorted hashes `held`.
///
/// Each hash covers the blocks before it. All blocks up to the last one found are counted, so that
/// a block whose cache event was lost counts as well.
fn cached_prefix(held: &[u64], blocks: &[u64]) -> u64 {
    let last = blocks.iter().rposition(|b| held.binary_search(b).is_ok());
    last.map_or(0, |i| i as u64 + 1)
}
