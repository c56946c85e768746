//! State of the backend servers at this host: registry rows, load, health and idle connections.

mod leaving;
mod limits;
mod paths;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use balance::Health;
use balance::place::{Candidate, Load, Need, PlaceRequest, place, shortlist};
use base::hash::short_hash;
use base::prelude::*;
use base::sorted::Sorted;
use membership::gossip::Announcement;
use membership::roster::Entry;
use membership::{Contact, Roster};

use crate::link::Link;

use limits::Limit;
pub use limits::NextTurn;

/// Maximum number of idle connections kept per server.
const MAX_IDLE: usize = 8;

/// How long an idle connection is kept if the server states no idle timeout; the shortest timeout observed on
/// servers is 5 s.
const DEFAULT_IDLE: Millis = Millis(3_000);

/// An idle connection is dropped this long before the server would close it.
const IDLE_MARGIN: Millis = Millis(700);

/// How long another host's report that a server is unreachable stays valid.
const SUSPICION_TTL: Millis = Millis(1_000);

/// How long after its row is gone what a server has said of itself is kept.
const UNLISTED_TTL: Millis = Millis(60_000);

/// State of one server beyond its registry row.
#[derive(Debug, Default)]
struct Server {
    load: Load,
    health: Health,
    /// When it last sent data or accepted a connection.
    last_activity: Millis,
    /// When it was last chosen for a probe because a neighbour failed.
    last_probe: Millis,
    /// When this host last found it unreachable or unresponsive; `None` if it never did.
    last_failure: Option<Millis>,
    /// Until when another host's report that it is unreachable is valid.
    suspected_until: Millis,
    /// Whether other hosts reach it and this host's own connections to it fail.
    has_failed_path: bool,
    /// When this host's own connection to it last failed; `None` if none did.
    last_refusal: Option<Millis>,
    /// When it was last tried because a server of another data centre failed; `None` if it never was.
    last_reference: Option<Millis>,
    /// When this host last had another one check whether it has failed; `None` if it never did.
    last_check: Option<Millis>,
    /// Until when it wants no requests from this host.
    paused_until: Millis,
    /// Announces that it has said that it is leaving.
    leaving: Announcement,
    /// What it last said of the requests that it takes.
    limit: Limit,
    /// When a sweep last found it listed; `None` until the first one.
    last_listed: Option<Millis>,
    /// Idle connections, each with the time until which it may be used.
    idle: Vec<(Link, Millis)>,
}

/// All backend servers, registered or with load of this host.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The registered servers.
    pub roster: Roster,
    /// Whether this host's own connections reach the servers of each service.
    contact: Contact,
    servers: Sorted<BackendId, Server>,
    /// The number of hosts that share the limits of servers; 0 until it is known.
    hosts: u64,
    /// Requests of this host that wait for a turn at a limited server, by service.
    waiting: Sorted<ServiceName, u64>,
}

/// Handle to the fleet, shared by all requests of a host.
#[derive(Clone, Debug, Default)]
pub struct Servers(Arc<Mutex<Fleet>>);

/// A server reserved for a request; its load is released when the lease is dropped.
#[derive(Debug)]
pub struct Lease {
    servers: Servers,
    /// Id of the server.
    pub id: BackendId,
    /// Address on which it accepts requests.
    pub addr: SocketAddr,
    /// Data centre of the server.
    pub centre: DataCentre,
    load: Load,
}

/// Requirements on the server for a request or a backup.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementRequest<'a> {
    /// The service that the server must belong to.
    pub service: &'a str,
    /// Load that the request puts on its server.
    pub load: Load,
    /// Size of a server's KV cache in tokens; 0 for a plain service.
    pub capacity: u64,
    /// Servers chosen only if there is no other.
    pub avoid: &'a [BackendId],
    /// Data centre whose servers are chosen only if there is no other.
    pub avoid_centre: Option<&'a str>,
    /// Data centre whose servers are chosen before others, if they have room.
    pub prefer_centre: Option<&'a str>,
    /// Hash of the prompt, which is the same for each retry; `None` for a request without a prompt.
    pub prompt_hash: Option<u64>,
    /// Whether the generation has had output before, so that a server may have its prompt cached.
    pub is_resumed: bool,
}

/// How many servers of a service are listed and why some of them are not chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounts {
    /// Servers in the registry.
    pub listed: usize,
    /// Of these, the ones that accept new requests.
    pub usable: usize,
    /// Of the usable ones, those ejected because this host failed to reach them.
    pub ejected: usize,
    /// Of the usable ones, those that another host reports as unreachable.
    pub suspected: usize,
}

