//! The choice of one server for one request.

use base::hash::stable;
use base::prelude::*;

use crate::rule::Rule;

/// A report older than this says nothing of the load now.
const STALE: Millis = Millis(2_000);

/// A server is slow if its first tokens take so many times the median.
const SLOW_FACTOR: u64 = 3;

/// First tokens within this time are never slow, in milliseconds.
const SLOW_FLOOR: u64 = 100;

/// The load up to which a server with the prefix is used, in percent of the mean; half of its
/// places are always used.
const AFFINITY_PERCENT: u64 = 125;

/// Many places are free if they are at least one in so many.
const AMPLE: u64 = 3;

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
    pub own: u64,
    /// Those of them that were placed after the last report, less those that have ended since.
    pub since: i64,
    /// The requests that it last reported as running or waiting.
    pub reported: u64,
    /// The age of that report.
    pub age: Millis,
    /// The most requests that it runs at once; 0 if unknown.
    pub slots: u64,
    /// How many of the prompt's blocks it holds, as far as is known.
    pub cached: u64,
    /// Whether it is left out for its failures.
    pub is_ejected: bool,
    /// The share of its usual work that it is given after a return, in thousandths.
    pub ramp: u64,
    /// The time to its first tokens in milliseconds; 0 if not measured.
    pub latency: u64,
    /// The resumed requests of this router that it has not yet continued.
    pub resumes: u64,
}

/// What is asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask<'a> {
    /// Servers that are taken only if there is no other.
    pub avoid: &'a [BackendId],
    /// A number that spreads equal choices, drawn at random.
    pub spread: u64,
    /// The routers that place requests at the same servers; 0 counts as 1.
    pub routers: u64,
    /// The hash of the prompt's first blocks, if it is long enough to have one.
    pub prefix: Option<u64>,
    /// How many blocks the prompt has.
    pub blocks: u64,
    /// The most resumed requests that a server is given at once by one router, if this is one.
    pub resumes: Option<u64>,
    /// The rule.
    pub rule: Rule,
    /// A number that grows with each choice, for the round robin.
    pub turn: u64,
}

