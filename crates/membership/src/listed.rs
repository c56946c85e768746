//! Entries of the platform's host list.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// An entry host in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Unique name; the list is sorted by it.
    pub host: HostId,
    /// Data centre and addresses.
    pub place: Place,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// The data centre and the addresses of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address on which its router accepts peer calls.
    pub router: SocketAddr,
    /// Address on which its agent accepts peer calls.
    pub agent: SocketAddr,
}

/// A backend server in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBackend {
    /// Unique name; the list is sorted by it.
    pub backend: BackendId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The data centre whose agents poll it.
    pub data_centre: DataCentre,
    /// Address on which it accepts requests and polls.
    pub addr: SocketAddr,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}
