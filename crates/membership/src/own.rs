//! The host that an agent runs on.

use base::prelude::*;
use serde::Serialize;

use crate::hosts::Lifecycle;
use crate::listed::Place;

/// The host that this agent runs on.
#[derive(Clone, Debug, Serialize)]
pub struct OwnHost {
    /// Name of the host.
    pub host: HostId,
    /// Data centre and addresses, from the settings until the host list confirms them.
    pub place: Place,
    /// Whether `place` holds the router address from the host list.
    #[serde(rename = "is_placed")]
    pub place_confirmed: bool,
    /// Incarnation of this agent, and whether the host is leaving and takes no new work.
    #[serde(rename = "life")]
    pub lifecycle: Lifecycle,
}

impl OwnHost {
    /// A host whose agent starts at `now`.
    pub fn new(now: Millis, host: HostId, place: Place, incarnation: Incarnation) -> Self {
        let lifecycle = Lifecycle::with_incarnation(now, incarnation);
        Self {
            host,
            place,
            place_confirmed: false,
            lifecycle,
        }
    }

    /// Incarnation of this agent.
    pub fn incarnation(&self) -> Incarnation {
        self.lifecycle.incarnation.unwrap_or_default()
    }
}
