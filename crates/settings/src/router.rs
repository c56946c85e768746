//! Settings of `gooseberry-router`.

use std::net::SocketAddr;

use base::prelude::*;
use calls::batch::Policy as Claims;
use journal::store::Limits;
use profiles::check::Fault;
use serde::{Deserialize, Serialize};

use crate::common::{Log, address_fault, name_fault};
use crate::load::Validate;

/// Settings of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Router {
    /// Name of the host, as in the platform's host list.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Addresses on which the router listens.
    pub listen: Listen,
    /// Address on which this host's agent accepts calls.
    pub agent: SocketAddr,
    /// Address of the platform's table and object store.
    pub platform: SocketAddr,
    /// Time limit of a call to the platform, in milliseconds.
    #[serde(default = "default_platform_ms")]
    pub platform_ms: u64,
    /// Limits on journals.
    #[serde(default)]
    pub journal: Limits,
    /// How claims of non-retryable calls are batched into writes to the table.
    #[serde(default)]
    pub claims: Claims,
    /// How long a planned shutdown waits for requests in flight, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
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

/// Addresses on which a router listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other routers.
    pub peers: SocketAddr,
    /// Address for operators: state and readiness.
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