impl PlacementRequest<'_> {
    /// Whether a place for a backup is sought, and none for a request.
    fn is_backup(&self) -> bool {
        self.load.running == 0
    }

    /// KV cache that a generation needs which starts from its prompt.
    pub fn need(&self) -> Need {
        Need {
            memory: self.load.memory,
            prompt: self.load.prefill,
            output: self.load.memory.saturating_sub(self.load.prefill),
            capacity: self.capacity,
        }
    }
}

impl Servers {
    /// Locks the fleet; the guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, Fleet> {
        // No code panics while it holds the lock; even if it did, the counts would remain usable.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses and leases a server; `None` if none is usable.
    pub fn place(&self, now: Millis, request: &PlacementRequest<'_>) -> Option<Lease> {
        let mut fleet = self.lock();
        let id = fleet.choose(now, request)?;
        if !request.is_backup() {
            fleet.take_turns(&id, now, 1);
        }
        fleet.lease(self, id, request.load)
    }

    /// At most `count` servers for a request, the best first as far as this host knows, without a lease.
    pub fn shortlist(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
        count: usize,
    ) -> Vec<BackendId> {
        self.lock().shortlist(now, request, count)
    }

    /// Tokens of the prompts that this host has sent to a server and that have no output yet.
    pub fn prefill(&self, id: &BackendId) -> u64 {
        let fleet = self.lock();
        fleet.servers.get(id).map_or(0, |s| s.load.prefill)
    }

    /// Leases the given server, whose turn has been taken if it is limited; `None` if it may not take new requests.
    pub fn lease(&self, now: Millis, id: &BackendId, load: Load) -> Option<Lease> {
        let mut fleet = self.lock();
        if !fleet.roster.get(id)?.is_usable(now) {
            return None;
        }
        fleet.lease(self, id.clone(), load)
    }

    /// Records that a server sent data or accepted a connection; clears other hosts' reports against it.
    pub fn record_activity(&self, id: &BackendId, now: Millis) {
        if let Some(server) = self.lock().servers.get_mut(id) {
            server.last_activity = now;
            server.suspected_until = Millis(0);
            server.health.record_answer();
        }
    }

    /// When a server last sent data or accepted a connection; 0 if it never did.
    pub fn last_activity(&self, id: &BackendId) -> Millis {
        let fleet = self.lock();
        fleet.servers.get(id).map_or(Millis(0), |s| s.last_activity)
    }

    /// Records that a server is unreachable or unresponsive; drops its idle connections.
    pub fn record_unreachable(&self, id: &BackendId, now: Millis) {
        let mut guard = self.lock();
        let fleet = &mut *guard;
        let is_lost = fleet.is_contact_lost(id);
        if let Some(server) = fleet.servers.get_mut(id) {
            if is_lost {
                // Other hosts may reach it again at any time, so that the ejections must not grow longer.
                server.health = Health::default();
            }
            server.health.record_unreachable(now);
            server.last_failure = Some(now);
            server.idle.clear();
        }
    }

    /// Address of a server; `None` if it is not listed or another server has replaced it.
    pub fn addr(&self, id: &BackendId) -> Option<SocketAddr> {
        let fleet = self.lock();
        let member = fleet.roster.get(id)?;
        (!member.is_replaced).then_some(member.entry.addr)
    }

    /// Data centre of a server; `None` if it is not listed.
    pub fn centre(&self, id: &BackendId) -> Option<DataCentre> {
        let fleet = self.lock();
        Some(fleet.roster.get(id)?.entry.centre.clone())
    }

    /// Unix time at which a server started, in milliseconds; `None` if it is not listed or the time is not known.
    pub fn start_time(&self, id: &BackendId) -> Option<u64> {
        let fleet = self.lock();
        let start_time = fleet.roster.get(id)?.entry.start_time;
        (start_time > 0).then_some(start_time)
    }

    /// Service of a server; `None` if it is not listed.
    pub fn service(&self, id: &BackendId) -> Option<ServiceName> {
        let fleet = self.lock();
        Some(fleet.roster.get(id)?.entry.service.clone())
    }

    /// Counts of the servers of a service.
    pub fn counts(&self, now: Millis, service: &str) -> ServiceCounts {
        self.lock().counts(now, service)
    }

    /// Whether the registry is unavailable at present.
    pub fn is_registry_unavailable(&self) -> bool {
        self.lock().roster.is_unavailable()
    }

    /// Whether a server is listed, not replaced, and was not found unreachable since `since`.
    pub fn is_up_since(&self, id: &BackendId, since: Millis) -> bool {
        let fleet = self.lock();
        let is_listed = fleet.roster.get(id).is_some_and(|m| !m.is_replaced);
        let failure = fleet.servers.get(id).and_then(|s| s.last_failure);
        is_listed && failure.is_none_or(|at| at < since)
    }

    /// At most `limit` usable servers of the same service and data centre as `id` from which nothing was
    /// received within `recent` and that were not probed in that time; records them as probed now.
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

