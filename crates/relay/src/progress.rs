//! How far a stream has come at its caller.

use base::prelude::*;
use generation::gaps::Gaps;
use generation::policy::Policy;

use crate::events::Event;

/// What is to be done with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// Pass it on.
    Forward,
    /// Drop it; the caller has it already.
    Drop,
    /// End this run: an event before it is missing.
    Gap,
}

/// The events that were passed on, and the silences between them.
#[derive(Clone, Debug)]
pub struct Progress {
    policy: Policy,
    last_id: Option<u64>,
    forwarded: u64,
    idle_since: Millis,
    gaps: Gaps,
}

impl Progress {
    /// A stream whose caller holds the events up to `last`.
    pub fn new(now: Millis, last_id: Option<u64>, policy: Policy) -> Self {
        Self {
            policy,
            last_id,
            forwarded: 0,
            idle_since: now,
            gaps: Gaps::default(),
        }
    }

    /// Judges an event that has just come.
    pub fn record(&mut self, now: Millis, event: &Event) -> EventAction {
        if let (Some(id), Some(last)) = (event.id, self.last_id) {
            if id <= last {
                return EventAction::Drop;
            }
            if id != last + 1 {
                return EventAction::Gap;
            }
        }
        if self.forwarded > 0 {
            self.gaps.add(now.since(self.idle_since).0);
        }
        self.forwarded += 1;
        self.idle_since = now;
        self.last_id = event.id.or(self.last_id);
        EventAction::Forward
    }

    /// A run was opened at another server; the silence until its first event is its own.
    pub fn reset_idle_timer(&mut self, now: Millis) {
        self.idle_since = now;
    }

    /// When silence is taken as the loss of the server.
    pub fn stall_deadline(&self) -> Millis {
        self.idle_since + Millis(self.gaps.limit(&self.policy))
    }

    /// The number of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// How many events were passed on.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// When the last event came.
    pub fn idle_since(&self) -> Millis {
        self.idle_since
    }
}
