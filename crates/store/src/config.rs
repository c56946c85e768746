//! Storage of the configuration in the platform's table and object store.
//!
//! The head row names the accepted version and is replaced by compare-and-swap. In the same
//! transaction the revision is written to a row of its own, so that hosts read only the revisions
//! that they lack. Every 64 versions a snapshot object is written for hosts that start or are far
//! behind, and revisions more than 8192 versions older than the snapshot are deleted.

use base::prelude::*;
use profiles::cache::Update;
use profiles::change::Revision;
use profiles::commit::WriteResult;
use profiles::document::Document;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use web::client::CallError;

use crate::client::Platform;
use crate::wire::{Expect, Op, Outcome, Row, Transact, Write};

/// Key of the row that names the accepted version.
const HEAD: &str = "config/head";

/// Key of the row that names the version of the latest snapshot.
const SNAPSHOT: &str = "config/snapshot";

/// Number of versions from one snapshot to the next.
const SNAPSHOT_INTERVAL: u64 = 64;

/// Number of revisions kept before each snapshot.
const KEPT_REVISIONS: u64 = 8_192;

/// Maximum number of revisions in one read.
const MAX_BATCH: u64 = 256;

/// Value of the head row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Accepted version.
    pub version: Version,
    /// Operation that created this version.
    pub operation: OperationId,
}

/// Head row as read, against which a commit is checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadRow {
    /// Version of the table row; `None` if the row does not exist.
    pub row: Option<u64>,
    /// Accepted version of the configuration; 0 if the row does not exist.
    pub version: Version,
}

/// Value of the snapshot row.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SnapshotPointer {
    version: Version,
}

impl Platform {
    /// Reads the head row.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn head(&self) -> Result<HeadRow, CallError> {
        let Some(row) = self.row(HEAD).await? else {
            return Ok(HeadRow::default());
        };
        let head: Head = self.decode(row.value)?;
        Ok(HeadRow {
            row: Some(row.version),
            version: head.version,
        })
    }

    /// Reads the revision that created `version`; `None` if it does not exist or was deleted.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn revision(&self, version: Version) -> Result<Option<Revision>, CallError> {
        let row = self.row(&change_key(version.0)).await?;
        row.map(|r| self.decode(r.value)).transpose()
    }

    /// Reads the next part of the update from version `after` to version `head`.
    ///
    /// Returns the latest snapshot if it is newer than `after` and more than 256 revisions are
    /// missing, else at most 256 revisions.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn read_update(&self, after: Version, head: Version) -> Result<Update, CallError> {
        if head.0 > after.0 + MAX_BATCH
            && let Some(document) = self.snapshot().await?
            && document.version > after
        {
            return Ok(Update::Full(document));
        }
        let last = head.0.min(after.0 + MAX_BATCH);
        self.revisions(after.0 + 1, last).await.map(Update::Changes)
    }

    /// Reads the revisions from `first` to `last` that still exist, at most the latest 256.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn revisions(&self, first: u64, last: u64) -> Result<Vec<Revision>, CallError> {
        let first = first.max((last + 1).saturating_sub(MAX_BATCH));
        if first > last {
            return Ok(Vec::new());
        }
        let rows = self.read((first..=last).map(change_key).collect()).await?;
        let kept = rows.into_iter().flatten();
        kept.map(|row| self.decode(row.value)).collect()
    }

    /// Makes `revision` the accepted version, provided that the head row is still `head`.
    pub async fn commit(&self, head: &HeadRow, revision: &Revision) -> WriteResult {
        match self.transact(&commit_ops(head, revision)).await {
            Ok(Outcome::Committed(_)) => WriteResult::Committed,
            Ok(Outcome::Conflict(_)) => WriteResult::Conflict,
            Err(e) if e.is_unsent() => WriteResult::Unsent,
            Err(_) => WriteResult::Unanswered,
        }
    }

    /// Writes a snapshot of an accepted document if its version is a multiple of 64.
    ///
    /// Also deletes revisions that are too old to be kept.
    ///
    /// # Errors
    ///
    /// Any [`CallError`]; the previous snapshot remains in use, unless the last write took effect
    /// and only its answer was lost.
    pub async fn write_snapshot(&self, document: &Document) -> Result<(), CallError> {
        let version = document.version;
        if !version.0.is_multiple_of(SNAPSHOT_INTERVAL) {
            return Ok(());
        }
        let value = serde_json::to_value(document).unwrap_or_default();
        self.put_object(&snapshot_name(version), &value).await?;
        let pointer = serde_json::to_value(SnapshotPointer { version }).unwrap_or_default();
        let mut ops = vec![put(SNAPSHOT, Expect::Any, pointer)];
        let end = version.0.saturating_sub(KEPT_REVISIONS);
        for old in end.saturating_sub(SNAPSHOT_INTERVAL)..end {
            ops.push(Op {
                key: change_key(old),
                expect: Expect::Any,
                write: Write::Delete,
            });
        }
        self.transact(&Transact { ops }).await?;
        Ok(())
    }

    /// Reads the latest snapshot; `None` if none has been written.
    async fn snapshot(&self) -> Result<Option<Document>, CallError> {
        let Some(row) = self.row(SNAPSHOT).await? else {
            return Ok(None);
        };
        let pointer: SnapshotPointer = self.decode(row.value)?;
        let value = self.object(&snapshot_name(pointer.version)).await?;
        value.map(|v| self.decode(v)).transpose()
    }

    async fn row(&self, key: &str) -> Result<Option<Row>, CallError> {
        let rows = self.read(vec![key.to_owned()]).await?;
        Ok(rows.into_iter().flatten().next())
    }

    fn decode<T: DeserializeOwned>(&self, value: Value) -> Result<T, CallError> {
        serde_json::from_value(value).map_err(|e| CallError::Decode {
            addr: self.addr,
            cause: e.to_string(),
        })
    }
}

/// Transaction that makes `revision` the accepted version, provided that the head row is `head`.
pub fn commit_ops(head: &HeadRow, revision: &Revision) -> Transact {
    let next = Head {
        version: revision.version,
        operation: revision.operation.clone(),
    };
    let unchanged = head.row.map_or(Expect::Absent, Expect::Version);
    let next = serde_json::to_value(next).unwrap_or_default();
    let change = serde_json::to_value(revision).unwrap_or_default();
    let ops = vec![
        put(HEAD, unchanged, next),
        put(&change_key(revision.version.0), Expect::Absent, change),
    ];
    Transact { ops }
}

fn put(key: &str, expect: Expect, value: Value) -> Op {
    Op {
        key: key.to_owned(),
        expect,
        write: Write::Put(value),
    }
}

/// Key of the row with the revision that created `version`.
fn change_key(version: u64) -> String {
    format!("config/change/{version}")
}

/// Name of the object with the snapshot of `version`.
fn snapshot_name(version: Version) -> String {
    format!("config/snapshot/{version}")
}
