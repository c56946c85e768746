//! Chooses a server for one request by load, prefix cache, health and data centre.

use base::hash::stable;
use base::prelude::*;

use crate::rule::Rule;

/// Age from which a load report no longer reflects the load and is ignored.
const STALE_AGE: Millis = Millis(2_000);

/// A server is slow if its time to the first token exceeds the median by this factor.
const SLOW_FACTOR: u64 = 3;

/// Times to the first token up to this are never slow, in milliseconds.
const MIN_SLOW_MS: u64 = 100;

/// Load up to which a server is preferred for its cached prefix, in percent of the mean load; it is always
/// preferred while at most half of its slots are in use.
const AFFINITY_PERCENT: u64 = 125;

/// Free slots are ample if they are at least one in this many.
const AMPLE_DIVISOR: u64 = 3;

/// State of one server as known to this router when it chooses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Server<'a> {
    /// Id of the server, by which [`ChoiceRequest::avoid`] and rendezvous hashing refer to it.
    pub backend: &'a str,
    /// Whether it may be chosen at all: alive, not leaving, and serving the model.
    pub is_usable: bool,
    /// Position of its data centre in the order of preference; 0 is the router's own.
    pub rank: usize,
    /// Requests of this router in flight there.
    pub in_flight: u64,
    /// Requests that this router has placed there since the last report, less those that have ended since.
    pub since_report: i64,
    /// Requests running or queued there, from all routers, by its last report.
    pub reported_load: u64,
    /// Age of that report.
    pub report_age: Millis,
    /// Requests that it can run at once; 0 if unknown.
    pub slots: u64,
    /// Blocks of the prompt in its prefix cache, by the cache events received.
    pub cached_blocks: u64,
    /// Whether it is ejected for its failures.
    pub is_ejected: bool,
    /// Share of its usual load that it may receive after a return, in thousandths; 1,000 for all of it.
    pub ramp_permille: u64,
    /// Estimated time to the first token, in milliseconds; 0 if not measured.
    pub latency_ms: u64,
    /// Resumed requests of this router that were placed there and have not yet been continued.
    pub resumes: u64,
}

/// Request for which a server is chosen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChoiceRequest<'a> {
    /// Servers chosen only if no other is usable.
    pub avoid: &'a [BackendId],
    /// Random number that draws the servers to compare and breaks ties.
    pub seed: u64,
    /// Number of routers that place requests at the same servers; 0 counts as 1.
    pub routers: u64,
    /// Hash of the prompt's first blocks; `None` if the prompt is shorter than a block.
    pub prefix: Option<u64>,
    /// Number of blocks of the prompt.
    pub blocks: u64,
    /// Bound on [`Server::resumes`] if this is a resumed request; `None` otherwise.
    pub max_resumes: Option<u64>,
    /// Rule configured in the profile.
    pub rule: Rule,
    /// Counter that increases with each choice, for [`Rule::RoundRobin`].
    pub sequence: u64,
}

