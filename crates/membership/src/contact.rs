//! Whether the connections of this host reach the servers of a service.
//!
//! A connection that fails is the fault of the server or of the path to it, and the host cannot tell which
//! from one failure. Servers crash one by one or with their data centre, and a network that is split leaves the
//! servers of this host's data centre within reach. When servers of several data centres, this one included,
//! refuse connections and none accepts one in between, or when no server is left that has not failed, this
//! host's path is taken to be at fault: it has lost contact with the service, and reaches the servers through
//! other hosts until its own connections are accepted again. Taking a crash for a lost path costs a detour of
//! milliseconds, as other hosts refuse the servers that have crashed; taking a lost path for a crash refuses
//! every caller of the host.

use base::prelude::*;
use base::sorted::{Sorted, distinct};

/// A failure counts for this time, unless a server accepts a connection in between.
const FAILURE_TTL: Millis = Millis(3_000);

/// Servers that must fail before contact is lost, if the service has that many.
const MIN_FAILED: usize = 2;

/// Data centres in which servers must fail before contact is lost, if the service has that many.
const MIN_CENTRES: usize = 2;

/// Servers that must accept a connection before contact is regained, if the service has that many.
const MIN_ACCEPTED: usize = 2;

/// Number of usable servers of a service, and of data centres that they are in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceSize {
    /// Usable servers.
    pub servers: usize,
    /// Data centres with usable servers.
    pub centres: usize,
    /// Whether this host's data centre is one of them.
    pub has_own: bool,
}

/// A connection to a server that failed.
#[derive(Clone, Copy, Debug)]
pub struct Failure<'a> {
    /// The server.
    pub server: &'a BackendId,
    /// Its data centre.
    pub centre: &'a DataCentre,
    /// Whether that is the data centre of this host.
    pub is_own: bool,
    /// Whether nothing answered in time, rather than a refusal or a reset.
    pub is_timeout: bool,
}

/// The contact of this host with each service.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    services: Sorted<ServiceName, ServiceContact>,
}

#[derive(Clone, Debug, Default)]
struct ServiceContact {
    /// The servers that failed since one last accepted a connection, each with the failure.
    failed: Sorted<BackendId, Failed>,
    /// Whether the last failure was a connection that hung.
    hangs: bool,
    lost: Option<Lost>,
}

/// The last failure of a server.
#[derive(Clone, Debug)]
struct Failed {
    at: Millis,
    centre: DataCentre,
    is_own: bool,
}

/// A loss of contact that has not ended.
#[derive(Clone, Debug)]
struct Lost {
    since: Millis,
    /// Whether connections hang, so that open ones are likely dead as well.
    hangs: bool,
    /// The servers that have accepted a connection since.
    accepted: Vec<BackendId>,
}

impl Contact {
    /// Records a connection that failed; returns whether contact with the service is lost by it.
    pub fn record_failed(
        &mut self,
        now: Millis,
        service: &ServiceName,
        failure: Failure<'_>,
        size: ServiceSize,
    ) -> bool {
        let contact = self
            .services
            .entry(service.clone(), ServiceContact::default);
        contact.failed.retain(|_, f| now.since(f.at) < FAILURE_TTL);
        let failed = Failed {
            at: now,
            centre: failure.centre.clone(),
            is_own: failure.is_own,
        };
        contact.failed.insert(failure.server.clone(), failed);
        contact.hangs = failure.is_timeout;
        if let Some(lost) = &mut contact.lost {
            lost.accepted.retain(|s| s != failure.server);
            lost.hangs |= failure.is_timeout;
            return false;
        }
        let centres = distinct(contact.failed.iter().map(|(_, f)| &f.centre));
        let is_lost = contact.failed.len() >= MIN_FAILED.min(size.servers.max(1))
            && centres.len() >= MIN_CENTRES.min(size.centres.max(1))
            && (!size.has_own || contact.failed.iter().any(|(_, f)| f.is_own));
        is_lost && self.lose(now, service)
    }

    /// Records that every server of a service has failed; returns whether contact with it is lost by that.
    pub fn lose(&mut self, now: Millis, service: &ServiceName) -> bool {
        let contact = self
            .services
            .entry(service.clone(), ServiceContact::default);
        if contact.lost.is_some() {
            return false;
        }
        contact.lost = Some(Lost {
            since: now,
            hangs: contact.hangs,
            accepted: Vec::new(),
        });
        true
    }

    /// Records a connection that a server accepted, one of the `servers` of its service; returns whether contact
    /// with the service is regained by it.
    pub fn record_accepted(
        &mut self,
        service: &ServiceName,
        server: &BackendId,
        servers: usize,
    ) -> bool {
        let Some(contact) = self.services.get_mut(service) else {
            return false;
        };
        let is_regained = match &mut contact.lost {
            Some(lost) => {
                if !lost.accepted.contains(server) {
                    lost.accepted.push(server.clone());
                }
                lost.accepted.len() >= MIN_ACCEPTED.min(servers.max(1))
            }
            None => true,
        };
        if !is_regained {
            return false;
        }
        let was_lost = contact.lost.is_some();
        self.services.remove(service);
        was_lost
    }

    /// Whether a connection to a server of the service has failed since one was accepted.
    pub fn has_failures(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some()
    }

    /// Since when contact with a service is lost; `None` while it is not.
    pub fn lost_since(&self, service: &ServiceName) -> Option<Millis> {
        Some(self.services.get(service)?.lost.as_ref()?.since)
    }

    /// Whether a server is reached by a connection of this host's own, as far as the contact with its service goes.
    pub fn is_direct(&self, service: &ServiceName, server: &BackendId) -> bool {
        let lost = self.services.get(service).and_then(|c| c.lost.as_ref());
        lost.is_none_or(|l| l.accepted.contains(server))
    }

    /// Whether contact with a service was lost after `since` and connections hang, so that those opened before
    /// carry no more data.
    pub fn hangs_since(&self, service: &ServiceName, since: Millis) -> bool {
        let lost = self.services.get(service).and_then(|c| c.lost.as_ref());
        lost.is_some_and(|l| l.hangs && l.since >= since)
    }

    /// Forgets the services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| keep(service));
    }

    /// The services with which contact is lost.
    pub fn lost_services(&self) -> impl Iterator<Item = &ServiceName> {
        let lost = self.services.iter().filter(|(_, c)| c.lost.is_some());
        lost.map(|(service, _)| service)
    }
}
