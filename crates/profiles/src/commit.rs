//! How a proposal gets accepted although answers of the store are lost.
//!
//! The head is written only if it is unchanged since it was read, and each version's revision only
//! if there is none yet. So a proposal takes effect at most once, and a write without an answer is
//! read back by the operation that stands in the revision.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::change::{Proposal, Refusal, Revision, propose};
use crate::document::Document;

/// What the store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreState {
    /// The accepted document; of version 0 if there is none.
    pub document: Document,
    /// The revision that follows on the proposal's base, if there is one.
    pub next: Option<Revision>,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect.
    Committed,
    /// It had no effect, since the head had changed.
    Conflict,
    /// It was not sent.
    Unsent,
    /// It may have taken effect, now or later.
    Unanswered,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the store and report [`StoreState`].
    Read,
    /// Read the store after a pause.
    ReadLater,
    /// Write this revision and its head, if the head is the one that was read.
    Write(Document, Revision),
    /// Nothing more.
    Finish(Outcome),
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// It was accepted.
    Accepted {
        /// The version that it made.
        version: Version,
    },
    /// It was not accepted and never will be.
    Refused {
        /// Why.
        refusal: Refusal,
    },
    /// The store is away and nothing was sent to it.
    Unavailable,
    /// It may have been accepted, or may yet be.
    Unknown {
        /// The operation by which it can be looked for.
        operation: OperationId,
    },
}

/// One proposal on its way.
#[derive(Clone, Debug)]
pub struct Commit {
    proposal: Proposal,
    deadline: Millis,
    is_sent: bool,
}

impl Commit {
    /// A proposal that is given up at `deadline`; the first step is [`Step::Read`].
    pub fn new(proposal: Proposal, deadline: Millis) -> Self {
        Self {
            proposal,
            deadline,
            is_sent: false,
        }
    }

    /// The store was read, or could not be.
    pub fn on_read(&mut self, now: Millis, seen: Option<&StoreState>) -> Step {
        let Some(seen) = seen else {
            return self.retry_or_finish(now);
        };
        let own = |r: &&Revision| r.operation == self.proposal.operation;
        if let Some(revision) = seen.next.as_ref().filter(own) {
            let version = revision.version;
            return Step::Finish(Outcome::Accepted { version });
        }
        match propose(&seen.document, &self.proposal) {
            Ok((document, revision)) => Step::Write(document, revision),
            Err(refusal) => Step::Finish(Outcome::Refused { refusal }),
        }
    }

    /// The write ended.
    pub fn on_write(&mut self, now: Millis, written: WriteResult) -> Step {
        match written {
            WriteResult::Committed => {
                let version = self.proposal.base.next();
                Step::Finish(Outcome::Accepted { version })
            }
            // Its own earlier write may be what changed the head.
            WriteResult::Conflict => Step::Read,
            WriteResult::Unsent => self.retry_or_finish(now),
            WriteResult::Unanswered => {
                self.is_sent = true;
                self.retry_or_finish(now)
            }
        }
    }

    /// Looks again, unless the time is up.
    fn retry_or_finish(&self, now: Millis) -> Step {
        if now < self.deadline {
            return Step::ReadLater;
        }
        if !self.is_sent {
            return Step::Finish(Outcome::Unavailable);
        }
        let operation = self.proposal.operation.clone();
        Step::Finish(Outcome::Unknown { operation })
    }
}
