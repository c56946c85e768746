//! The host of an agent.

use base::prelude::*;
use serde::Serialize;

use crate::hosts::Life;
use crate::listed::Place;

/// The host of this agent.
#[derive(Clone, Debug, Serialize)]
pub struct Own {
    /// The host.
    pub host: HostId,
    /// Where it is reached.
    pub place: Place,
    /// Whether the host list has confirmed where it is reached.
    pub is_placed: bool,
    /// The life of this agent, and whether the host takes no new work.
    pub life: Life,
}

impl Own {
    /// A host whose agent starts now.
    pub fn new(now: Millis, host: HostId, place: Place, incarnation: Incarnation) -> Self {
        let life = Life::newborn(now, incarnation);
        Self {
            host,
            place,
            is_placed: false,
            life,
        }
    }

    /// The life of this agent.
    pub fn incarnation(&self) -> Incarnation {
        self.life.incarnation.unwrap_or_default()
    }
}
