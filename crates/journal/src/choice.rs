//! The hosts that may witness a request.

use base::hash::rendezvous;
use base::prelude::*;

/// The most candidates within the data centre, and again outside it.
pub const CANDIDATES: usize = 4;

/// A host that may witness, as seen from the asking router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The host.
    pub host: HostId,
    /// Whether it is in the asking router's data centre.
    pub is_near: bool,
}

/// The hosts that may witness `key`, most preferred first; `peers` leaves the owner out.
///
/// Hosts of the data centre come before others; within each group the order is that of rendezvous
/// hashing, so that all routers of a data centre agree on it.
pub fn candidates(key: &RequestKey, peers: &[Peer]) -> Vec<HostId> {
    first(key, peers, CANDIDATES)
}

/// The hosts that a takeover asks for journals; `peers` leaves the asking router out.
///
/// One more of each group than an owner uses: the owner leaves itself out of its candidates and the
/// asking router leaves itself out, so that a witness may stand one place lower here.
pub fn takeover_hosts(key: &RequestKey, peers: &[Peer]) -> Vec<HostId> {
    first(key, peers, CANDIDATES + 1)
}

/// The first `count` hosts of the data centre and the first `count` of others.
fn first(key: &RequestKey, peers: &[Peer], count: usize) -> Vec<HostId> {
    let mut near = ranked(key, peers, true, count);
    near.append(&mut ranked(key, peers, false, count));
    near
}

/// The first hosts of one group.
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

/// The journal from which a takeover continues: the longest of the highest epoch.
pub fn latest(snapshots: Vec<crate::record::Snapshot>) -> Option<crate::record::Snapshot> {
    snapshots
        .into_iter()
        .max_by_key(|s| (s.epoch, s.tokens.len()))
}
