//! Conversions of members: from the platform's host list, and to the views sent to routers.

use base::prelude::*;
use engine::wire::Load;
use membership::Members;
use membership::backends::{Backend, Report};
use membership::hosts::Host;
use membership::listed::{ListedBackend, ListedHost, Place};
use peer::agent::{BackendView, HostView};
use store::wire::{self, HostKind};

/// The entry hosts of a host list.
pub fn listed_hosts(list: &[wire::Host]) -> Vec<ListedHost> {
    let one = |h: &wire::Host| match h.kind {
        HostKind::Entry { router, agent } => Some(ListedHost {
            host: HostId(h.name.clone()),
            place: Place {
                data_centre: h.data_centre.clone(),
                router,
                agent,
            },
            leaving: h.leaving,
        }),
        HostKind::Backend { .. } => None,
    };
    list.iter().filter_map(one).collect()
}

/// The backend servers of a host list.
pub fn listed_backends(list: &[wire::Host]) -> Vec<ListedBackend> {
    let one = |h: &wire::Host| match &h.kind {
        HostKind::Backend { service, addr } => Some(ListedBackend {
            backend: BackendId(h.name.clone()),
            service: service.clone(),
            data_centre: h.data_centre.clone(),
            addr: *addr,
            leaving: h.leaving,
        }),
        HostKind::Entry { .. } => None,
    };
    list.iter().filter_map(one).collect()
}

/// Converts the load reported by a backend server.
pub fn report(load: Load) -> Report {
    Report {
        incarnation: load.incarnation,
        leaving: load.leaving,
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        models: load.models,
        age: Millis(load.age_ms),
    }
}

/// Views of the entry hosts for a router, sorted by name; includes this host once its address is
/// confirmed by the host list.
pub fn host_views(members: &Members) -> Vec<HostView> {
    let mut views: Vec<HostView> = members.hosts().map(|(id, h)| host_view(id, h)).collect();
    let own = members.own();
    if own.place_confirmed {
        let place = &own.place;
        views.push(HostView {
            host: own.host.clone(),
            data_centre: place.data_centre.clone(),
            router: place.router,
            agent: place.agent,
            incarnation: own.lifecycle.incarnation,
            leaving: own.lifecycle.leaving,
            alive: true,
        });
    }
    views.sort_by(|a, b| a.host.cmp(&b.host));
    views
}

fn host_view(id: &HostId, host: &Host) -> HostView {
    HostView {
        host: id.clone(),
        data_centre: host.place.data_centre.clone(),
        router: host.place.router,
        agent: host.place.agent,
        incarnation: host.lifecycle.incarnation,
        leaving: host.lifecycle.is_leaving(),
        alive: host.is_usable(),
    }
}

/// Views of the backend servers for a router, sorted by name; `blocks` is left empty.
pub fn backend_views(members: &Members, now: Millis) -> Vec<BackendView> {
    let views = members.backends().map(|(id, b)| backend_view(id, b, now));
    views.collect()
}

fn backend_view(id: &BackendId, backend: &Backend, now: Millis) -> BackendView {
    let listed = &backend.listed;
    let claim = backend.claim();
    let report = claim.map(|c| c.report.clone()).unwrap_or_default();
    BackendView {
        backend: id.clone(),
        service: listed.service.clone(),
        data_centre: listed.data_centre.clone(),
        addr: listed.addr,
        incarnation: backend.lifecycle.incarnation,
        leaving: backend.lifecycle.is_leaving(),
        alive: backend.is_alive(),
        running: report.running,
        queued: report.queued,
        slots: report.slots,
        models: report.models,
        age_ms: claim.map_or(0, |c| c.age(now).0),
        blocks: Vec::new(),
    }
}
