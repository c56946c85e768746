//! What the platform's host list says.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// An entry host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The host.
    pub host: HostId,
    /// Where it is.
    pub place: Place,
    /// Whether the list says that it leaves.
    pub leaving: bool,
}

/// Where an entry host is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where its router takes calls of its peers.
    pub router: SocketAddr,
    /// Where its agent takes calls of its peers.
    pub agent: SocketAddr,
}

/// A backend server of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBackend {
    /// The backend server.
    pub backend: BackendId,
    /// The service of which it is a part.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Whether the list says that it leaves.
    pub leaving: bool,
}
