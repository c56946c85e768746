//! The part of a limit that one of several routers keeps by itself.

/// The part of `limit` that falls to the router at place `rank` among `live` routers.
///
/// The parts add up to the limit if it is at least the number of routers; below that each router
/// still takes one request, so that none refuses all. Routers that don't see each other divide
/// by fewer: a split into `n` groups lets through at most `n` times the limit.
pub fn limit_share(limit: u64, rank: u64, live: u64) -> u64 {
    let live = live.max(1);
    let part = limit / live + u64::from(rank < limit % live);
    part.max(1)
}
