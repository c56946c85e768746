//! The backend servers as this host knows them: rows, load, health and idle connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use balance::Health;
use balance::place::{Candidate, Load, Need, PlaceRequest, place, shortlist};
use base::hash::short;
use base::prelude::*;
use base::sorted::Sorted;
use membership::Roster;
use membership::roster::Entry;

use crate::link::Link;

/// The idle connections that are kept for one server.
const MAX_IDLE: usize = 8;

/// How long an idle connection is kept where the server does not say; the shortest seen is 5 s.
const DEFAULT_IDLE: Millis = Millis(3_000);

/// An idle connection is given up so long before the server closes it.
const IDLE_MARGIN: Millis = Millis(700);

/// How long another host's word that a server is gone counts.
const SUSPICION_TTL: Millis = Millis(1_000);

/// What this host knows of one server besides its row.
#[derive(Debug, Default)]
struct Server {
    load: Load,
    health: Health,
    /// When bytes last came from it.
    last_activity: Millis,
    /// When it was last asked whether it is there.
    last_probe: Millis,
    /// When it was last found to be gone.
    last_failure: Option<Millis>,
    /// Until when another host's word that it is gone counts.
    suspected_until: Millis,
    /// Connections without a request, and until when they may be used.
    idle: Vec<(Link, Millis)>,
}

/// All backend servers.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The rows of the registry.
    pub roster: Roster,
    servers: Sorted<BackendId, Server>,
}

/// The backend servers, shared by the requests of a host.
#[derive(Clone, Debug, Default)]
pub struct Servers(Arc<Mutex<Fleet>>);

/// A server chosen for a request; its load is taken back when this is dropped.
#[derive(Debug)]
pub struct Lease {
    servers: Servers,
    /// The server.
    pub id: BackendId,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    load: Load,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// What the request adds to the load of its server.
    pub load: Load,
    /// Tokens that a server's memory holds; 0 for a plain service.
    pub capacity: u64,
    /// Servers that are taken only if there is no other.
    pub avoid: &'a [BackendId],
    /// A data centre that is taken only if there is no other.
    pub avoid_centre: Option<&'a str>,
    /// A data centre whose servers are taken before others, if they have room.
    pub prefer_centre: Option<&'a str>,
    /// A hash of the prompt that is the same for each repeat of the request.
    pub prompt_hash: Option<u64>,
}

impl PlacementRequest<'_> {
    /// The memory that a generation needs, whose prompt is to be read.
    pub fn need(&self) -> Need {
        Need {
            memory: self.load.memory,
            output: self.load.memory.saturating_sub(self.load.prefill),
            capacity: self.capacity,
        }
    }
}

impl Servers {
    /// The fleet, to be read or changed without waiting.
    pub fn lock(&self) -> MutexGuard<'_, Fleet> {
        // No code panics while it holds the lock, and the counts are usable after one that did.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses a server.
    pub fn place(&self, now: Millis, request: &PlacementRequest<'_>) -> Option<Lease> {
        let mut fleet = self.lock();
        let id = fleet.choose(now, request)?;
        fleet.lease(self, id, request.load)
    }

    /// At most `count` servers for a request, the best first by what this host knows; none is taken.
    pub fn shortlist(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
        count: usize,
    ) -> Vec<BackendId> {
        self.lock().shortlist(now, request, count)
    }

    /// Tokens of prompts that this host has sent to a server and that have given no output yet.
    pub fn prefill(&self, id: &BackendId) -> u64 {
        let fleet = self.lock();
        fleet.servers.get(id).map_or(0, |s| s.load.prefill)
    }

    /// Takes the server of that id, if it may be used.
    pub fn lease(&self, now: Millis, id: &BackendId, load: Load) -> Option<Lease> {
        let mut fleet = self.lock();
        if !fleet.roster.get(id)?.is_usable(now) {
            return None;
        }
        fleet.lease(self, id.clone(), load)
    }

    /// Bytes came from a server.
    pub fn record_activity(&self, id: &BackendId, now: Millis) {
        if let Some(server) = self.lock().servers.get_mut(id) {
            server.last_activity = now;
            server.suspected_until = Millis(0);
            server.health.record_answer();
        }
    }

