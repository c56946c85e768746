//! Settings of `gooseberry-agent`.

use std::net::SocketAddr;

use base::prelude::*;
use profiles::check::Fault;
use profiles::topology::Topology;
use serde::{Deserialize, Serialize};

use crate::common::{Log, address_fault, name_fault};
use crate::load::Validate;
use crate::router::default_platform_ms;

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Name of the host, as in the platform's host list.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Addresses on which the agent listens.
    pub listen: Listen,
    /// Address of the platform's table and object store.
    pub platform: SocketAddr,
    /// Time limit of a call to the platform, in milliseconds.
    #[serde(default = "default_platform_ms")]
    pub platform_ms: u64,
    /// Interval between polls of the platform, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// Interval between polls of a backend server's load, in milliseconds.
    #[serde(default = "default_load_ms")]
    pub load_ms: u64,
    /// Agents from which to fetch the configuration while the platform is unavailable.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// How new versions of the configuration are distributed within the data centre.
    #[serde(default)]
    pub spread: Topology,
    /// Digest of the operators' key, see [`base::hash::key_digest`]; with `None`, operators' requests
    /// are rejected.
    #[serde(default)]
    pub operator_digest: Option<String>,
    /// Log level and format.
    #[serde(default)]
    pub log: Log,
    /// Address of the statsd server; `None` turns metrics off.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// Addresses on which an agent listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for the host's router and for other agents.
    pub peers: SocketAddr,
    /// Address for operators: state, readiness and configuration changes.
    pub admin: SocketAddr,
}

/// The default of [`Agent::poll_ms`].
fn default_poll_ms() -> u64 {
    500
}

/// The default of [`Agent::load_ms`].
fn default_load_ms() -> u64 {
    250
}

impl Validate for Agent {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        faults.extend(name_fault("host", self.host.as_str()));
        faults.extend(name_fault("data_centre", self.data_centre.as_str()));
        faults.extend(address_fault("listen.peers", self.listen.peers));
        if let Some(digest) = &self.operator_digest
            && !profiles::check::is_digest(digest)
        {
            let remedy = "write the 64 digits that `gooseberryctl digest` prints for the key";
            let place = "operator_digest".to_owned();
            faults.push(Fault::new(place, format!("{digest:?}"), remedy));
        }
        for (place, value) in [("poll_ms", self.poll_ms), ("load_ms", self.load_ms)] {
            if value == 0 {
                let remedy = "write a time in milliseconds above 0";
                faults.push(Fault::new(place.to_owned(), "0", remedy));
            }
        }
        faults
    }
}
