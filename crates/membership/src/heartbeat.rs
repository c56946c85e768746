//! The message that agents exchange.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::listed::Place;

/// A heartbeat, as question and as answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The number of the beat in this life of the sender.
    pub seq: u64,
    /// The life of the receiver that the sender has last heard of.
    #[serde(rename = "to")]
    pub peer_incarnation: Incarnation,
    /// The highest number that the sender has seen from that life.
    ///
    /// It proves that the sender was running after that beat, and that it has all that the beat
    /// carried.
    pub echo: u64,
    /// Whether the beat tells all, not only what has changed since the receiver's last echo.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Whether the sender's host leaves.
    pub leaving: bool,
    /// Where the sender is reached, until the receiver has shown that it knows.
    pub place: Option<Place>,
    /// What the sender knows of hosts and the receiver may not.
    pub hosts: Vec<HostUpdate>,
    /// What the sender knows of backend servers and the receiver may not.
    pub backends: Vec<BackendUpdate>,
    /// Loads that have changed since the receiver last heard of them.
    pub loads: Vec<LoadUpdate>,
}

/// What an agent says of another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostUpdate {
    /// The host.
    pub host: HostId,
    /// The life of which this is said.
    pub incarnation: Option<Incarnation>,
    /// Whether it leaves.
    pub leaving: bool,
    /// Whether it answers.
    pub alive: bool,
}

/// What an agent says of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendUpdate {
    /// The backend server.
    pub backend: BackendId,
    /// The life of which this is said.
    pub incarnation: Incarnation,
    /// Whether it leaves.
    pub leaving: bool,
    /// Whether it answers.
    pub alive: bool,
    /// The most requests that it runs at once.
    pub slots: u64,
    /// The models that it holds.
    pub models: Vec<Model>,
}

/// The load of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// The backend server.
    pub backend: BackendId,
    /// The requests that it runs.
    pub running: u64,
    /// The requests that wait there.
    pub queued: u64,
    /// The age of the report when it was sent on.
    pub age: Millis,
}
