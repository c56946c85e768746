//! Commits a proposal by optimistic concurrency, tolerating lost responses of the store.
//!
//! The head is written only if it is unchanged since it was read, and each version's revision only
//! if there is none yet. So a proposal takes effect at most once. After a write without a response
//! the store is read back, and the operation id in the revision tells whether the write took effect.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::change::{Proposal, Refusal, Revision, propose};
use crate::document::Document;

/// The store's state as last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreState {
    /// The accepted document; of version 0 if there is none.
    pub document: Document,
    /// The revision that directly follows the proposal's base; `None` if there is none yet.
    pub next: Option<Revision>,
}

/// The result of a write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect.
    Committed,
    /// It had no effect, because the head had changed.
    Conflict,
    /// It was not sent.
    Unsent,
    /// No response came; the write may have taken effect or may still do so.
    Unanswered,
}

/// The next action of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the store and pass the result to [`Commit::on_read`].
    Read,
    /// Do the same after a pause.
    ReadLater,
    /// Write this revision and its head, provided that the head is the one that was read, and pass
    /// the result to [`Commit::on_write`].
    Write(Document, Revision),
    /// Stop; the outcome is final.
    Finish(Outcome),
}

/// The final outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// It was accepted.
    Accepted {
        /// The version after its changes.
        version: Version,
    },
    /// It was rejected and will not take effect.
    Refused {
        /// The reason.
        refusal: Refusal,
    },
    /// The store is unavailable and no write was sent to it.
    Unavailable,
    /// It may have been accepted, or may still be.
    Unknown {
        /// The operation id by which to find it in the history.
        operation: OperationId,
    },
}

/// The commit of one proposal, as a state machine without I/O.
#[derive(Clone, Debug)]
pub struct Commit {
    proposal: Proposal,
    deadline: Millis,
    // Whether a write got no response, so that the proposal may take effect.
    has_unanswered: bool,
}

impl Commit {
    /// Starts the commit of a proposal, abandoned at `deadline`; the first step is [`Step::Read`].
    pub fn new(proposal: Proposal, deadline: Millis) -> Self {
        Self {
            proposal,
            deadline,
            has_unanswered: false,
        }
    }

    /// Handles the result of a read; `None` if the read failed.
    pub fn on_read(&mut self, now: Millis, state: Option<&StoreState>) -> Step {
        let Some(state) = state else {
            return self.retry_or_finish(now);
        };
        let is_own = |r: &&Revision| r.operation == self.proposal.operation;
        if let Some(revision) = state.next.as_ref().filter(is_own) {
            let version = revision.version;
            return Step::Finish(Outcome::Accepted { version });
        }
        match propose(&state.document, &self.proposal) {
            Ok((document, revision)) => Step::Write(document, revision),
            Err(refusal) => Step::Finish(Outcome::Refused { refusal }),
        }
    }

    /// Handles the result of a write.
    pub fn on_write(&mut self, now: Millis, result: WriteResult) -> Step {
        match result {
            WriteResult::Committed => {
                let version = self.proposal.base.next();
                Step::Finish(Outcome::Accepted { version })
            }
            // An earlier write of this proposal may be what changed the head.
            WriteResult::Conflict => Step::Read,
            WriteResult::Unsent => self.retry_or_finish(now),
            WriteResult::Unanswered => {
                self.has_unanswered = true;
                self.retry_or_finish(now)
            }
        }
    }

    /// Reads the store again, or finishes once the deadline has passed.
    fn retry_or_finish(&self, now: Millis) -> Step {
        if now < self.deadline {
            return Step::ReadLater;
        }
        if !self.has_unanswered {
            return Step::Finish(Outcome::Unavailable);
        }
        let operation = self.proposal.operation.clone();
        Step::Finish(Outcome::Unknown { operation })
    }
}
