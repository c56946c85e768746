//! Which hosts a host polls for the changes of the store's tables before it polls the store itself.
//!
//! The sources are the first hosts of the data centre in hub order. If the store refuses the hub, or the hub
//! fails, its members poll the next source, and only if none can answer the store. The load on the store so
//! does not grow with the number of hosts, whichever of them it refuses.

use std::net::SocketAddr;

use base::prelude::*;
use base::sorted::Sorted;

/// Maximum number of sources: the hub and the host that stands in for it.
pub const MAX_SOURCES: usize = 2;

/// How long a source that did not answer is passed over.
const SILENT_PAUSE: Millis = Millis(3_000);

/// How long a source that cannot provide the changes is passed over; it answers at once, so asking it again
/// costs little.
const UNAVAILABLE_PAUSE: Millis = Millis(1_000);

/// The sources of one table that are passed over for a while.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    paused: Sorted<SocketAddr, Millis>,
}

impl Sources {
    /// The first of `hosts` to poll now; `None` if the store is to be polled.
    pub fn next(&self, now: Millis, hosts: &[SocketAddr]) -> Option<SocketAddr> {
        let is_due = |addr: &&SocketAddr| self.paused.get(*addr).is_none_or(|until| now >= *until);
        hosts.iter().find(is_due).copied()
    }

    /// Records that a source did not answer.
    pub fn record_silent(&mut self, now: Millis, source: SocketAddr) {
        self.pause(now, source, SILENT_PAUSE);
    }

    /// Records that a source answered that it cannot provide the changes.
    pub fn record_unavailable(&mut self, now: Millis, source: SocketAddr) {
        self.pause(now, source, UNAVAILABLE_PAUSE);
    }

    fn pause(&mut self, now: Millis, source: SocketAddr, pause: Millis) {
        self.paused.retain(|_, until| now < *until);
        self.paused.insert(source, now + pause);
    }
}
