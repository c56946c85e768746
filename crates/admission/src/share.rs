//! Division of a limit among routers.

/// Part of `limit` for the router with the given `rank`, counted from 0, among `live` routers.
///
/// The parts add up to the limit if it is at least the number of routers; below that each router
/// still admits one request, so that none refuses all. Routers partitioned from each other count
/// fewer live routers: a split into `n` groups admits at most `n` times the limit.
pub fn limit_share(limit: u64, rank: u64, live: u64) -> u64 {
    let live = live.max(1);
    let part = limit / live + u64::from(rank < limit % live);
    part.max(1)
}
