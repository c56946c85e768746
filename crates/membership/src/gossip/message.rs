//! The datagrams that hosts exchange.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::EnumCount;

/// Number of windows in which requests are counted: the current one, the one half a window earlier, and the
/// one before that.
pub const WINDOWS: usize = 3;

/// The usage of one service's retry budget, by one host or summed over several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Hash of the service name.
    pub service: u32,
    /// Requests in each of the [`WINDOWS`].
    pub requests: [u32; WINDOWS],
    /// Retries within the last window.
    #[serde(rename = "repeats")]
    pub retries: u32,
    /// Number of hosts with requests that wait for a retry; 0 or 1 for one host.
    pub waiting: u32,
}

/// A server that a host found to have failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedServer {
    /// Hash of the server id.
    pub server: u32,
    /// Time since it was found, in milliseconds.
    pub age: u32,
}

/// A server that ended as it began to answer a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of the server id.
    pub server: u32,
    /// Time since the crash, in milliseconds.
    pub age: u32,
    /// Hashes of the shared parts of the request's prompt.
    pub parts: Vec<u64>,
}

/// Prompt parts that together end servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FatalPrompt {
    /// Hashes of the parts.
    pub parts: Vec<u64>,
    /// Time since the last crash, in milliseconds.
    pub age: u32,
    /// How long after the last crash no request with them is sent, in milliseconds.
    pub hold: u32,
}

/// A prompt part that was in a sound answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundPart {
    /// Hash of the part.
    pub part: u64,
    /// Time since the answer, in milliseconds.
    pub age: u32,
}

/// What a host knows of prompts that end servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptEvidence {
    /// Recent crashes that no quarantine explains.
    pub crashes: Vec<CrashReport>,
    /// The quarantines in force.
    pub fatal: Vec<FatalPrompt>,
    /// Parts that were under suspicion and are sound.
    pub sound: Vec<SoundPart>,
}

/// What a server last said of the requests that it takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLimit {
    /// Hash of the server id.
    pub server: u32,
    /// Requests in thousandths a second; `None` without a limit.
    pub limit: Option<u64>,
    /// Time since it said so, in milliseconds.
    pub age: u32,
}

/// A server that has said that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingServer {
    /// Hash of the server id.
    pub server: u32,
    /// Unix time of its start, in milliseconds, as far as the sender knows; 0 if it does not.
    pub start_time: u64,
}

/// A datagram from one host to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Name of the sender.
    pub host: HostId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation.
    pub seq: u64,
    /// Whether the sender is stopping, so that the receiver drops its reports.
    pub leaves: bool,
    /// Servers that failed recently, whoever found it.
    #[serde(rename = "lost")]
    pub failed: Vec<FailedServer>,
    /// Usage of the sender, of its data centre or of all others.
    pub body: Body,
}

/// Number of the kinds of messages, which a host states in its row.
pub const KINDS: u8 = Body::COUNT as u8;

/// The kinds of message, by sender and receiver. Each keeps its place, by which hosts of other versions know it; later
/// ones are added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, EnumCount)]
pub enum Body {
    /// From a host to the hub of its data centre: its own usage.
    Digest(Vec<Usage>),
    /// From a hub to another: the usage of the hub and its members.
    Centre {
        /// Number of hosts summed, the hub included.
        hosts: u32,
        /// Sums by service.
        usage: Vec<Usage>,
    },
    /// From a hub to a member: the usage of all other hosts.
    Others {
        /// Sequence number of the digest that is answered; 0 if the message only carries failed servers.
        digest: u64,
        /// Number of reporting hosts, the receiver included.
        hosts: u32,
        /// Sums by service over the hosts other than the receiver.
        usage: Vec<Usage>,
        /// For each entry of `usage`, the number of waiting hosts that come before the receiver.
        ranks: Vec<u32>,
    },
    /// From a host to its hub, and from a hub to its members and the other hubs; hosts of earlier versions skip it.
    Prompts(PromptEvidence),
    /// As [`Body::Prompts`]: limits of servers that have changed.
    Limits(Vec<ServerLimit>),
    /// As [`Body::Prompts`]: servers that have said that they are leaving.
    Leaving(Vec<LeavingServer>),
    /// As [`Body::Prompts`]: whole requests, whose hash is their only part.
    Requests(PromptEvidence),
}
