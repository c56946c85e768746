//! Choice of the witnesses of a request, and of the journal that a takeover continues.

use base::hash::rendezvous;
use base::prelude::*;

/// Maximum number of candidates inside the data centre, and again outside it.
pub const CANDIDATES: usize = 4;

/// A host that may be a witness, from the point of view of the router that chooses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The host.
    pub host: HostId,
    /// Whether it is in the data centre of that router.
    pub is_near: bool,
}

/// The candidate witnesses of `key`, most preferred first; `peers` must not include the owner.
///
/// Hosts of the data centre come before others. Each group is ordered by rendezvous hashing, so
/// that all routers of a data centre agree on the order.
pub fn candidates(key: &RequestKey, peers: &[Peer]) -> Vec<HostId> {
    first(key, peers, CANDIDATES)
}

/// The hosts whose journals a takeover seals; `peers` must not include the router that takes over.
///
/// One more per group than [`candidates`]: owner and taker each exclude themselves, so a witness
/// may rank one place lower here than in the owner's list.
pub fn takeover_hosts(key: &RequestKey, peers: &[Peer]) -> Vec<HostId> {
    first(key, peers, CANDIDATES + 1)
}

/// The first `count` hosts inside the data centre, then the first `count` outside it.
fn first(key: &RequestKey, peers: &[Peer], count: usize) -> Vec<HostId> {
    let mut near = ranked(key, peers, true, count);
    near.append(&mut ranked(key, peers, false, count));
    near
}

/// The first `count` hosts of one group, by rendezvous weight.
fn ranked(key: &RequestKey, peers: &[Peer], is_near: bool, count: usize) -> Vec<HostId> {
    let mut weights: Vec<(u64, &HostId)> = peers
        .iter()
        .filter(|p| p.is_near == is_near)
        .map(|p| (rendezvous(key.as_str(), p.host.as_str()), &p.host))
        .collect();
    weights.sort_unstable_by(|a, b| b.cmp(a));
    weights.truncate(count);
    weights.into_iter().map(|(_, host)| host.clone()).collect()
}

/// The journal from which a takeover continues: the longest of those with the highest epoch; `None`
/// if there is no journal.
pub fn latest(snapshots: Vec<crate::record::Snapshot>) -> Option<crate::record::Snapshot> {
    snapshots
        .into_iter()
        .max_by_key(|s| (s.epoch, s.tokens.len()))
}
