//! The backend servers as the request path sees them.

mod outcome;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use balance::{ChoiceRequest, Health, Server, choose};
use base::prelude::*;
use generation::policy::Mode;
use peer::agent::BackendView;
use profiles::document::Profile;

use crate::context::Router;
use outcome::Outcome;

/// How long a backend server is passed over after a loss; its load reports tell of it by then.
const SUSPECT: Millis = Millis(2_000);

/// The blocks of a prompt that decide on its home when no cache event tells of any.
const PREFIX_BLOCKS: usize = 8;

/// The least time between two counts of the past that are kept.
const PAST_STEP: Millis = Millis(100);

/// The most counts of the past that are kept for each server; with the step they reach beyond the age
/// at which a report is no longer used.
const MAX_PAST: usize = 32;

/// A backend server and what this router has running there.
#[derive(Clone, Debug)]
pub struct Backend {
    /// What the agent tells of it.
    pub seen: BackendView,
    /// When it was told.
    heard: Millis,
    /// The requests that this router had running there when the agent's news came, oldest first.
    past: Vec<(Millis, u64)>,
    outcome: Arc<Outcome>,
}

impl Backend {
    /// A backend server with the counts of its predecessor among `held`.
    pub fn adopt(now: Millis, seen: BackendView, held: &[Arc<Backend>]) -> Self {
        let old = held.iter().find(|b| b.seen.backend == seen.backend);
        let outcome = old.map(|b| b.outcome.clone()).unwrap_or_default();
        let is_back = match old {
            Some(old) => !old.seen.alive || old.seen.incarnation != seen.incarnation,
            None => !held.is_empty(),
        };
        if is_back && seen.alive {
            outcome.change(|h| h.record_return(now));
        }
        let mut past = old.map(|b| b.past.clone()).unwrap_or_default();
        // Views come for each change of any server; keeping a count of each would reach back less far
        // than reports are old.
        let is_due = past
            .last()
            .is_none_or(|(at, _)| now.since(*at) >= PAST_STEP);
        if is_due && past.len() >= MAX_PAST {
            past.remove(0);
        }
        if is_due {
            past.push((now, outcome.own()));
        }
        Self {
            seen,
            heard: now,
            past,
            outcome,
        }
    }

    /// The requests that this router has running there.
    pub fn own(&self) -> u64 {
        self.outcome.own()
    }

    /// What the outcomes of its requests tell of it.
    pub fn health(&self) -> Health {
        self.outcome.health()
    }

    /// Passes it over for a while, since a stream of it is lost or cannot be opened.
    pub fn suspect(&self, now: Millis) {
        self.outcome.suspect(now + SUSPECT);
    }

    /// Ends the time for which it is passed over.
    pub fn trust(&self) {
        self.outcome.suspect(Millis(0));
    }

    /// The age of the load report.
    fn age(&self, now: Millis) -> Millis {
        Millis(self.seen.age_ms) + now.since(self.heard)
    }

    /// The places that are free there, as far as this router knows.
    pub fn free(&self, now: Millis) -> u64 {
        let reported = self.seen.running + self.seen.queued;
        let known = reported.saturating_add_signed(self.since(now));
        self.seen.slots.saturating_sub(known.max(self.own()))
    }

    /// The requests of this router placed after the load report, less those ended since.
    fn since(&self, now: Millis) -> i64 {
        let taken = now - self.age(now);
        let counted = self.past.iter().rev().find(|(at, _)| *at <= taken);
        let oldest = self.past.first();
        let counted = counted.or(oldest).map_or(0, |(_, own)| *own);
        self.own() as i64 - counted as i64
    }

