//! Calls that an agent answers for the router of its host and for other agents.

use std::net::SocketAddr;

use base::prelude::*;
use membership::Heartbeat;
use profiles::cache::Update;
use profiles::document::Document;
use serde::{Deserialize, Serialize};

/// An entry host in the view of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostView {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address on which its router accepts peer calls.
    pub router: SocketAddr,
    /// Address on which its agent accepts peer calls.
    pub agent: SocketAddr,
    /// Incarnation of its agent; `None` until one has been reported.
    pub incarnation: Option<Incarnation>,
    /// Whether it is leaving, and gets no new work.
    pub leaving: bool,
    /// Whether it can be taken as running: alive, or listed without a message so far. Always true for the
    /// agent's own host.
    pub alive: bool,
}

/// A backend server in the view of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendView {
    /// The backend server.
    pub backend: BackendId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address on which it accepts requests.
    pub addr: SocketAddr,
    /// Its incarnation; `None` until one has been reported.
    pub incarnation: Option<Incarnation>,
    /// Whether it is leaving, and gets no new work.
    pub leaving: bool,
    /// Whether it answers the polls of agents.
    pub alive: bool,
    /// Number of running requests.
    pub running: u64,
    /// Number of queued requests.
    pub queued: u64,
    /// Maximum number of concurrent requests; 0 if unknown.
    pub slots: u64,
    /// The models that it has loaded.
    pub models: Vec<Model>,
    /// Age of its load figures when the agent built the view, in milliseconds; 0 if there are none.
    pub age_ms: u64,
    /// Hashes of the prompt blocks in its KV cache, sorted.
    pub blocks: Vec<u64>,
}

/// The state of the deployment, as an agent provides it to the router of its host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Sequence number of the view within this incarnation of the agent; starts at 1.
    pub revision: u64,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// The configuration; `None` if the router already has this version.
    pub document: Option<Document>,
    /// Version of the configuration; 0 if there is none.
    pub version: Version,
    /// The entry hosts, sorted by name.
    pub hosts: Vec<HostView>,
    /// The backend servers, sorted by name.
    pub backends: Vec<BackendView>,
    /// Whether this host is leaving, and its router must accept no new work.
    pub drain: bool,
}

/// Configuration changes, the answer to a [`ChangesRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The version that the answering agent holds; 0 if it holds none.
    pub version: Version,
    /// Whether the answering agent has recently read the version at the platform, itself or through
    /// other agents.
    pub is_fresh: bool,
    /// What the calling agent lacks; empty for a `version_only` request.
    #[serde(rename = "news")]
    pub update: Update,
}

/// Identity and configuration version of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    /// Host of the agent.
    pub host: HostId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Address on which it accepts operators' requests.
    pub admin: SocketAddr,
    /// Version of the configuration in force; 0 if there is none.
    pub version: Version,
}

/// A long poll of another agent for newer versions of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// The version that the calling agent holds; 0 if it holds none.
    pub after: Version,
    /// How long the answer may be delayed until there is a change, in milliseconds.
    pub wait_ms: u64,
    /// Whether the answer carries only the version and no changes.
    #[serde(rename = "is_brief")]
    pub version_only: bool,
}

/// The service of an agent for the router of its host and for other agents.
#[tarpc::service]
pub trait AgentPeer {
    /// Returns the view once its revision differs from `revision`, or after `wait_ms`.
    ///
    /// The document is omitted unless it is newer than `version`, the one that the router holds. Revision 0
    /// is never in use, so a call with it returns at once.
    async fn view(revision: u64, version: Version, wait_ms: u64) -> View;

    /// Returns newer versions of the configuration once there are any, once the freshness of this agent's
    /// version changes, or after the wait.
    async fn changes(ask: ChangesRequest) -> Changes;

    /// Returns the identity of the agent and the version of its configuration.
    async fn about() -> About;

    /// Applies a heartbeat and answers with this agent's own.
    async fn heartbeat(beat: Heartbeat) -> Heartbeat;

    /// Marks the host of this agent as leaving for the rest of this incarnation, so that it gets no new work.
    async fn leave();
}
