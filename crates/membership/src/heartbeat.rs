//! The heartbeat message that agents exchange.
//!
//! A heartbeat carries the changes that its receiver has not acknowledged; the receiver acknowledges by
//! `echo` in its own heartbeats. An answer to a heartbeat is a heartbeat too.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::listed::Place;

/// A heartbeat, as request and as answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Host of the sending agent.
    pub host: HostId,
    /// Incarnation of the sending agent.
    pub incarnation: Incarnation,
    /// Sequence number within the sender's incarnation.
    pub seq: u64,
    /// The receiver's incarnation that `echo` refers to, as last known to the sender.
    #[serde(rename = "to")]
    pub peer_incarnation: Incarnation,
    /// The highest sequence number up to which the sender has applied that incarnation's heartbeats.
    ///
    /// It proves that the sender was running after that heartbeat was sent, and that it has all that the
    /// heartbeat carried.
    pub echo: u64,
    /// Whether this is a full snapshot rather than the changes since the receiver's last echo.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Whether the sender's host is leaving.
    pub leaving: bool,
    /// Addresses of the sender's host; `None` once the receiver has acknowledged a heartbeat, and while the
    /// host list has not confirmed them.
    pub place: Option<Place>,
    /// Changes of other hosts.
    pub hosts: Vec<HostUpdate>,
    /// Changes of backend servers other than their load.
    pub backends: Vec<BackendUpdate>,
    /// Changes of the load of backend servers.
    pub loads: Vec<LoadUpdate>,
}

/// The state of another host, as reported by an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostUpdate {
    /// The host reported on.
    pub host: HostId,
    /// The incarnation reported on; `None` if the agent knows of none yet.
    pub incarnation: Option<Incarnation>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether the agent takes it as running.
    pub alive: bool,
}

/// The state of a backend server other than its load, as reported by an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendUpdate {
    /// The backend server reported on.
    pub backend: BackendId,
    /// The incarnation reported on.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it answers polls.
    pub alive: bool,
    /// Maximum number of concurrent requests.
    pub slots: u64,
    /// The models that it has loaded.
    pub models: Vec<Model>,
}

/// The load of a backend server, as reported by an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// The backend server reported on.
    pub backend: BackendId,
    /// Number of running requests.
    pub running: u64,
    /// Number of queued requests.
    pub queued: u64,
    /// Age of the figures when this update was sent.
    pub age: Millis,
}
