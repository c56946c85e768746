//! From whom a node learns of new versions.
//!
//! All nodes of a data centre stand in one order, by rendezvous hashing of their names. The first
//! ones that are live watch the store; each other node follows nodes before it in the order, so
//! that no two nodes can follow each other whatever each believes of the rest.

use base::hash::rendezvous;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// The key under which nodes are ordered.
const ORDER: &str = "config-order";

/// The nodes that watch the store in each data centre.
pub const WATCHERS: usize = 2;

/// The nodes that follow one node of a tree first.
pub const FANOUT: usize = 3;

/// How new versions spread within a data centre.
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
    /// All nodes watch the store.
    Poll,
    /// All nodes follow the watchers.
    Flat,
    /// Nodes follow nodes that follow the watchers, each over two links.
    #[default]
    Tree,
}

/// The part of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It watches the store.
    Watch,
    /// It follows these nodes, the first one for changes and the second for their versions.
    Follow(Vec<String>),
}

/// The part of `own` among the `live` nodes of its data centre.
pub fn role(topology: Topology, own: &str, live: &[&str]) -> Role {
    let before = ahead(own, live);
    let place = before.len();
    if topology == Topology::Poll || place < WATCHERS {
        return Role::Watch;
    }
    let (first, second) = match topology {
        Topology::Tree => tree_links(place),
        // Half of the nodes follow each of the watchers.
        _ => (place % WATCHERS, (place + 1) % WATCHERS),
    };
    Role::Follow(vec![before[first].to_owned(), before[second].to_owned()])
}

/// The places that the node at `place` follows; the second leads to another subtree.
fn tree_links(place: usize) -> (usize, usize) {
    let first = (place - WATCHERS) / FANOUT;
    (first, first + 1)
}

/// The live nodes before `own`, in order.
fn ahead<'a>(own: &str, live: &[&'a str]) -> Vec<&'a str> {
    let rank = |name: &str| (rendezvous(ORDER, name), name.to_owned());
    let limit = rank(own);
    let mut before: Vec<&str> = live
        .iter()
        .copied()
        .filter(|name| *name != own && rank(name) > limit)
        .collect();
    before.sort_by_key(|name| std::cmp::Reverse(rank(name)));
    before
}
