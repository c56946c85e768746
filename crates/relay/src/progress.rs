//! Progress of an event stream at its caller, over one or more attempts at backend servers.
//!
//! Event ids number the events of a stream without gaps. An attempt at another server may send events again
//! that the caller already has; each event is forwarded once and in order.

use base::prelude::*;
use generation::gaps::Gaps;
use generation::policy::Policy;

use crate::events::Event;

/// Action on an event received from a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// Forward it to the caller.
    Forward,
    /// Drop it: the caller already has it.
    Drop,
    /// End this attempt: an event before it is missing.
    Gap,
}

/// Events forwarded to the caller, and an estimate of the gaps between them.
#[derive(Clone, Debug)]
pub struct Progress {
    policy: Policy,
    last_id: Option<u64>,
    forwarded: u64,
    idle_since: Millis,
    gaps: Gaps,
}

impl Progress {
    /// A stream whose caller already has the events up to `last_id`; `None` if it has none.
    pub fn new(now: Millis, last_id: Option<u64>, policy: Policy) -> Self {
        Self {
            policy,
            last_id,
            forwarded: 0,
            idle_since: now,
            gaps: Gaps::default(),
        }
    }

    /// Decides on an event that has just arrived, and records it if it is to be forwarded.
    pub fn record(&mut self, now: Millis, event: &Event) -> EventAction {
        if let Some(last) = self.last_id {
            if event.id <= last {
                return EventAction::Drop;
            }
            if event.id != last + 1 {
                return EventAction::Gap;
            }
        }
        if self.forwarded > 0 {
            self.gaps.add(now.since(self.idle_since).0);
        }
        self.forwarded += 1;
        self.idle_since = now;
        self.last_id = Some(event.id);
        EventAction::Forward
    }

    /// Restarts the measured gap, so that the time without events before it is not counted: when an attempt is opened at
    /// another server, and when the caller asks for the next event.
    pub fn reset_idle_timer(&mut self, now: Millis) {
        self.idle_since = now;
    }

    /// Time at which the server is considered failed if no event has arrived.
    pub fn stall_deadline(&self) -> Millis {
        self.idle_since + Millis(self.gaps.limit(&self.policy))
    }

    /// Id of the last event forwarded, or already held by the caller; `None` if there is none.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of events forwarded by this host.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Time of the last event forwarded, or of the opening of the current attempt if that is later.
    pub fn idle_since(&self) -> Millis {
        self.idle_since
    }
}
