//! The choice of one server for one request.

use base::hash::stable;
use base::prelude::*;

use crate::rule::Rule;

/// A report older than this says nothing of the load now.
const STALE_AGE: Millis = Millis(2_000);

/// A server is slow if its first tokens take so many times the median.
const SLOW_FACTOR: u64 = 3;

/// First tokens within this time are never slow, in milliseconds.
const MIN_SLOW_MS: u64 = 100;

/// The load up to which a server with the prefix is used, in percent of the mean; half of its
/// places are always used.
const AFFINITY_PERCENT: u64 = 125;

/// Many places are free if they are at least one in so many.
const AMPLE_DIVISOR: u64 = 3;

/// What is known of one server when a request is placed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Server<'a> {
    /// The server.
    pub backend: &'a str,
    /// Whether it may be chosen at all: alive, not leaving, holding the model.
    pub is_usable: bool,
    /// The place of its data centre in the order of preference; 0 is the router's own.
    pub rank: usize,
    /// The requests that this router has running there.
    pub in_flight: u64,
    /// Those of them that were placed after the last report, less those that have ended since.
    pub since_report: i64,
    /// The requests that it last reported as running or waiting.
    pub reported_load: u64,
    /// The age of that report.
    pub report_age: Millis,
    /// The most requests that it runs at once; 0 if unknown.
    pub slots: u64,
    /// How many of the prompt's blocks it holds, as far as is known.
    pub cached_blocks: u64,
    /// Whether it is left out for its failures.
    pub is_ejected: bool,
    /// The share of its usual work that it is given after a return, in thousandths.
    pub ramp_permille: u64,
    /// The time to its first tokens in milliseconds; 0 if not measured.
    pub latency_ms: u64,
    /// The resumed requests of this router that it has not yet continued.
    pub resumes: u64,
}

/// What is asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChoiceRequest<'a> {
    /// Servers that are taken only if there is no other.
    pub avoid: &'a [BackendId],
    /// A number that spreads equal choices, drawn at random.
    pub seed: u64,
    /// The routers that place requests at the same servers; 0 counts as 1.
    pub routers: u64,
    /// The hash of the prompt's first blocks, if it is long enough to have one.
    pub prefix: Option<u64>,
    /// How many blocks the prompt has.
    pub blocks: u64,
    /// The most resumed requests that a server is given at once by one router, if this is one.
    pub max_resumes: Option<u64>,
    /// The rule.
    pub rule: Rule,
    /// A number that grows with each choice, for the round robin.
    pub sequence: u64,
}

/// The index of the server to use, if any is usable.
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

/// The choice by load, prefix cache, health and place.
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

/// Those of `from` for which `predicate`, or all if it holds for none.
fn filter_or_all(from: &[usize], predicate: impl Fn(usize) -> bool) -> Vec<usize> {
    let kept: Vec<usize> = from.iter().copied().filter(|i| predicate(*i)).collect();
    if kept.is_empty() { from.to_vec() } else { kept }
}

fn is_avoided(server: &Server<'_>, request: &ChoiceRequest<'_>) -> bool {
    request.avoid.iter().any(|b| b.as_str() == server.backend)
}

/// The time to the first token above which a server is slow.
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

/// The servers of the most preferred data centre with room; all if none has room.
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

/// Whether this router may place a request at a server without making it wait there.
///
/// Each router takes an equal part of the places that the report shows as free, and those that its
/// own requests have left since; a part of a place is drawn at random, or a whole one while many are
/// free.
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

/// The load that was reported, with what this router has changed since.
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
/// Without a cache event for any of the blocks, all routers agree on the same server and on
/// the order of those that take over when it is loaded.
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

/// The servers in the order in which they are to hold a prefix, by rendezvous hashing.
fn rendezvous_order(servers: &[Server<'_>], among: &[usize], prefix: u64) -> Vec<usize> {
    let key = format!("{prefix:x}");
    let mut order = among.to_vec();
    order.sort_by_cached_key(|i| {
        std::cmp::Reverse(base::hash::rendezvous(&key, servers[*i].backend))
    });
    order
}

/// The less loaded of two servers drawn at random, so that many routers do not all take one.
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

/// The load of a server, with what the other routers are likely to have placed since its report.
fn estimated_load(server: &Server<'_>, request: &ChoiceRequest<'_>) -> u64 {
    let routers = request.routers.max(1);
    if server.report_age >= STALE_AGE {
        return server.in_flight * routers;
    }
    // Others are likely to place as this router does; that theirs have ended cannot be known.
    let recent = server.since_report.max(0).unsigned_abs();
    let others = (recent * (routers - 1)).min(server.slots);
    known_load(server) + others
}

/// A number that orders servers differently for each request.
fn random_key(request: &ChoiceRequest<'_>, i: usize) -> u64 {
    stable(&(request.seed ^ (i as u64).rotate_left(32)).to_le_bytes())
}

fn pick(among: &[usize], number: u64) -> Option<usize> {
    let count = among.len() as u64;
    (count > 0).then(|| among[(number % count) as usize])
}