    /// What the choice needs to know.
    fn server(&self, now: Millis, near: &DataCentre, want: &Want<'_>) -> Server<'_> {
        let health = self.health();
        Server {
            backend: self.seen.backend.as_str(),
            is_usable: want.model.is_none_or(|m| self.seen.models.contains(m)),
            rank: rank(&self.seen.data_centre, near, &want.profile.spill),
            in_flight: self.own(),
            since_report: self.since(now),
            reported_load: self.seen.running + self.seen.queued,
            report_age: self.age(now),
            slots: self.seen.slots,
            cached_blocks: held_blocks(&self.seen.blocks, want.blocks),
            is_ejected: health.is_ejected(now),
            ramp_permille: health.ramp_permille(now),
            latency_ms: health.latency(now),
            resumes: self.outcome.resumes(),
        }
    }
}

/// A request in its place at a backend server; dropping it frees the place.
#[derive(Debug)]
pub struct Placed {
    /// The backend server.
    pub backend: Arc<Backend>,
    /// When it was placed.
    at: Millis,
    /// Whether it is a resumed one that has not gone on yet.
    is_resume: bool,
    /// Whether its first token has come.
    has_token: bool,
}

impl Placed {
    /// Counts a request at `backend`.
    pub fn new(backend: Arc<Backend>, now: Millis, is_resume: bool) -> Self {
        backend.outcome.enter(is_resume);
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
        let took = now.since(self.at);
        self.backend
            .outcome
            .change(|h| h.record_first_token(now, took));
    }

    /// The request failed there; only failures before the first token tell of the server.
    pub fn failed(&mut self, now: Millis) {
        if !self.has_token {
            self.backend.outcome.change(|h| h.record_failure(now));
        }
    }

    fn end_resume(&mut self) {
        if self.is_resume {
            self.is_resume = false;
            self.backend.outcome.end_resume();
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.end_resume();
        self.backend.outcome.leave();
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
pub struct Want<'a> {
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
pub fn place(router: &Router, want: &Want<'_>) -> Result<Placed, NoBackend> {
    let snapshot = router.snapshot();
    let now = router.timer.now();
    let near = &router.settings.data_centre;
    let live: Vec<&Arc<Backend>> = snapshot
        .backends
        .iter()
        .filter(|b| b.seen.service == *want.service && b.seen.alive && !b.seen.leaving)
        .collect();
    let mut servers: Vec<Server<'_>> = live.iter().map(|b| b.server(now, near, want)).collect();
    let suspects = live.iter().filter(|b| b.outcome.is_suspect(now));
    let mut avoid: Vec<BackendId> = suspects.map(|b| b.seen.backend.clone()).collect();
    avoid.extend_from_slice(want.avoid);
    if want.is_resume && want.profile.resume.mode == Mode::Cost {
        keep_cached(&mut servers, &avoid);
    }
    let routers = snapshot.hosts.iter().filter(|h| h.alive).count() as u64;
    let prefix = PREFIX_BLOCKS.min(want.blocks.len()).checked_sub(1);
    let ask = ChoiceRequest {
        avoid: &avoid,
        seed: rand::random(),
        routers,
        prefix: prefix.map(|i| want.blocks[i]),
        blocks: want.blocks.len() as u64,
        max_resumes: want.is_resume.then_some(want.profile.resume.resumes),
        rule: want.profile.choice,
        sequence: router.turn.fetch_add(1, Ordering::Relaxed),
    };
    match choose(&servers, &ask) {
        Some(i) => Ok(Placed::new(live[i].clone(), now, want.is_resume)),
        None if live.is_empty() => Err(NoBackend::None),
        None => Err(NoBackend::NoModel),
    }
}

/// Leaves only the servers that hold most of the prompt, if one with room holds any of it.
fn keep_cached(servers: &mut [Server<'_>], avoid: &[BackendId]) {
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
fn rank(place: &DataCentre, near: &DataCentre, spill: &[DataCentre]) -> usize {
    if place == near {
        return 0;
    }
    let named = spill.iter().position(|d| d == place);
    named.unwrap_or(spill.len()) + 1
}

/// How many of `blocks` are in the sorted list `held`, up to the last one found.
///
/// Each hash covers the blocks before it, so that a block whose event was lost is still counted.
fn held_blocks(held: &[u64], blocks: &[u64]) -> u64 {
    let last = blocks.iter().rposition(|b| held.binary_search(b).is_ok());
    last.map_or(0, |i| i as u64 + 1)
}
