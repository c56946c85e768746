//! The settings of `gooseberry-agent`.

use std::net::SocketAddr;

use base::prelude::*;
use profiles::check::Fault;
use profiles::topology::Topology;
use serde::{Deserialize, Serialize};

use crate::common::{Log, address_fault, name_fault};
use crate::load::Validate;
use crate::router::default_platform_ms;

/// The settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// The name of the host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where the process listens.
    pub listen: Listen,
    /// Where the platform is.
    pub platform: SocketAddr,
    /// The longest wait for the platform, in milliseconds.
    #[serde(default = "default_platform_ms")]
    pub platform_ms: u64,
    /// The time between two looks at the platform, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// The time between two looks at a backend server's load, in milliseconds.
    #[serde(default = "default_load_ms")]
    pub load_ms: u64,
    /// Agents to ask for the configuration while the platform is away.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// How new versions of the configuration spread within the data centre.
    #[serde(default)]
    pub spread: Topology,
    /// The digest of the operators' key, see [`base::hash::key_digest`]; without one no operator is
    /// admitted.
    #[serde(default)]
    pub operator_digest: Option<String>,
    /// The log.
    #[serde(default)]
    pub log: Log,
    /// Where metrics go, if anywhere.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// The addresses on which an agent listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For the host's router and other agents.
    pub peers: SocketAddr,
    /// For operators: state, readiness, changes.
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
