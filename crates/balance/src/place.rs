//! Where a request is placed when the memory of engines is the limit.
//!
//! Answers the load of long generations on engines whose memory holds few of them: a prompt waits
//! for the prompts before it, and a generation that does not fit interrupts another one. Both count
//! before the number of requests. Placed by what this host knows of its own requests; equal choices
//! are drawn at random, so that hosts do not all take the same server.

use base::hash::stable;

/// What this host has placed at a server and what the server has told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Tokens of prompts that have given no output yet.
    pub prefill: u64,
    /// Tokens of memory for the generations that run, with their output.
    pub memory: u64,
    /// Tokens of memory for copies of generations that run elsewhere.
    pub copies: u64,
    /// Requests in flight.
    pub running: u64,
}

/// A server that may be chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a str,
    /// Its data centre.
    pub centre: &'a str,
    /// Whether it is left out for its failures.
    pub is_ejected: bool,
    /// Its load.
    pub load: Load,
    /// The tokens that its memory holds; 0 for a plain service.
    pub capacity: u64,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wish<'a> {
    /// Tokens of memory that are needed.
    pub memory: u64,
    /// Servers that are taken only if there is no other.
    pub avoid: &'a [&'a str],
    /// A data centre that is taken only if there is no other.
    pub avoid_centre: Option<&'a str>,
    /// A number that spreads equal choices, drawn at random.
    pub spread: u64,
}

/// The index of the server to use, if there is any that is not left out.
pub fn place(candidates: &[Candidate<'_>], wish: &Wish<'_>) -> Option<usize> {
    let order = |i: &usize| {
        let c = &candidates[*i];
        let is_avoided = wish.avoid.contains(&c.server);
        let is_near = wish.avoid_centre == Some(c.centre);
        let used = c.load.memory + c.load.copies;
        let is_full = c.capacity > 0 && used + wish.memory > c.capacity;
        let turn = stable(&(wish.spread ^ (*i as u64).rotate_left(32)).to_le_bytes());
        (
            is_avoided,
            is_near,
            is_full,
            c.load.prefill,
            used,
            c.load.running,
            turn,
        )
    };
    (0..candidates.len())
        .filter(|i| !candidates[*i].is_ejected)
        .min_by_key(order)
}
