//! The distribution topology of new configuration versions.
//!
//! The agents of a data centre are ordered by rendezvous hashing of their host names. The first live
//! ones watch the store; every other agent follows agents before it in the order. So no two agents
//! can follow each other, even if their views of the live agents differ.

use base::hash::rendezvous;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Rendezvous hashing key of the order.
const ORDER: &str = "config-order";

/// Number of agents that watch the store in each data centre.
pub const WATCHERS: usize = 2;

/// Maximum number of agents that fetch changes from the same agent in a tree.
pub const FANOUT: usize = 3;

/// How new versions are distributed within a data centre.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Topology {
    /// All agents watch the store.
    Poll,
    /// All other agents follow the watchers.
    Flat,
    /// Agents form a tree below the watchers, each following two agents.
    #[default]
    Tree,
}

/// The role of one agent in the distribution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It watches the store.
    Watch,
    /// It follows these agents: it fetches changes from the first and checks the version of the
    /// second.
    Follow(Vec<String>),
}

/// The role of the agent `own` among the `live` agents of its data centre.
pub fn role(topology: Topology, own: &str, live: &[&str]) -> Role {
    let before = predecessors(own, live);
    let position = before.len();
    if topology == Topology::Poll || position < WATCHERS {
        return Role::Watch;
    }
    let (first, second) = match topology {
        Topology::Tree => tree_links(position),
        // The first links are divided evenly among the watchers.
        _ => (position % WATCHERS, (position + 1) % WATCHERS),
    };
    Role::Follow(vec![before[first].to_owned(), before[second].to_owned()])
}

/// The positions of the agents that the one at `position` follows; the second is in another subtree.
fn tree_links(position: usize) -> (usize, usize) {
    let first = (position - WATCHERS) / FANOUT;
    (first, first + 1)
}

/// The live agents before `own`, in order.
fn predecessors<'a>(own: &str, live: &[&'a str]) -> Vec<&'a str> {
    let rank = |name: &str| (rendezvous(ORDER, name), name.to_owned());
    let own_rank = rank(own);
    let mut before: Vec<&str> = live
        .iter()
        .copied()
        .filter(|name| *name != own && rank(name) > own_rank)
        .collect();
    before.sort_by_key(|name| std::cmp::Reverse(rank(name)));
    before
}
