//! This host's paths to the backend servers: which accept its own connections, and which it reaches through
//! other hosts only.

use std::net::SocketAddr;

use balance::Health;
use base::prelude::*;
use base::sorted::distinct;
use membership::contact::{Failure, ServiceSize};
use membership::roster::Entry;

use super::{Fleet, Server, Servers};

/// The minimum time between two checks of one server through another host.
const CHECK_INTERVAL: Millis = Millis(1_000);

/// A server to which a connection failed within this time does not show anew whether the path is at fault.
const RECENT_REFUSAL: Millis = Millis(1_000);

/// Servers of each service without contact to which a connection is tried at once.
const PROBES: usize = 2;

impl Servers {
    /// Whether a server is reached through another host, since this host's own connections to it fail.
    pub fn is_indirect(&self, id: &BackendId) -> bool {
        self.lock().is_indirect(id)
    }

    /// Whether this host has lost contact with the service of a server.
    pub fn is_contact_lost(&self, id: &BackendId) -> bool {
        self.lock().is_contact_lost(id)
    }

    /// Whether contact with the service of a server was lost after `since` and connections hang, so that those
    /// opened before carry no more data.
    pub fn hangs_since(&self, id: &BackendId, since: Millis) -> bool {
        let fleet = self.lock();
        let member = fleet.roster.get(id);
        member.is_some_and(|m| fleet.contact.hangs_since(&m.entry.service, since))
    }

    /// Whether any server is reached through other hosts.
    pub fn has_lost_paths(&self) -> bool {
        let fleet = self.lock();
        let has_failed_path = fleet.servers.iter().any(|(_, s)| s.has_failed_path);
        has_failed_path || fleet.contact.lost_services().next().is_some()
    }

    /// Records that a server accepted a connection of this host; returns whether that regains contact with its
    /// service, whose servers then count as healthy again.
    pub fn record_accepted(&self, id: &BackendId, now: Millis) -> bool {
        let mut guard = self.lock();
        let fleet = &mut *guard;
        if let Some(server) = fleet.servers.get_mut(id) {
            server.has_failed_path = false;
        }
        let member = fleet.roster.get(id);
        let Some(service) = member
            .map(|m| &m.entry.service)
            .filter(|s| fleet.contact.has_failures(s))
            .cloned()
        else {
            return false;
        };
        let servers = fleet.centres(&service).count();
        let is_regained = fleet.contact.record_accepted(&service, id, servers);
        if is_regained {
            fleet.reset_health(now, &service);
        }
        is_regained
    }

    /// Records that a connection of this host to a server failed; returns whether that loses contact with its
    /// service.
    ///
    /// The path is at fault then, so the servers of the service count as healthy again.
    pub fn record_refused(
        &self,
        id: &BackendId,
        now: Millis,
        own_centre: &DataCentre,
        is_timeout: bool,
    ) -> bool {
        let mut guard = self.lock();
        let fleet = &mut *guard;
        let Some(entry) = fleet.roster.get(id).map(|m| m.entry.clone()) else {
            return false;
        };
        let server = fleet.servers.entry(id.clone(), Server::default);
        server.last_refusal = Some(now);
        let failure = Failure {
            server: id,
            centre: &entry.centre,
            is_own: entry.centre == *own_centre,
            is_timeout,
        };
        let size = fleet.service_size(&entry.service, own_centre);
        let is_lost = fleet
            .contact
            .record_failed(now, &entry.service, failure, size);
        if is_lost {
            fleet.reset_health(now, &entry.service);
        }
        is_lost
    }

    /// Takes contact with a service as lost if all of its usable servers are ejected; returns whether it does.
    pub fn lose_contact(&self, now: Millis, service: &ServiceName) -> bool {
        let mut guard = self.lock();
        let fleet = &mut *guard;
        let counts = fleet.counts(now, service.as_str());
        if counts.usable == 0 || counts.ejected < counts.usable {
            return false;
        }
        let is_lost = fleet.contact.lose(now, service);
        if is_lost {
            fleet.reset_health(now, service);
        }
        is_lost
    }

    /// Records that another host reaches a server which this host does not; the server counts as healthy again.
    pub fn record_failed_path(&self, id: &BackendId) {
        if let Some(server) = self.lock().servers.get_mut(id) {
            server.has_failed_path = true;
            server.health = Health::default();
            server.suspected_until = Millis(0);
        }
    }

    /// Whether to check now through another host that a server has failed; at most once a second,
    /// and not if another host has found the same.
    pub fn begin_path_check(&self, id: &BackendId, now: Millis) -> bool {
        let mut fleet = self.lock();
        let server = fleet.servers.entry(id.clone(), Server::default);
        let is_due = server
            .last_check
            .is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        if !is_due || now < server.suspected_until {
            return false;
        }
        server.last_check = Some(now);
        true
    }