    /// When bytes last came from a server.
    pub fn last_activity(&self, id: &BackendId) -> Millis {
        let fleet = self.lock();
        fleet.servers.get(id).map_or(Millis(0), |s| s.last_activity)
    }

    /// A server is not reachable or fell silent.
    pub fn record_unreachable(&self, id: &BackendId, now: Millis) {
        if let Some(server) = self.lock().servers.get_mut(id) {
            server.health.record_unreachable(now);
            server.last_failure = Some(now);
            server.idle.clear();
        }
    }

    /// The address of a server that is listed and that no other has replaced.
    pub fn addr(&self, id: &BackendId) -> Option<SocketAddr> {
        let fleet = self.lock();
        let member = fleet.roster.get(id)?;
        (!member.is_replaced).then_some(member.entry.addr)
    }

    /// The service of a server.
    pub fn service(&self, id: &BackendId) -> Option<ServiceName> {
        let fleet = self.lock();
        Some(fleet.roster.get(id)?.entry.service.clone())
    }

    /// Whether the registry does not answer now.
    pub fn is_registry_unavailable(&self) -> bool {
        self.lock().roster.is_unavailable()
    }

    /// Whether a server has been there without a break since `since`, as far as is known.
    pub fn is_up_since(&self, id: &BackendId, since: Millis) -> bool {
        let fleet = self.lock();
        let is_listed = fleet.roster.get(id).is_some_and(|m| !m.is_replaced);
        let failure = fleet.servers.get(id).and_then(|s| s.last_failure);
        is_listed && failure.is_none_or(|at| at < since)
    }

    /// At most `limit` servers of the same service and data centre as `id` that are believed to be
    /// there but were neither heard nor asked within `recent`; they count as asked now.
    pub fn neighbours_to_probe(
        &self,
        id: &BackendId,
        now: Millis,
        recent: Millis,
        limit: usize,
    ) -> Vec<(BackendId, SocketAddr)> {
        let mut guard = self.lock();
        let fleet = &mut *guard;
        let Some(failed) = fleet.roster.get(id).map(|m| m.entry.clone()) else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for (id, member) in fleet.roster.iter() {
            let entry = &member.entry;
            let is_neighbour = entry.service == failed.service && entry.centre == failed.centre;
            if !is_neighbour || !member.is_usable(now) || found.len() == limit {
                continue;
            }
            let server = fleet.servers.entry(id.clone(), Server::default);
            let is_recent =
                now.since(server.last_activity.max(server.last_probe)) < recent && now > recent;
            if !is_recent && !server.health.is_ejected(now) {
                server.last_probe = now;
                found.push((id.clone(), entry.addr));
            }
        }
        found
    }

    /// Another host found a server to be gone at `at`; counts unless it was heard since.
    pub fn suspect(&self, server_hash: u32, at: Millis, now: Millis) {
        let mut guard = self.lock();
        let fleet = &mut *guard;
        let found = fleet
            .roster
            .iter()
            .find(|(id, _)| short(id.as_str()) == server_hash);
        let Some((id, _)) = found else { return };
        let server_state = fleet.servers.entry(id.clone(), Server::default);
        if server_state.last_activity < at {
            server_state.suspected_until = now + SUSPICION_TTL;
        }
    }

    /// An idle connection to a server, if there is a usable one.
    pub fn take_idle(&self, id: &BackendId, now: Millis) -> Option<Link> {
        let mut fleet = self.lock();
        let server = fleet.servers.get_mut(id)?;
        server
            .idle
            .retain(|(l, until)| now < *until && !l.is_closed());
        server.idle.pop().map(|(link, _)| link)
    }

    /// Keeps a connection for a later request; `limit` is how long the server leaves it open.
    pub fn keep_idle(&self, id: &BackendId, link: Link, now: Millis, timeout: Option<Millis>) {
        let until = now + timeout.map_or(DEFAULT_IDLE, |t| t - IDLE_MARGIN);
        let mut fleet = self.lock();
        if let Some(server) = fleet.servers.get_mut(id)
            && server.idle.len() < MAX_IDLE
        {
            server.idle.push((link, until));
        }
    }

