//! The host of an agent.

use base::prelude::*;
use serde::Serialize;

use crate::hosts::Lifecycle;
use crate::listed::Place;

/// The host of this agent.
#[derive(Clone, Debug, Serialize)]
pub struct OwnHost {
    /// The host.
    pub host: HostId,
    /// Where it is reached.
    pub place: Place,
    /// Whether the host list has confirmed where it is reached.
    #[serde(rename = "is_placed")]
    pub place_confirmed: bool,
    /// The life of this agent, and whether the host takes no new work.
    #[serde(rename = "life")]
    pub lifecycle: Lifecycle,
}

impl OwnHost {
    /// A host whose agent starts now.
    pub fn new(now: Millis, host: HostId, place: Place, incarnation: Incarnation) -> Self {
        let lifecycle = Lifecycle::with_incarnation(now, incarnation);
        Self {
            host,
            place,
            place_confirmed: false,
            lifecycle,
        }
    }

    /// The life of this agent.
    pub fn incarnation(&self) -> Incarnation {
        self.lifecycle.incarnation.unwrap_or_default()
    }
}
