//! Placement of prompts on engines whose KV cache is the bottleneck.
//!
//! Long generations run on engines whose KV cache holds only few of them: a prompt waits for the prefill of
//! the prompts ahead of it, and a generation that does not fit preempts another one. Both therefore rank
//! before the number of requests. [`place`] goes by this host's own requests only; ties are broken at random,
//! so that hosts do not all choose the same server. [`shortlist`] and [`best_report`] choose by polling.

use std::cmp::Reverse;

use base::hash::{rendezvous, stable};

/// Load that this host's requests put on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Tokens of prompts without output yet, whose prefill is still pending.
    pub prefill: u64,
    /// KV-cache tokens of running generations, including their whole output.
    pub memory: u64,
    /// KV-cache tokens of backups of generations that run at other servers.
    pub backups: u64,
    /// Requests in flight.
    pub running: u64,
}

/// A server that may be chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Id of the server.
    pub server: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Whether it is ejected for its failures.
    pub is_ejected: bool,
    /// Whether its limit or a pause leaves no room for the request now.
    pub is_held: bool,
    /// Whether another host reports it as failed while this host has not observed a failure itself.
    pub is_suspected: bool,
    /// Load from this host's requests.
    pub load: Load,
    /// Size of its KV cache in tokens; 0 for a plain service, which has none.
    pub capacity: u64,
}

impl Candidate<'_> {
    /// Whether it may be chosen at all.
    fn is_open(&self) -> bool {
        !self.is_ejected && !self.is_held
    }
}

/// Request to be placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlaceRequest<'a> {
    /// KV-cache tokens needed.
    pub memory: u64,
    /// Servers chosen only if there is no other.
    pub avoid: &'a [&'a str],
    /// Data centre whose servers are chosen only if there is no other.
    pub avoid_centre: Option<&'a str>,
    /// Data centre whose servers are chosen before others, if they have room.
    pub prefer_centre: Option<&'a str>,
    /// Random number that breaks ties.
    pub seed: u64,
    /// Hash of the prompt, which is the same for each retry; `None` to order servers by the seed.
    pub prompt_hash: Option<u64>,
}

/// Load that a polled server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that are queued or whose prefill is running.
    pub waiting: u64,
    /// Requests that generate output.
    pub running: u64,
    /// KV-cache tokens in use that cannot be freed.
    pub used: u64,
    /// Tokens of the prompt to be placed that the server has cached.
    pub cached: u64,
}

/// Indices of at most `count` servers to poll, the one most likely to have the prompt cached first.
///
/// When a host fails, its callers continue their streams through another one. By rendezvous hashing all hosts
/// find the same few servers for the same prompt, so the new host finds the server that ran it before and
/// still has it in its KV cache.
pub fn shortlist(
    candidates: &[Candidate<'_>],
    request: &PlaceRequest<'_>,
    count: usize,
) -> Vec<usize> {
    let key = format!("{:x}", request.prompt_hash.unwrap_or(request.seed));
    let mut eligible: Vec<usize> = (0..candidates.len())
        .filter(|i| candidates[*i].is_open())
        .collect();
    eligible.sort_by_cached_key(|i| {
        let c = &candidates[*i];
        let is_last = request.avoid.contains(&c.server);
        (is_last, c.is_suspected, Reverse(rendezvous(&key, c.server)))
    });
    eligible.truncate(count);
    eligible
}

/// KV-cache memory that a generation needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// KV-cache tokens of the prompt and the whole output.
    pub memory: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of output.
    pub output: u64,
    /// Size of a server's KV cache in tokens; 0 for a plain service, which has none.
    pub capacity: u64,
}

impl Need {
    /// Whether a server has room until the generation ends, next to the requests that wait there and the
    /// remaining output of those that run.
    ///
    /// All are taken to be of this size, and those that run to have half of their output left on average.
    fn fits(&self, report: &LoadReport) -> bool {
        let growth = report.waiting * self.memory + report.running * self.output / 2;
        self.capacity == 0 || report.used + growth + self.memory <= self.capacity
    }

    /// Prompt tokens that a server prefills before the generation has its first output.
    ///
    /// The prompts that wait are taken to be of this size and not cached.
    fn backlog(&self, report: &LoadReport) -> u64 {
        // A prompt of unknown size counts as one token, so that the number of waiting prompts decides.
        let prompt = self.prompt.max(1);
        report.waiting * prompt + prompt.saturating_sub(report.cached)
    }

    /// Whether any of the polled servers has room; if not, the caller polls further servers.
    ///
    /// After failures the remaining servers carry more load and the first ones polled may all be full. A
    /// generation placed there would preempt another one or be preempted itself, which repeats a prefill.
    pub fn fits_any(&self, reports: &[Option<LoadReport>]) -> bool {
        reports.iter().flatten().any(|r| self.fits(r))
    }
}

/// Index of the best of the polled servers; those that did not answer come last.
///
/// Among many hosts each one knows only a small part of a server's load, so a few servers are polled. Servers
/// with room rank first, then those with the fewest prompt tokens to prefill, of which a cached prompt adds
/// none; then those that have the most of the prompt cached, then those that run the fewest requests. Ties go
/// to the first, which is the most likely to have the prompt cached.
pub fn best_report(reports: &[Option<LoadReport>], need: &Need) -> Option<usize> {
    let order = |i: &usize| match reports[*i] {
        Some(r) => (
            false,
            !need.fits(&r),
            need.backlog(&r),
            Reverse(r.cached),
            r.running,
            *i,
        ),
        None => (true, false, 0, Reverse(0), 0, *i),
    };
    (0..reports.len()).min_by_key(order)
}

/// Index of the chosen server; `None` if all are ejected or held.
pub fn place(candidates: &[Candidate<'_>], request: &PlaceRequest<'_>) -> Option<usize> {
    (0..candidates.len())
        .filter(|i| candidates[*i].is_open())
        .min_by_key(|i| rank(candidates, request, *i))
}

/// Sort key of a server; the smallest is the best.
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