/// Index of the chosen server; `None` if none is usable.
pub fn choose(servers: &[Server<'_>], request: &ChoiceRequest<'_>) -> Option<usize> {
    let usable: Vec<usize> = (0..servers.len())
        .filter(|i| servers[*i].is_usable)
        .collect();
    match request.rule {
        Rule::Combined => combined(servers, &usable, request),
        Rule::RoundRobin => pick(&usable, request.sequence),
        Rule::Random => pick(&usable, request.seed),
        Rule::LeastInFlight => {
            let order = |i: &&usize| (servers[**i].in_flight, random_key(request, **i));
            usable.iter().min_by_key(order).copied()
        }
    }
}

/// Applies the criteria one after another; one that no remaining server meets is ignored.
fn combined(
    servers: &[Server<'_>],
    usable: &[usize],
    request: &ChoiceRequest<'_>,
) -> Option<usize> {
    let preferred = filter_or_all(usable, |i| !is_avoided(&servers[i], request));
    let healthy = filter_or_all(&preferred, |i| !servers[i].is_ejected);
    let limit = slow_limit(servers, &healthy);
    let fast = filter_or_all(&healthy, |i| servers[i].latency_ms <= limit);
    let ramped = filter_or_all(&fast, |i| {
        random_key(request, i) % 1_000 < servers[i].ramp_permille
    });
    let below_cap = filter_or_all(&ramped, |i| {
        request.max_resumes.is_none_or(|n| servers[i].resumes < n)
    });
    let near = nearest(servers, &below_cap, request);
    prefix_affinity(servers, &near, request).or_else(|| two_choices(servers, &near, request))
}

/// Elements of `from` for which `predicate` holds, or all if it holds for none.
fn filter_or_all(from: &[usize], predicate: impl Fn(usize) -> bool) -> Vec<usize> {
    let kept: Vec<usize> = from.iter().copied().filter(|i| predicate(*i)).collect();
    if kept.is_empty() { from.to_vec() } else { kept }
}

fn is_avoided(server: &Server<'_>, request: &ChoiceRequest<'_>) -> bool {
    request.avoid.iter().any(|b| b.as_str() == server.backend)
}

/// Time to the first token above which a server is slow, in milliseconds.
fn slow_limit(servers: &[Server<'_>], among: &[usize]) -> u64 {
    let mut measured: Vec<u64> = among
        .iter()
        .map(|i| servers[*i].latency_ms)
        .filter(|ms| *ms > 0)
        .collect();
    measured.sort_unstable();
    match measured.get(measured.len().saturating_sub(1) / 2) {
        Some(median) => (median * SLOW_FACTOR).max(MIN_SLOW_MS),
        None => u64::MAX,
    }
}

/// Servers with room in the most preferred data centre that has any; all servers if none has a free slot.
fn nearest(servers: &[Server<'_>], among: &[usize], request: &ChoiceRequest<'_>) -> Vec<usize> {
    let is_free = |i: usize| servers[i].slots == 0 || known_load(&servers[i]) < servers[i].slots;
    if !among.iter().any(|i| is_free(*i)) {
        return among.to_vec();
    }
    let free = filter_or_all(among, is_free);
    let with_room = filter_or_all(&free, |i| has_room(&servers[i], request, i));
    let first = with_room.iter().map(|i| servers[*i].rank).min();
    filter_or_all(&with_room, |i| Some(servers[i].rank) == first)
}

/// Whether this router may place a request at a server without the request being queued there.
///
/// Each router may use an equal share of the slots that the report shows as free, and those that its own
/// requests have freed since. The fractional part of the share gives a slot with that probability, or always
/// while free slots are ample.
fn has_room(server: &Server<'_>, request: &ChoiceRequest<'_>, i: usize) -> bool {
    if server.slots == 0 {
        return true;
    }
    if known_load(server) >= server.slots {
        return false;
    }
    let routers = request.routers.max(1);
    if server.since_report < 0 || server.report_age >= STALE_AGE {
        return true;
    }
    let free = server.slots.saturating_sub(server.reported_load);
    let is_ample = free * AMPLE_DIVISOR >= server.slots;
    let rest = u64::from(is_ample || random_key(request, i) % routers < free % routers);
    server.since_report.unsigned_abs() < free / routers + rest
}

/// Reported load with this router's changes since; only this router's requests if the report is stale.
fn known_load(server: &Server<'_>) -> u64 {
    if server.report_age >= STALE_AGE {
        return server.in_flight;
    }
    let counted = server
        .reported_load
        .saturating_add_signed(server.since_report);
    counted.max(server.in_flight)
}

/// A server that holds the prefix, unless it is loaded well above the others.
///
/// Servers that are known to cache at least half of the prompt's blocks come first. If there are none, as
/// when cache events were lost, rendezvous hashing gives all routers the same server for a prefix, and the
/// same order of servers to use while that one is loaded.
fn prefix_affinity(
    servers: &[Server<'_>],
    among: &[usize],
    request: &ChoiceRequest<'_>,
) -> Option<usize> {
    let prefix = request.prefix?;
    let most = among.iter().map(|i| servers[*i].cached_blocks).max()?;
    let total: u64 = among.iter().map(|i| known_load(&servers[*i])).sum();
    let bound = total * AFFINITY_PERCENT / 100 / among.len() as u64 + 1;
    let is_within = |i: &usize| {
        let server = &servers[*i];
        known_load(server) <= bound.max(server.slots / 2) && has_room(server, request, *i)
    };
    let order = |i: &usize| {
        (
            estimated_load(&servers[*i], request),
            random_key(request, *i),
        )
    };
    if most * 2 >= request.blocks && most > 0 {
        let holders = filter_or_all(among, |i| servers[i].cached_blocks * 2 >= request.blocks);
        return holders.into_iter().filter(is_within).min_by_key(order);
    }
    rendezvous_order(servers, among, prefix)
        .into_iter()
        .find(is_within)
}

/// The servers in the order of their rendezvous hashes with a prefix.
fn rendezvous_order(servers: &[Server<'_>], among: &[usize], prefix: u64) -> Vec<usize> {
    let key = format!("{prefix:x}");
    let mut order = among.to_vec();
    order.sort_by_cached_key(|i| {
        std::cmp::Reverse(base::hash::rendezvous(&key, servers[*i].backend))
    });
    order
}

/// Power of two choices: the less loaded of two servers drawn at random, so that many routers with the same
/// reports do not all choose the same server.
fn two_choices(
    servers: &[Server<'_>],
    among: &[usize],
    request: &ChoiceRequest<'_>,
) -> Option<usize> {
    let one = pick(among, stable(&request.seed.to_le_bytes()))?;
    let rest: Vec<usize> = among.iter().copied().filter(|i| *i != one).collect();
    let other = pick(&rest, stable(&(!request.seed).to_le_bytes())).unwrap_or(one);
    let is_lighter =
        estimated_load(&servers[other], request) < estimated_load(&servers[one], request);
    Some(if is_lighter { other } else { one })
}

/// Load of a server, with an estimate of the requests that other routers have placed since its report.
fn estimated_load(server: &Server<'_>, request: &ChoiceRequest<'_>) -> u64 {
    let routers = request.routers.max(1);
    if server.report_age >= STALE_AGE {
        return server.in_flight * routers;
    }
    // Each other router is assumed to have placed as many requests as this one; how many of theirs have ended
    // is unknown.
    let recent = server.since_report.max(0).unsigned_abs();
    let others = (recent * (routers - 1)).min(server.slots);
    known_load(server) + others
}

/// Hash that orders servers differently for each request.
fn random_key(request: &ChoiceRequest<'_>, i: usize) -> u64 {
    stable(&(request.seed ^ (i as u64).rotate_left(32)).to_le_bytes())
}

fn pick(among: &[usize], number: u64) -> Option<usize> {
    let count = among.len() as u64;
    (count > 0).then(|| among[(number % count) as usize])
}
