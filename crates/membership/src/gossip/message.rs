//! The messages between hosts.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// The windows in which requests are counted: this one, that half a window before, and that before.
pub const WINDOWS: usize = 3;

/// The use of the retry budget of one service within the last window, by one host or by several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The hash of the service's name.
    pub service: u32,
    /// The requests, in each of the windows.
    pub requests: [u32; WINDOWS],
    /// The repeats.
    #[serde(rename = "repeats")]
    pub retries: u32,
    /// The hosts with requests that wait for a repeat.
    pub waiting: u32,
}

/// A server that a host found to be gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedServer {
    /// The hash of the server's id.
    pub server: u32,
    /// How long ago, in milliseconds.
    pub age: u32,
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The number of the message in this life.
    pub seq: u64,
    /// Whether the sender stops and is to be forgotten.
    pub leaves: bool,
    /// The servers found to be gone lately.
    #[serde(rename = "lost")]
    pub failed: Vec<FailedServer>,
    /// What the message is for.
    pub body: Body,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// From a host to the hub of its data centre: its own use.
    Digest(Vec<Usage>),
    /// From a hub to another: the use of the hosts that it serves.
    Centre {
        /// How many these are, the hub included.
        hosts: u32,
        /// The sums of their use.
        usage: Vec<Usage>,
    },
    /// From a hub to a host that it serves: the use of all other hosts.
    Others {
        /// The number of the host's digest that is answered; 0 if the message only tells of lost servers.
        digest: u64,
        /// The hosts that are heard of, the receiver included.
        hosts: u32,
        /// The sums of the use of the others.
        usage: Vec<Usage>,
        /// For each of `usage`, the hosts with waiting requests that come before the receiver.
        ranks: Vec<u32>,
    },
}
