//! The configuration that a node holds, and the latest revisions for nodes that are behind.

use std::collections::VecDeque;

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::change::{Revision, apply};
use crate::document::Document;

/// The revisions that a node keeps for others.
const MAX_REVISIONS: usize = 256;

/// What a node that is behind is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The revisions that it lacks, in order; none if it lacks none.
    Changes(Vec<Revision>),
    /// The whole document, for a node that is too far behind.
    #[serde(rename = "Whole")]
    Full(Document),
}

/// The configuration that a node holds.
///
/// # Invariants
///
/// The version never falls; the kept revisions are consecutive and end with it.
#[derive(Clone, Debug, Default)]
pub struct ConfigCache {
    document: Document,
    revisions: VecDeque<Revision>,
}

impl ConfigCache {
    /// The document; of version 0 if there is none.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The version; 0 if there is none.
    pub fn version(&self) -> Version {
        self.document.version
    }

    /// Takes over what is newer; returns whether anything was.
    ///
    /// Revisions that do not follow on the held version are left alone.
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

    /// What a node lacks that holds `after`.
    pub fn updates_since(&self, after: Version) -> Update {
        if after >= self.version() {
            return Update::Changes(Vec::new());
        }
        let lacking = self.version().0 - after.0;
        let kept = self.revisions.len();
        match usize::try_from(lacking) {
            Ok(lacking) if lacking <= kept => {
                Update::Changes(self.revisions.range(kept - lacking..).cloned().collect())
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
