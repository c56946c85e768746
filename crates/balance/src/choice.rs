//! The choice of one server for one request.

use base::prelude::*;

/// What is known of one server when a request is placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server<'a> {
    /// The server.
    pub backend: &'a BackendId,
    /// Whether it may be chosen at all: alive, not leaving, holding the model.
    pub is_usable: bool,
    /// Whether it is in the router's own data centre.
    pub is_near: bool,
    /// The requests that this router has running there.
    pub own: u64,
    /// The requests that it last reported as running or waiting.
    pub reported: u64,
    /// The most requests that it runs at once; 0 if unknown.
    pub slots: u64,
    /// How many of the prompt's blocks it holds, as far as is known.
    pub cached: u64,
}

/// What is asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask<'a> {
    /// Servers that are taken only if there is no other.
    pub avoid: &'a [BackendId],
    /// A number that spreads equal choices, drawn at random.
    pub spread: u64,
}

/// The index of the server to use, if any is usable.
pub fn choose(servers: &[Server<'_>], ask: &Ask<'_>) -> Option<usize> {
    let usable = servers.iter().enumerate().filter(|(_, s)| s.is_usable);
    usable
        .min_by_key(|(i, server)| {
            let is_avoided = ask.avoid.contains(server.backend);
            let load = server.own.max(server.reported);
            let turn = base::hash::stable(&(ask.spread ^ *i as u64).to_le_bytes());
            (is_avoided, !server.is_near, load, turn)
        })
        .map(|(i, _)| i)
}
