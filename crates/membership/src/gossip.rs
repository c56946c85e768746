//! What entry hosts tell each other in passing: their use of the shared retry budgets, and the backend
//! servers that they found to be gone.
//!
//! Each digest stands for itself; lost, late and repeated ones do no harm. Nothing here is agreed on:
//! a host that hears of nobody goes on with its own share.

use std::net::SocketAddr;

use base::prelude::*;
use base::sorted::Sorted;
use serde::{Deserialize, Serialize};

/// A peer that was not heard for this time takes no part in shared sums.
const FRESH: Millis = Millis(2_000);

/// The lost servers that one digest names at most, so that it fits a datagram.
const MAX_LOST: usize = 48;

/// How long a lost server is told of.
const TELL_LOST: Millis = Millis(1_500);

/// The use of the retry budget of one service, within the last window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The hash of the service's name.
    pub service: u32,
    /// The requests.
    pub requests: u32,
    /// The repeats.
    pub repeats: u32,
}

/// A server that a host found to be gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lost {
    /// The hash of the server's id.
    pub server: u32,
    /// How long ago, in milliseconds.
    pub age: u32,
}

/// What one host tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The number of the digest in this life.
    pub seq: u64,
    /// Whether the sender stops and is to be forgotten.
    pub leaves: bool,
    /// Its use of the retry budgets.
    pub usage: Vec<Usage>,
    /// The servers that it found to be gone lately.
    pub lost: Vec<Lost>,
}

/// Another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it takes digests.
    pub addr: SocketAddr,
    incarnation: Incarnation,
    seq: u64,
    heard: Option<Millis>,
    usage: Vec<Usage>,
}

/// The sums of one service over the hosts that are heard of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shared {
    /// The hosts that are heard of, this one included.
    pub heard: u64,
    /// The hosts that are known, this one included.
    pub known: u64,
    /// The requests of the others.
    pub requests: u64,
    /// The repeats of the others.
    pub repeats: u64,
}

/// The other hosts and what they last told.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    host: HostId,
    incarnation: Incarnation,
    seq: u64,
    peers: Sorted<HostId, Peer>,
    lost: Vec<(u32, Millis)>,
}

impl Gossip {
    /// A host that has heard of nobody yet.
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            ..Self::default()
        }
    }

    /// Takes in where a host takes digests.
    pub fn listed(&mut self, host: &HostId, addr: SocketAddr) {
        if *host == self.host {
            return;
        }
        let peer = self.peers.entry(host.clone(), || Peer {
            addr,
            incarnation: Incarnation::default(),
            seq: 0,
            heard: None,
            usage: Vec::new(),
        });
        if peer.heard.is_none() {
            peer.addr = addr;
        }
    }

    /// Takes in a digest that came from `from`; returns the lost servers that it names, or `None` if
    /// it is an old one.
    pub fn heard(&mut self, now: Millis, from: SocketAddr, digest: &Digest) -> Option<Vec<Lost>> {
        if digest.host == self.host {
            return None;
        }
        if digest.leaves {
            self.peers.remove(&digest.host);
            return None;
        }
        self.listed(&digest.host, from);
        let peer = self.peers.get_mut(&digest.host)?;
        let is_old = peer.incarnation == digest.incarnation && digest.seq <= peer.seq;
        if is_old && peer.heard.is_some() {
            return None;
        }
        peer.addr = from;
        peer.incarnation = digest.incarnation;
        peer.seq = digest.seq;
        peer.heard = Some(now);
        peer.usage.clone_from(&digest.usage);
        Some(digest.lost.clone())
    }

    /// This host found a server to be gone.
    pub fn lost(&mut self, now: Millis, server: u32) {
        self.lost.retain(|(s, _)| *s != server);
        self.lost.push((server, now));
    }

    /// The next digest.
    pub fn digest(&mut self, now: Millis, usage: Vec<Usage>, leaves: bool) -> Digest {
        self.seq += 1;
        self.lost.retain(|(_, at)| now.since(*at) < TELL_LOST);
        let newest = self.lost.iter().rev().take(MAX_LOST);
        let lost = newest.map(|(server, at)| Lost {
            server: *server,
            age: u32::try_from(now.since(*at).0).unwrap_or(u32::MAX),
        });
        Digest {
            host: self.host.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            leaves,
            usage,
            lost: lost.collect(),
        }
    }

    /// Where digests go.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.peers.iter().map(|(_, p)| p.addr).collect()
    }

    /// The sums of one service over the other hosts that are heard of.
    pub fn shared(&self, now: Millis, service: u32) -> Shared {
        let mut sums = Shared {
            heard: 1,
            known: 1 + self.peers.len() as u64,
            ..Shared::default()
        };
        let is_fresh = |p: &&Peer| p.heard.is_some_and(|at| now.since(at) < FRESH);
        for peer in self.peers.iter().map(|(_, p)| p).filter(is_fresh) {
            sums.heard += 1;
            for usage in peer.usage.iter().filter(|u| u.service == service) {
                sums.requests += u64::from(usage.requests);
                sums.repeats += u64::from(usage.repeats);
            }
        }
        sums
    }
}
