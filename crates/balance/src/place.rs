//! Where a request is placed when the memory of engines is the limit.
//!
//! Answers the load of long generations on engines whose memory holds few of them: a prompt waits
//! for the prompts before it, and a generation that does not fit interrupts another one. Both count
//! before the number of requests. Placed by what this host knows of its own requests; equal choices
//! are drawn at random, so that hosts do not all take the same server.

use std::cmp::Reverse;

use base::hash::{rendezvous, stable};

/// What this host has placed at a server and what the server has reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Tokens of prompts that have given no output yet.
    pub prefill: u64,
    /// Tokens of memory for the generations that run, with their output.
    pub memory: u64,
    /// Tokens of memory for copies of generations that run elsewhere.
    pub backups: u64,
    /// Requests in flight.
    pub running: u64,
}

/// A server that may be chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Whether it is left out for its failures.
    pub is_ejected: bool,
    /// Whether another host has found it to be gone, which this host has not seen itself.
    pub is_suspected: bool,
    /// Its load.
    pub load: Load,
    /// The tokens that its memory holds; 0 for a plain service.
    pub capacity: u64,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlaceRequest<'a> {
    /// Tokens of memory that are needed.
    pub memory: u64,
    /// Servers that are taken only if there is no other.
    pub avoid: &'a [&'a str],
    /// A data centre that is taken only if there is no other.
    pub avoid_centre: Option<&'a str>,
    /// A data centre whose servers are taken before others, if they have room.
    pub prefer_centre: Option<&'a str>,
    /// A number that spreads equal choices, drawn at random.
    pub seed: u64,
    /// A hash of the prompt that is the same for each repeat of the request.
    pub prompt_hash: Option<u64>,
}

/// What a server has just said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that wait or whose prompts are being read.
    pub waiting: u64,
    /// Requests that give output.
    pub running: u64,
    /// Tokens of memory in use.
    pub used: u64,
}

/// The indices of at most `count` servers to ask, in the order in which they may hold the prompt.
///
/// Answers streams that callers continue through another host after theirs has failed: all hosts find
/// the same few servers for the same prompt, by rendezvous hashing, and the one that ran it before
/// still has it in its memory.
pub fn shortlist(
    candidates: &[Candidate<'_>],
    request: &PlaceRequest<'_>,
    count: usize,
) -> Vec<usize> {
    let key = format!("{:x}", request.prompt_hash.unwrap_or(request.seed));
    let mut eligible: Vec<usize> = (0..candidates.len())
        .filter(|i| !candidates[*i].is_ejected)
        .collect();
    eligible.sort_by_cached_key(|i| {
        let c = &candidates[*i];
        let is_last = request.avoid.contains(&c.server);
        (is_last, c.is_suspected, Reverse(rendezvous(&key, c.server)))
    });
    eligible.truncate(count);
    eligible
}

/// The memory that a generation needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Tokens of memory, with its output.
    pub memory: u64,
    /// Tokens of output.
    pub output: u64,
    /// The tokens that a server's memory holds; 0 for a plain service.
    pub capacity: u64,
}

impl Need {
    /// Whether a server has room until the generation ends: for those that wait there as well, and for what
    /// those that run have yet to give, half of their output each, if all are of this size.
    fn fits(&self, report: &LoadReport) -> bool {
        let growth = report.waiting * self.memory + report.running * self.output / 2;
        self.capacity == 0 || report.used + growth + self.memory <= self.capacity
    }

    /// Whether one of the servers that were asked has room.
    ///
    /// Answers the load that is left to few servers when others are lost: where the first that were asked
    /// are full, a generation would interrupt another one, or be interrupted itself, and its prompt be read
    /// again.
    pub fn fits_any(&self, reports: &[Option<LoadReport>]) -> bool {
        reports.iter().flatten().any(|r| self.fits(r))
    }
}

/// The index of the best of servers that were asked; those that did not answer come last.
///
/// Answers a fleet of many hosts, each of which sees little of a server's load: a few servers are
/// asked, and the prompt goes where the fewest prompts wait; among equals, to the first.
pub fn best_report(reports: &[Option<LoadReport>], need: &Need) -> Option<usize> {
    let order = |i: &usize| match reports[*i] {
        Some(r) => (false, !need.fits(&r), r.waiting, r.running, *i),
        None => (true, false, 0, 0, *i),
    };
    (0..reports.len()).min_by_key(order)
}

/// The index of the server to use, if there is any that is not left out.
pub fn place(candidates: &[Candidate<'_>], request: &PlaceRequest<'_>) -> Option<usize> {
    (0..candidates.len())
        .filter(|i| !candidates[*i].is_ejected)
        .min_by_key(|i| rank(candidates, request, *i))
}

/// What makes one server better than another; the least is the best.
type Rank = (bool, bool, bool, bool, bool, u64, u64, u64, u64);

fn rank(candidates: &[Candidate<'_>], request: &PlaceRequest<'_>, i: usize) -> Rank {
    let c = &candidates[i];
    let used = c.load.memory + c.load.backups;
    (
        request.avoid.contains(&c.server),
        c.is_suspected,
        request.avoid_centre == Some(c.data_centre),
        c.capacity > 0 && used + request.memory > c.capacity,
        request
            .prefer_centre
            .is_some_and(|centre| centre != c.data_centre),
        c.load.prefill,
        used,
        c.load.running,
        stable(&(request.seed ^ (i as u64).rotate_left(32)).to_le_bytes()),
    )
}