    /// Records another host's report that a server was unreachable at `at`, unless data arrived from it since.
    ///
    /// `server_hash` is the short hash of the server's id.
    pub fn suspect(&self, server_hash: u32, at: Millis, now: Millis) {
        let mut guard = self.lock();
        let fleet = &mut *guard;
        let Some(id) = fleet.id_of(server_hash) else {
            return;
        };
        let server_state = fleet.servers.entry(id, Server::default);
        if server_state.last_activity < at {
            server_state.suspected_until = now + SUSPICION_TTL;
        }
    }

    /// Takes an idle connection to a server; `None` if there is no usable one.
    pub fn take_idle(&self, id: &BackendId, now: Millis) -> Option<Link> {
        let mut fleet = self.lock();
        let server = fleet.servers.get_mut(id)?;
        server
            .idle
            .retain(|(l, until)| now < *until && !l.is_closed());
        server.idle.pop().map(|(link, _)| link)
    }

    /// Keeps a connection for a later request, unless it is a tunnel; `timeout` is the idle timeout that the
    /// server states.
    pub fn keep_idle(&self, id: &BackendId, link: Link, now: Millis, timeout: Option<Millis>) {
        if link.tunnel.is_some() {
            return;
        }
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

    /// The servers that `pick` selects among the usable ones of the service, in its order.
    fn candidates(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
        pick: impl Fn(&[Candidate<'_>], &PlaceRequest<'_>) -> Vec<usize>,
    ) -> Vec<BackendId> {
        let members: Vec<(&BackendId, &Entry)> = self.usable(now, request.service).collect();
        let candidates: Vec<Candidate<'_>> = members
            .iter()
            .map(|(id, entry)| self.candidate(now, id, entry, request))
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

    /// The listed server whose id has this short hash.
    fn id_of(&self, server_hash: u32) -> Option<BackendId> {
        let mut ids = self.roster.iter().map(|(id, _)| id);
        ids.find(|id| short_hash(id.as_str()) == server_hash)
            .cloned()
    }

    /// The servers of a service that accept new requests.
    fn usable(&self, now: Millis, service: &str) -> impl Iterator<Item = (&BackendId, &Entry)> {
        let members = self.roster.iter();
        let usable =
            members.filter(move |(_, m)| m.entry.service.as_str() == service && m.is_usable(now));
        usable.map(|(id, m)| (id, &m.entry))
    }

    fn counts(&self, now: Millis, service: &str) -> ServiceCounts {
        let mut counts = ServiceCounts::default();
        let members = self.roster.iter();
        for (id, member) in members.filter(|(_, m)| m.entry.service.as_str() == service) {
            counts.listed += 1;
            if member.is_usable(now) {
                let request = PlacementRequest::default();
                let candidate = self.candidate(now, id, &member.entry, &request);
                counts.usable += 1;
                counts.ejected += usize::from(candidate.is_ejected);
                counts.suspected += usize::from(candidate.is_suspected);
            }
        }
        counts
    }

    fn candidate<'a>(
        &self,
        now: Millis,
        id: &'a BackendId,
        entry: &'a Entry,
        request: &PlacementRequest<'_>,
    ) -> Candidate<'a> {
        let server = self.servers.get(id);
        Candidate {
            server: id.as_str(),
            data_centre: entry.centre.as_str(),
            is_ejected: server.is_some_and(|s| s.health.is_ejected(now)),
            is_held: server.is_some_and(|s| !self.has_turn(s, now, request.is_backup())),
            is_suspected: server.is_some_and(|s| now < s.suspected_until),
            load: server.map_or(Load::default(), |s| s.load),
            capacity: request.capacity,
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

    /// Removes servers that are no longer listed and have no load, and drops expired idle connections. What a server has
    /// said of itself is kept for a while, as its row may be back soon.
    pub fn sweep(&mut self, now: Millis) {
        self.roster.expire(now);
        let roster = &self.roster;
        self.servers.retain(|id, s| {
            s.idle.retain(|(l, until)| now < *until && !l.is_closed());
            if roster.get(id).is_some() {
                s.last_listed = Some(now);
                return true;
            }
            if s.load != Load::default() {
                return true;
            }
            s.keep_notices();
            let listed = *s.last_listed.get_or_insert(now);
            s.has_notice(now) && now.since(listed) < UNLISTED_TTL
        });
        self.contact
            .retain(|service| roster.iter().any(|(_, m)| m.entry.service == *service));
    }

    /// Records that a server restarted: resets its health and drops the connections to its previous process.
    pub fn record_restart(&mut self, id: &BackendId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.idle.clear();
            server.health = Health::default();
            server.limit = Limit::default();
            server.paused_until = Millis(0);
        }
    }
}

impl Lease {
    /// Records the first output: the prefill is complete, so its load is released.
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