/// The index of the server to use, if any is usable.
pub fn choose(servers: &[Server<'_>], ask: &Ask<'_>) -> Option<usize> {
    let usable: Vec<usize> = (0..servers.len())
        .filter(|i| servers[*i].is_usable)
        .collect();
    match ask.rule {
        Rule::Combined => combined(servers, &usable, ask),
        Rule::RoundRobin => pick(&usable, ask.turn),
        Rule::Random => pick(&usable, ask.spread),
        Rule::LeastInFlight => {
            let order = |i: &&usize| (servers[**i].own, turn(ask, **i));
            usable.iter().min_by_key(order).copied()
        }
    }
}

/// The choice by load, prefix cache, health and place.
fn combined(servers: &[Server<'_>], usable: &[usize], ask: &Ask<'_>) -> Option<usize> {
    let wanted = keep(usable, |i| !is_avoided(&servers[i], ask));
    let sound = keep(&wanted, |i| !servers[i].is_ejected);
    let limit = slow_limit(servers, &sound);
    let quick = keep(&sound, |i| servers[i].latency <= limit);
    let ramped = keep(&quick, |i| turn(ask, i) % 1_000 < servers[i].ramp);
    let spared = keep(&ramped, |i| {
        ask.resumes.is_none_or(|n| servers[i].resumes < n)
    });
    let placed = nearest(servers, &spared, ask);
    with_prefix(servers, &placed, ask).or_else(|| two_choices(servers, &placed, ask))
}

/// Those of `from` for which `holds`, or all if it holds for none.
fn keep(from: &[usize], holds: impl Fn(usize) -> bool) -> Vec<usize> {
    let kept: Vec<usize> = from.iter().copied().filter(|i| holds(*i)).collect();
    if kept.is_empty() { from.to_vec() } else { kept }
}

fn is_avoided(server: &Server<'_>, ask: &Ask<'_>) -> bool {
    ask.avoid.iter().any(|b| b.as_str() == server.backend)
}

/// The time to the first token above which a server is slow.
fn slow_limit(servers: &[Server<'_>], among: &[usize]) -> u64 {
    let mut measured: Vec<u64> = among
        .iter()
        .map(|i| servers[*i].latency)
        .filter(|ms| *ms > 0)
        .collect();
    measured.sort_unstable();
    match measured.get(measured.len().saturating_sub(1) / 2) {
        Some(median) => (median * SLOW_FACTOR).max(SLOW_FLOOR),
        None => u64::MAX,
    }
}

/// The servers of the most preferred data centre with room; all if none has room.
fn nearest(servers: &[Server<'_>], among: &[usize], ask: &Ask<'_>) -> Vec<usize> {
    let is_free = |i: usize| servers[i].slots == 0 || known(&servers[i]) < servers[i].slots;
    if !among.iter().any(|i| is_free(*i)) {
        return among.to_vec();
    }
    let free = keep(among, is_free);
    let with_room = keep(&free, |i| has_room(&servers[i], ask, i));
    let first = with_room.iter().map(|i| servers[*i].rank).min();
    keep(&with_room, |i| Some(servers[i].rank) == first)
}

/// Whether this router may place a request at a server without making it wait there.
///
/// Each router takes an equal part of the places that the report shows as free, and those that its
/// own requests have left since; a part of a place is drawn at random, or a whole one while many are
/// free.
fn has_room(server: &Server<'_>, ask: &Ask<'_>, i: usize) -> bool {
    if server.slots == 0 {
        return true;
    }
    if known(server) >= server.slots {
        return false;
    }
    let routers = ask.routers.max(1);
    if server.since < 0 || server.age >= STALE {
        return true;
    }
    let free = server.slots.saturating_sub(server.reported);
    let is_ample = free * AMPLE >= server.slots;
    let rest = u64::from(is_ample || turn(ask, i) % routers < free % routers);
    server.since.unsigned_abs() < free / routers + rest
}

/// The load that was reported, with what this router has changed since.
fn known(server: &Server<'_>) -> u64 {
    if server.age >= STALE {
        return server.own;
    }
    let counted = server.reported.saturating_add_signed(server.since);
    counted.max(server.own)
}

/// A server that holds the prefix, unless it is loaded well above the others.
///
/// Without a cache event for any of the blocks, all routers agree on the same server and on
/// the order of those that take over when it is loaded.
fn with_prefix(servers: &[Server<'_>], among: &[usize], ask: &Ask<'_>) -> Option<usize> {
    let prefix = ask.prefix?;
    let most = among.iter().map(|i| servers[*i].cached).max()?;
    let total: u64 = among.iter().map(|i| known(&servers[*i])).sum();
    let bound = total * AFFINITY_PERCENT / 100 / among.len() as u64 + 1;
    let within = |i: &usize| {
        let server = &servers[*i];
        known(server) <= bound.max(server.slots / 2) && has_room(server, ask, *i)
    };
    let order = |i: &usize| (load(&servers[*i], ask), turn(ask, *i));
    if most * 2 >= ask.blocks && most > 0 {
        let holders = keep(among, |i| servers[i].cached * 2 >= ask.blocks);
        return holders.into_iter().filter(within).min_by_key(order);
    }
    homes(servers, among, prefix).into_iter().find(within)
}

/// The servers in the order in which they are to hold a prefix, by rendezvous hashing.
fn homes(servers: &[Server<'_>], among: &[usize], prefix: u64) -> Vec<usize> {
    let key = format!("{prefix:x}");
    let mut order = among.to_vec();
    order.sort_by_cached_key(|i| {
        std::cmp::Reverse(base::hash::rendezvous(&key, servers[*i].backend))
    });
    order
}

/// The less loaded of two servers drawn at random, so that many routers do not all take one.
fn two_choices(servers: &[Server<'_>], among: &[usize], ask: &Ask<'_>) -> Option<usize> {
    let one = pick(among, stable(&ask.spread.to_le_bytes()))?;
    let rest: Vec<usize> = among.iter().copied().filter(|i| *i != one).collect();
    let other = pick(&rest, stable(&(!ask.spread).to_le_bytes())).unwrap_or(one);
    let lighter = load(&servers[other], ask) < load(&servers[one], ask);
    Some(if lighter { other } else { one })
}

/// The load of a server, with what the other routers are likely to have placed since its report.
fn load(server: &Server<'_>, ask: &Ask<'_>) -> u64 {
    let routers = ask.routers.max(1);
    if server.age >= STALE {
        return server.own * routers;
    }
    // Others are likely to place as this router does; that theirs have ended cannot be known.
    let placed = server.since.max(0).unsigned_abs();
    let others = (placed * (routers - 1)).min(server.slots);
    known(server) + others
}

/// A number that orders servers differently for each request.
fn turn(ask: &Ask<'_>, i: usize) -> u64 {
    stable(&(ask.spread ^ (i as u64).rotate_left(32)).to_le_bytes())
}

fn pick(among: &[usize], number: u64) -> Option<usize> {
    let count = among.len() as u64;
    (count > 0).then(|| among[(number % count) as usize])
}
