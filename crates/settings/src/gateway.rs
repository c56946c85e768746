//! Settings of `gooseberry-gateway`.

use std::net::SocketAddr;

use base::prelude::*;
use profiles::check::Fault;
use serde::{Deserialize, Serialize};

use crate::common::{Level, address_fault, name_fault};
use crate::load::Validate;

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Name of the host, as in the platform's host list.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Addresses on which the gateway listens.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Retry budget.
    pub retries: Retries,
    /// Time from SIGTERM until the process is killed, in seconds.
    pub grace_s: f64,
    /// Time after which a leaving backend server must receive no new requests, in milliseconds.
    pub leave_ms: u64,
    /// What the host has of processor and network; decides the order in which hosts become hubs.
    #[serde(default)]
    pub limits: Limits,
    /// Least severe log level that is written.
    #[serde(default = "default_level")]
    pub log_level: Level,
}

/// Addresses on which a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// UDP address for the digests of other hosts.
    pub peers: SocketAddr,
    /// Address that serves metrics.
    pub metrics: SocketAddr,
    /// TCP address at which other hosts open tunnels to backend servers that they do not reach themselves;
    /// without it the host opens none for them.
    #[serde(default)]
    pub tunnels: Option<SocketAddr>,
}

/// The retry budget, which bounds the retries of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Length of the sliding window in seconds.
    pub window_s: f64,
    /// Retries allowed per request within a window.
    pub ratio: f64,
    /// Retries allowed in each window on top of `ratio`.
    pub extra: f64,
}

/// Resources of a host. A host that states none is a hub only where no other one is left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Share of a processor core that the host may use; 2 for two whole cores.
    pub cores: f64,
    /// Speed of its network link in Mbit/s.
    pub link_mbps: f64,
}

/// The default of [`Gateway::log_level`].
fn default_level() -> Level {
    Level::Info
}

impl Validate for Gateway {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        faults.extend(name_fault("host", self.host.as_str()));
        faults.extend(name_fault("data_centre", self.data_centre.as_str()));
        faults.extend(address_fault("listen.callers", self.listen.callers));
        faults.extend(address_fault("listen.ready", self.listen.ready));
        faults.extend(address_fault("listen.peers", self.listen.peers));
        let tunnels = self.listen.tunnels;
        faults.extend(tunnels.and_then(|addr| address_fault("listen.tunnels", addr)));
        let times = [
            ("retries.window_s", self.retries.window_s),
            ("grace_s", self.grace_s),
        ];
        for (place, value) in times {
            if value <= 0.0 || value.is_nan() {
                let remedy = "write a time in seconds above 0";
                faults.push(Fault::new(place.to_owned(), value.to_string(), remedy));
            }
        }
        if self.leave_ms == 0 {
            let remedy = "write a time in milliseconds above 0";
            faults.push(Fault::new("leave_ms".to_owned(), "0", remedy));
        }
        let allowances = [
            ("retries.ratio", self.retries.ratio),
            ("retries.extra", self.retries.extra),
            ("limits.cores", self.limits.cores),
            ("limits.link_mbps", self.limits.link_mbps),
        ];
        for (place, value) in allowances {
            if value < 0.0 || value.is_nan() {
                let remedy = "write 0 or a number above it";
                faults.push(Fault::new(place.to_owned(), value.to_string(), remedy));
            }
        }
        faults
    }
}