    fn release(&self, id: &BackendId, load: Load) {
        if let Some(server) = self.lock().servers.get_mut(id) {
            server.load = minus(server.load, load);
        }
    }
}

impl Fleet {
    fn choose(&self, now: Millis, request: &PlacementRequest<'_>) -> Option<BackendId> {
        self.candidates(now, request, |candidates, criteria| {
            place(candidates, criteria).into_iter().collect()
        })
        .pop()
    }

    fn shortlist(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
        count: usize,
    ) -> Vec<BackendId> {
        self.candidates(now, request, |candidates, criteria| {
            shortlist(candidates, criteria, count)
        })
    }

    /// The servers that `pick` chooses among those that may be used.
    fn candidates(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
        pick: impl Fn(&[Candidate<'_>], &PlaceRequest<'_>) -> Vec<usize>,
    ) -> Vec<BackendId> {
        let members: Vec<(&BackendId, &Entry)> = self
            .roster
            .iter()
            .filter(|(_, m)| m.entry.service.as_str() == request.service && m.is_usable(now))
            .map(|(id, m)| (id, &m.entry))
            .collect();
        let candidates: Vec<Candidate<'_>> = members
            .iter()
            .map(|(id, entry)| self.candidate(now, id, entry, request.capacity))
            .collect();
        let avoid: Vec<&str> = request.avoid.iter().map(BackendId::as_str).collect();
        let criteria = PlaceRequest {
            memory: request.load.memory + request.load.backups,
            avoid: &avoid,
            avoid_centre: request.avoid_centre,
            prefer_centre: request.prefer_centre,
            seed: rand::random(),
            prompt_hash: request.prompt_hash,
        };
        let chosen = pick(&candidates, &criteria);
        chosen.into_iter().map(|i| members[i].0.clone()).collect()
    }

    fn candidate<'a>(
        &self,
        now: Millis,
        id: &'a BackendId,
        entry: &'a Entry,
        capacity: u64,
    ) -> Candidate<'a> {
        let server = self.servers.get(id);
        Candidate {
            server: id.as_str(),
            data_centre: entry.centre.as_str(),
            is_ejected: server.is_some_and(|s| s.health.is_ejected(now)),
            is_suspected: server.is_some_and(|s| now < s.suspected_until),
            load: server.map_or(Load::default(), |s| s.load),
            capacity,
        }
    }

    fn lease(&mut self, servers: &Servers, id: BackendId, load: Load) -> Option<Lease> {
        let entry = &self.roster.get(&id)?.entry;
        let lease = Lease {
            servers: servers.clone(),
            addr: entry.addr,
            centre: entry.centre.clone(),
            id: id.clone(),
            load,
        };
        let server = self.servers.entry(id, Server::default);
        server.load = plus(server.load, load);
        Some(lease)
    }

    /// Forgets servers whose rows are gone and that run nothing.
    pub fn sweep(&mut self, now: Millis) {
        self.roster.expire(now);
        let roster = &self.roster;
        self.servers.retain(|id, s| {
            s.idle.retain(|(l, until)| now < *until && !l.is_closed());
            roster.get(id).is_some() || s.load != Load::default()
        });
    }

    /// A server started anew: what is known of the one before no longer holds.
    pub fn record_restart(&mut self, id: &BackendId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.idle.clear();
            server.health = Health::default();
        }
    }
}

impl Lease {
    /// The first output came: the prompt has been read.
    pub fn record_first_output(&mut self) {
        let prefill = Load {
            prefill: std::mem::take(&mut self.load.prefill),
            ..Load::default()
        };
        self.servers.release(&self.id, prefill);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.servers.release(&self.id, self.load);
    }
}

fn plus(a: Load, b: Load) -> Load {
    Load {
        prefill: a.prefill + b.prefill,
        memory: a.memory + b.memory,
        backups: a.backups + b.backups,
        running: a.running + b.running,
    }
}

fn minus(a: Load, b: Load) -> Load {
    Load {
        prefill: a.prefill.saturating_sub(b.prefill),
        memory: a.memory.saturating_sub(b.memory),
        backups: a.backups.saturating_sub(b.backups),
        running: a.running.saturating_sub(b.running),
    }
}
