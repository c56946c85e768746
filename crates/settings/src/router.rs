//! The settings of `gooseberry-router`.

use std::net::SocketAddr;

use base::prelude::*;
use calls::batch::Policy as Claims;
use journal::store::Limits;
use profiles::check::Fault;
use serde::{Deserialize, Serialize};

use crate::common::{Log, address_fault, name_fault};
use crate::load::Validate;

/// The settings of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Router {
    /// The name of the host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where the process listens.
    pub listen: Listen,
    /// Where the agent of this host takes calls.
    pub agent: SocketAddr,
    /// Where the platform's table and object store are.
    pub platform: SocketAddr,
    /// The longest wait for the platform, in milliseconds.
    #[serde(default = "default_platform_ms")]
    pub platform_ms: u64,
    /// The bounds on journals.
    #[serde(default)]
    pub journal: Limits,
    /// How claims of calls that may not repeat share the table's writes.
    #[serde(default)]
    pub claims: Claims,
    /// How long a planned stop waits for requests in flight, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
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

/// The addresses on which a router listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
    /// For operators: state, readiness.
    pub admin: SocketAddr,
}

/// The default of [`Router::platform_ms`].
pub(crate) fn default_platform_ms() -> u64 {
    1_000
}

/// The default of [`Router::drain_ms`]: ten minutes.
fn default_drain_ms() -> u64 {
    10 * 60 * 1_000
}

impl Validate for Router {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        faults.extend(name_fault("host", self.host.as_str()));
        faults.extend(name_fault("data_centre", self.data_centre.as_str()));
        faults.extend(address_fault("listen.peers", self.listen.peers));
        faults.extend(address_fault("agent", self.agent));
        if self.journal.retain_ms < self.journal.idle_ms {
            faults.push(Fault::new(
                "journal.retain_ms".to_owned(),
                self.journal.retain_ms.to_string(),
                format!("write at least journal.idle_ms, {}", self.journal.idle_ms),
            ));
        }
        faults
    }
}
