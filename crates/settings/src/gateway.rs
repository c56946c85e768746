//! The settings of `gooseberry-gateway`.

use std::net::SocketAddr;

use base::prelude::*;
use profiles::check::Fault;
use serde::{Deserialize, Serialize};

use crate::common::{Level, address_fault, name_fault};
use crate::load::Validate;

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// The name of the host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where the process listens.
    pub listen: Listen,
    /// Where the platform's store is.
    pub store: SocketAddr,
    /// What bounds repeated sends.
    pub retries: Retries,
    /// The time from SIGTERM until the process is killed, in seconds.
    pub grace_s: f64,
    /// The time after which a leaving backend server must get no more requests, in milliseconds.
    pub leave_ms: u64,
    /// The least severe level of the log.
    #[serde(default = "default_level")]
    pub log_level: Level,
}

/// The addresses on which a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether the host takes connections.
    pub ready: SocketAddr,
    /// For the digests of other hosts, by UDP.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// What bounds repeated sends, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// The length of the sliding window in seconds.
    pub window_s: f64,
    /// The repeats allowed for each request of a window.
    pub ratio: f64,
    /// The repeats allowed besides, in each window.
    pub extra: f64,
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
        let shares = [
            ("retries.ratio", self.retries.ratio),
            ("retries.extra", self.retries.extra),
        ];
        for (place, value) in shares {
            if value < 0.0 || value.is_nan() {
                let remedy = "write 0 or a number above it";
                faults.push(Fault::new(place.to_owned(), value.to_string(), remedy));
            }
        }
        faults
    }
}
