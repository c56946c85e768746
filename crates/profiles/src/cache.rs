//! An agent's copy of the configuration, with the latest revisions for agents that lag behind.

use std::collections::VecDeque;

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::change::{Revision, apply};
use crate::document::Document;

/// Number of revisions that an agent keeps for others; further back it sends the full document.
const MAX_REVISIONS: usize = 256;

/// An update for an agent that lags behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The revisions that it lacks, in order; empty if it is up to date.
    Changes(Vec<Revision>),
    /// The full document, if some of the missing revisions are no longer kept.
    #[serde(rename = "Whole")]
    Full(Document),
}

/// An agent's copy of the configuration.
///
/// # Invariants
///
/// The version never decreases; the kept revisions are consecutive and end with it.
#[derive(Clone, Debug, Default)]
pub struct ConfigCache {
    document: Document,
    revisions: VecDeque<Revision>,
}

impl ConfigCache {
    /// The current document; an empty one of version 0 until the first update.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The current version; 0 until the first update.
    pub fn version(&self) -> Version {
        self.document.version
    }

    /// Applies an update; returns whether the version increased.
    ///
    /// Documents that are not newer and revisions that do not directly follow the current version are
    /// ignored.
    pub fn apply(&mut self, update: Update) -> bool {
        let before = self.version();
        match update {
            Update::Full(document) => self.replace(document),
            Update::Changes(revisions) => {
                for revision in revisions {
                    self.advance(revision);
                }
            }
        }
        self.version() > before
    }

    /// The update that brings an agent from version `after` to the current one.
    pub fn update_since(&self, after: Version) -> Update {
        if after >= self.version() {
            return Update::Changes(Vec::new());
        }
        let missing = self.version().0 - after.0;
        let kept = self.revisions.len();
        match usize::try_from(missing) {
            Ok(missing) if missing <= kept => {
                Update::Changes(self.revisions.range(kept - missing..).cloned().collect())
            }
            _ => Update::Full(self.document.clone()),
        }
    }

    fn replace(&mut self, document: Document) {
        if document.version <= self.version() {
            return;
        }
        self.document = document;
        self.revisions.clear();
    }

    fn advance(&mut self, revision: Revision) {
        if revision.version != self.version().next() {
            return;
        }
        for change in &revision.changes {
            apply(&mut self.document, change);
        }
        self.document.version = revision.version;
        if self.revisions.len() == MAX_REVISIONS {
            self.revisions.pop_front();
        }
        self.revisions.push_back(revision);
    }
}
