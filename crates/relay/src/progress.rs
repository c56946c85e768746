//! How far a stream has come at its caller.

use base::prelude::*;
use generation::gaps::Gaps;
use generation::policy::Policy;

use crate::events::Event;

/// What is to be done with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Pass it on.
    Pass,
    /// Drop it; the caller has it already.
    Drop,
    /// End this run: an event before it is missing.
    Gap,
}

/// The events that were passed on, and the silences between them.
#[derive(Clone, Debug)]
pub struct Progress {
    policy: Policy,
    last: Option<u64>,
    passed: u64,
    heard: Millis,
    gaps: Gaps,
}

impl Progress {
    /// A stream whose caller holds the events up to `last`.
    pub fn new(now: Millis, last: Option<u64>, policy: Policy) -> Self {
        Self {
            policy,
            last,
            passed: 0,
            heard: now,
            gaps: Gaps::default(),
        }
    }

    /// Judges an event that has just come.
    pub fn event(&mut self, now: Millis, event: &Event) -> Step {
        if let (Some(id), Some(last)) = (event.id, self.last) {
            if id <= last {
                return Step::Drop;
            }
            if id != last + 1 {
                return Step::Gap;
            }
        }
        if self.passed > 0 {
            self.gaps.add(now.since(self.heard).0);
        }
        self.passed += 1;
        self.heard = now;
        self.last = event.id.or(self.last);
        Step::Pass
    }

    /// A run was opened at another server; the silence until its first event is its own.
    pub fn reopened(&mut self, now: Millis) {
        self.heard = now;
    }

    /// When silence is taken as the loss of the server.
    pub fn suspect_at(&self) -> Millis {
        self.heard + Millis(self.gaps.limit(&self.policy))
    }

    /// The number of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// How many events were passed on.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// When the last event came.
    pub fn heard(&self) -> Millis {
        self.heard
    }
}
