//! The order in which the hosts of a data centre become its hub.

use std::cmp::Reverse;
use std::net::SocketAddr;

use base::hash::rendezvous;
use base::prelude::*;

/// A row of the store's host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPeer {
    /// The unique name, which also decides the order of hubs.
    pub host: HostId,
    /// The data centre whose hub it uses.
    pub data_centre: DataCentre,
    /// Address on which it receives messages.
    pub addr: SocketAddr,
    /// Address at which it opens tunnels to backend servers; `None` if it does not.
    pub tunnels: Option<SocketAddr>,
    /// Whether it opens them by HTTP/2; hosts of earlier versions by HTTP/1 only.
    pub has_http2: bool,
    /// See [`hub_priority`]; 0 for a host whose row does not state it.
    pub hub_priority: u64,
    /// [`KINDS`](super::KINDS) of its version; 0 if its row does not state it.
    pub kinds: u8,
}

/// Priority of a host as the hub of its data centre; hosts of the highest one are hubs first.
///
/// A hub needs the processor to encode the changes of the servers' table for each member and the link to send
/// them, so the priority is the product of `cores`, the share of a processor core, and `link_mbps`, the speed
/// of the link in Mbit/s, in hundredths.
pub fn hub_priority(cores: f64, link_mbps: f64) -> u64 {
    (cores * link_mbps * 100.0) as u64
}

/// Sort key of hosts: by data centre, and within it the order in which hosts become its hub.
pub(super) type HubOrder<'a> = (&'a DataCentre, Reverse<u64>, u64, &'a HostId);

pub(super) fn hub_order<'a>(
    data_centre: &'a DataCentre,
    hub_priority: u64,
    host: &'a HostId,
) -> HubOrder<'a> {
    let weight = rendezvous(data_centre.as_str(), host.as_str());
    (data_centre, Reverse(hub_priority), weight, host)
}

impl ListedPeer {
    pub(super) fn hub_order(&self) -> HubOrder<'_> {
        hub_order(&self.data_centre, self.hub_priority, &self.host)
    }
}
