//! This router's part of the limits, from the members of the system that it sees.

use admission::{ProfileBounds, WorkspaceBounds, limit_share};
use base::prelude::*;
use peer::agent::HostView;
use profiles::document::{Document, Profile, Workspace};

use crate::backends::Backend;
use crate::config::Snapshot;
use crate::context::Router;

/// What stands for no limit; far below the largest number, so that sums do not overflow.
const UNLIMITED: u64 = u32::MAX as u64;

/// What this router may do under a profile.
pub(super) fn class(router: &Router, snapshot: &Snapshot, profile: &Profile) -> ProfileBounds {
    let engines = carried(router, snapshot, profile);
    let capacity = match profile.limits.running {
        0 => engines,
        limit => engines.min(part(router, snapshot, limit, true)),
    };
    ProfileBounds {
        capacity,
        queue_limit: profile.limits.queued,
        priority: profile.priority,
        first_output: first(router, snapshot, profile),
    }
}

/// What this router may do for a workspace.
pub(super) fn space(
    router: &Router,
    snapshot: &Snapshot,
    workspace: &Workspace,
) -> WorkspaceBounds {
    WorkspaceBounds {
        share: workspace.share,
        limit: match workspace.running {
            0 => 0,
            limit => part(router, snapshot, limit, true),
        },
    }
}

/// This router's part of what the backend servers of a profile carry, in all data centres.
///
/// Places that others leave free are divided anew: a router may go beyond its part by an equal
/// share of what the load reports show as free.
fn carried(router: &Router, snapshot: &Snapshot, profile: &Profile) -> u64 {
    let servers = servers(snapshot, profile);
    if servers.clone().any(|b| b.seen.slots == 0) {
        return UNLIMITED;
    }
    let slots: u64 = servers.clone().map(|b| b.seen.slots).sum();
    if slots == 0 {
        return 0;
    }
    let now = router.timer.now();
    let free: u64 = servers.clone().map(|b| b.free(now)).sum();
    let own: u64 = servers.map(Backend::own).sum();
    let routers = snapshot.hosts.iter().filter(|h| h.alive).count().max(1) as u64;
    part(router, snapshot, slots, false).max(own + free / routers)
}

/// The time within which first tokens come under a profile, at most half of its
/// deadline.
fn first(router: &Router, snapshot: &Snapshot, profile: &Profile) -> Millis {
    let now = router.timer.now();
    let mut times: Vec<u64> = servers(snapshot, profile)
        .map(|b| b.health().latency_bound(now))
        .filter(|ms| *ms > 0)
        .collect();
    times.sort_unstable();
    let high = times.get(times.len() * 9 / 10).copied().unwrap_or(0);
    Millis(high.min(profile.deadline_ms / 2))
}

/// The backend servers that work under a profile now.
fn servers<'a>(
    snapshot: &'a Snapshot,
    profile: &'a Profile,
) -> impl Iterator<Item = &'a Backend> + Clone {
    let document: &Document = &snapshot.document;
    let is_one = move |b: &&Backend| {
        let service = document.service(b.seen.service.as_str());
        service.is_some_and(|s| s.profile == profile.name) && b.seen.alive && !b.seen.leaving
    };
    snapshot.backends.iter().map(|b| &**b).filter(is_one)
}

/// This router's part of a limit of its data centre, or of all data centres.
fn part(router: &Router, snapshot: &Snapshot, limit: u64, is_near: bool) -> u64 {
    let own = &router.settings;
    let counts = |h: &&HostView| {
        let is_live = h.alive && !h.leaving || h.host == own.host;
        is_live && (!is_near || h.data_centre == own.data_centre)
    };
    let live: Vec<&HostView> = snapshot.hosts.iter().filter(counts).collect();
    let rank = live.iter().position(|h| h.host == own.host);
    // A router that is not listed yet takes the last part.
    let rank = rank.unwrap_or(live.len());
    let count = live.len().max(rank + 1);
    limit_share(limit, rank as u64, count as u64)
}
