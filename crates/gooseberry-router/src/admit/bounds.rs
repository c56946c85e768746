//! This router's share of the limits, derived from the hosts and backend servers in its snapshot.

use admission::{ProfileBounds, WorkspaceBounds, limit_share};
use base::prelude::*;
use peer::agent::HostView;
use profiles::document::{Document, Profile, Workspace};

use crate::backends::Backend;
use crate::config::Snapshot;
use crate::context::Router;

/// Stands for no limit; far below `u64::MAX`, so that sums do not overflow.
const UNLIMITED: u64 = u32::MAX as u64;

/// Bounds of this router for the requests of a profile.
pub(super) fn profile_bounds(
    router: &Router,
    snapshot: &Snapshot,
    profile: &Profile,
) -> ProfileBounds {
    let backends = capacity_share(router, snapshot, profile);
    let capacity = match profile.limits.running {
        0 => backends,
        limit => backends.min(router_share(router, snapshot, limit, true)),
    };
    ProfileBounds {
        capacity,
        queue_limit: profile.limits.queued,
        priority: profile.priority,
        first_output: first_output_bound(router, snapshot, profile),
    }
}

/// Bounds of this router for the requests of a workspace.
pub(super) fn workspace_bounds(
    router: &Router,
    snapshot: &Snapshot,
    workspace: &Workspace,
) -> WorkspaceBounds {
    WorkspaceBounds {
        share: workspace.share,
        limit: match workspace.running {
            0 => 0,
            limit => router_share(router, snapshot, limit, true),
        },
    }
}

/// This router's share of the slots of the backend servers of a profile, in all data centres;
/// [`UNLIMITED`] if one of them has an unknown number of slots.
///
/// Capacity that other routers do not use is shared as well: beyond its in-flight count, a router
/// may use an equal share of the slots that are free according to the load reports, if that is
/// more.
fn capacity_share(router: &Router, snapshot: &Snapshot, profile: &Profile) -> u64 {
    let servers = servers(snapshot, profile);
    if servers.clone().any(|b| b.view.slots == 0) {
        return UNLIMITED;
    }
    let slots: u64 = servers.clone().map(|b| b.view.slots).sum();
    if slots == 0 {
        return 0;
    }
    let now = router.timer.now();
    let free: u64 = servers.clone().map(|b| b.free_slots(now)).sum();
    let own: u64 = servers.map(Backend::in_flight).sum();
    let routers = snapshot.hosts.iter().filter(|h| h.alive).count().max(1) as u64;
    router_share(router, snapshot, slots, false).max(own + free / routers)
}

/// Time within which first tokens are expected under a profile: the 90th percentile of the latency
/// bounds of its servers, at most half of its deadline.
fn first_output_bound(router: &Router, snapshot: &Snapshot, profile: &Profile) -> Millis {
    let now = router.timer.now();
    let mut times: Vec<u64> = servers(snapshot, profile)
        .map(|b| b.health().latency_bound(now))
        .filter(|ms| *ms > 0)
        .collect();
    times.sort_unstable();
    let p90 = times.get(times.len() * 9 / 10).copied().unwrap_or(0);
    Millis(p90.min(profile.deadline_ms / 2))
}

/// The backend servers of a profile that are alive and not leaving.
fn servers<'a>(
    snapshot: &'a Snapshot,
    profile: &'a Profile,
) -> impl Iterator<Item = &'a Backend> + Clone {
    let document: &Document = &snapshot.document;
    let is_usable = move |b: &&Backend| {
        let service = document.service(b.view.service.as_str());
        service.is_some_and(|s| s.profile == profile.name) && b.view.alive && !b.view.leaving
    };
    snapshot.backends.iter().map(|b| &**b).filter(is_usable)
}

/// This router's share of a limit of its data centre (`is_local`), or of all data centres.
fn router_share(router: &Router, snapshot: &Snapshot, limit: u64, is_local: bool) -> u64 {
    let own = &router.settings;
    let is_counted = |h: &&HostView| {
        let is_live = h.alive && !h.leaving || h.host == own.host;
        is_live && (!is_local || h.data_centre == own.data_centre)
    };
    let live: Vec<&HostView> = snapshot.hosts.iter().filter(is_counted).collect();
    let rank = live.iter().position(|h| h.host == own.host);
    // A router that is not listed yet takes the last share.
    let rank = rank.unwrap_or(live.len());
    let count = live.len().max(rank + 1);
    limit_share(limit, rank as u64, count as u64)
}