    /// A server of the same service as `id`, which failed, that shows whether this host's path is at fault: one
    /// in another data centre than `id`, if possible in this host's.
    pub fn reference(
        &self,
        id: &BackendId,
        now: Millis,
        own_centre: &DataCentre,
    ) -> Option<(BackendId, SocketAddr)> {
        let mut guard = self.lock();
        let fleet = &mut *guard;
        let failed = &fleet.roster.get(id)?.entry;
        let is_candidate = |other: &BackendId, e: &Entry| {
            let server = fleet.servers.get(other);
            let last = server.and_then(|s| s.last_refusal.max(s.last_reference));
            e.service == failed.service
                && e.centre != failed.centre
                && last.is_none_or(|at| now.since(at) >= RECENT_REFUSAL)
        };
        let members = fleet.roster.iter().filter(|(_, m)| m.is_usable(now));
        let (id, addr) = members
            .filter(|(other, m)| is_candidate(other, &m.entry))
            .min_by_key(|(_, m)| (m.entry.centre != *own_centre, rand::random::<u32>()))
            .map(|(other, m)| (other.clone(), m.entry.addr))?;
        let server = fleet.servers.entry(id.clone(), Server::default);
        server.last_reference = Some(now);
        Some((id, addr))
    }

    /// The servers to which this host tries a connection of its own to find whether its paths are back.
    pub fn path_probes(&self, now: Millis) -> Vec<(BackendId, SocketAddr)> {
        let fleet = self.lock();
        let mut probes = Vec::new();
        for service in fleet.contact.lost_services() {
            let is_wanted =
                |id: &BackendId, e: &Entry| e.service == *service && fleet.is_indirect(id);
            fleet.add_probes(now, &mut probes, is_wanted);
        }
        let has_failed_path =
            |id: &BackendId, _: &Entry| fleet.servers.get(id).is_some_and(|s| s.has_failed_path);
        fleet.add_probes(now, &mut probes, has_failed_path);
        probes
    }
}

impl Fleet {
    pub(super) fn is_contact_lost(&self, id: &BackendId) -> bool {
        let member = self.roster.get(id);
        member.is_some_and(|m| self.contact.lost_since(&m.entry.service).is_some())
    }

    fn is_indirect(&self, id: &BackendId) -> bool {
        if self.servers.get(id).is_some_and(|s| s.has_failed_path) {
            return true;
        }
        let member = self.roster.get(id);
        member.is_some_and(|m| !self.contact.is_direct(&m.entry.service, id))
    }

    /// The data centre of each server of a service, whether or not it is usable: one that leaves accepts
    /// connections as well.
    fn centres(&self, service: &ServiceName) -> impl Iterator<Item = &DataCentre> {
        let members = self.roster.iter().map(|(_, m)| m);
        let members = members.filter(move |m| m.entry.service == *service && !m.is_replaced);
        members.map(|m| &m.entry.centre)
    }

    fn service_size(&self, service: &ServiceName, own_centre: &DataCentre) -> ServiceSize {
        let centres = distinct(self.centres(service));
        ServiceSize {
            servers: self.centres(service).count(),
            centres: centres.len(),
            has_own: centres.binary_search(&own_centre).is_ok(),
        }
    }

    /// Forgets the failures of the servers of a service; drops idle connections if they hang.
    fn reset_health(&mut self, now: Millis, service: &ServiceName) {
        let hangs = self.contact.hangs_since(service, now);
        let roster = &self.roster;
        for (id, server) in self.servers.iter_mut() {
            if roster.get(id).is_some_and(|m| m.entry.service == *service) {
                server.health = Health::default();
                server.suspected_until = Millis(0);
                if hangs {
                    server.idle.clear();
                }
            }
        }
    }

    /// Adds [`PROBES`] of the usable servers for which `is_wanted` holds, drawn at random.
    fn add_probes(
        &self,
        now: Millis,
        probes: &mut Vec<(BackendId, SocketAddr)>,
        is_wanted: impl Fn(&BackendId, &Entry) -> bool,
    ) {
        let members = self.roster.iter().filter(|(_, m)| m.is_usable(now));
        let mut found: Vec<(u64, &BackendId, SocketAddr)> = members
            .filter(|(id, m)| is_wanted(id, &m.entry))
            .map(|(id, m)| (rand::random(), id, m.entry.addr))
            .collect();
        found.sort_unstable();
        let found = found.into_iter().take(PROBES);
        probes.extend(found.map(|(_, id, addr)| (id.clone(), addr)));
    }
}
