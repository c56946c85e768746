//! What an agent tells the router of its host and other agents.

use std::net::SocketAddr;

use base::prelude::*;
use membership::Heartbeat;
use profiles::cache::Update;
use profiles::document::Document;
use serde::{Deserialize, Serialize};

/// An entry host, as an agent sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostView {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where its router takes calls of its peers.
    pub router: SocketAddr,
    /// Where its agent takes calls of its peers.
    pub agent: SocketAddr,
    /// The life of its agent, if it was heard of.
    pub incarnation: Option<Incarnation>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it is reachable.
    pub alive: bool,
}

/// A backend server, as an agent sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendView {
    /// The backend server.
    pub backend: BackendId,
    /// The service of which it is a part.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its life, if it has reported.
    pub incarnation: Option<Incarnation>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it answers.
    pub alive: bool,
    /// The requests that it runs.
    pub running: u64,
    /// The requests that wait there.
    pub queued: u64,
    /// The most requests that it runs at once; 0 if unknown.
    pub slots: u64,
    /// The models that it holds.
    pub models: Vec<Model>,
    /// The age of the report when the agent got it, in milliseconds.
    pub age_ms: u64,
    /// The hashes of prompt blocks that it holds, sorted.
    pub blocks: Vec<u64>,
}

/// All that an agent knows that its router needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The number of changes of the view in this life of the agent.
    pub revision: u64,
    /// The life of the agent.
    pub incarnation: Incarnation,
    /// The configuration; `None` if the asker has this version.
    pub document: Option<Document>,
    /// The version of the configuration; 0 if there is none.
    pub version: Version,
    /// The entry hosts, sorted by name.
    pub hosts: Vec<HostView>,
    /// The backend servers, sorted by name.
    pub backends: Vec<BackendView>,
    /// Whether this host is to take no new work.
    pub drain: bool,
}

/// What an agent tells another one of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The version that it holds; 0 if it holds none.
    pub version: Version,
    /// Whether it has heard lately, itself or through others, what the platform holds.
    pub is_fresh: bool,
    /// What the asker lacks.
    #[serde(rename = "news")]
    pub update: Update,
}

/// What an agent says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    /// The host.
    pub host: HostId,
    /// The life of the agent.
    pub incarnation: Incarnation,
    /// Where it takes the calls of operators.
    pub admin: SocketAddr,
    /// The version of the configuration in force; 0 if there is none.
    pub version: Version,
}

/// What an agent asks another one of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// The version that the asker holds.
    pub after: Version,
    /// How long the answer may be held back while there is nothing new, in milliseconds.
    pub wait_ms: u64,
    /// Whether only the version is wanted.
    #[serde(rename = "is_brief")]
    pub version_only: bool,
}

/// Calls that an agent takes.
#[tarpc::service]
pub trait AgentPeer {
    /// The view, once its revision differs from `revision` or `wait_ms` have passed.
    ///
    /// The document is left out if the asker holds `version`.
    async fn view(revision: u64, version: Version, wait_ms: u64) -> View;

    /// The configuration's newer versions, once there are any or the wait has passed.
    async fn changes(ask: ChangesRequest) -> Changes;

    /// The agent itself.
    async fn about() -> About;
    /// A heartbeat, answered by one.
    async fn heartbeat(beat: Heartbeat) -> Heartbeat;

    /// The host of this agent takes no new work from now on.
    async fn leave();
}
