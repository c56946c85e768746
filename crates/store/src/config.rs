//! How the configuration lies in the platform's table and object store.
//!
//! The head row names the accepted version and is written under the condition that it is unchanged.
//! The same transaction writes the revision into a row of its own, so that nodes read only what they
//! lack. Every so many versions a snapshot object is written for nodes that start, and revisions far
//! behind it are dropped.

use base::prelude::*;
use profiles::change::Revision;
use profiles::commit::Written;
use profiles::document::Document;
use profiles::held::News;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use web::client::CallError;

use crate::client::Platform;
use crate::wire::{Expect, Op, Outcome, Row, Transact, Write};

/// The row that names the accepted version.
const HEAD: &str = "config/head";

/// The row that names the latest snapshot.
const SNAPSHOT: &str = "config/snapshot";

/// The versions between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 64;

/// The revisions that are kept behind a snapshot.
const KEPT_REVISIONS: u64 = 8_192;

/// The most revisions in one read.
const MAX_BATCH: u64 = 256;

/// The accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version.
    pub version: Version,
    /// The operation that made it.
    pub operation: OperationId,
}

/// The head row as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadRow {
    /// The number of the write that made the row, if there is one.
    pub row: Option<u64>,
    /// The accepted version; 0 if there is no row.
    pub version: Version,
}

/// The value of the snapshot row.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SnapshotPointer {
    version: Version,
}

impl Platform {
    /// Reads the accepted version.
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

    /// Reads the revision that made `version`, if it is still kept.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn revision(&self, version: Version) -> Result<Option<Revision>, CallError> {
        let row = self.row(&change_key(version.0)).await?;
        row.map(|r| self.decode(r.value)).transpose()
    }

    /// Reads a part of what a node lacks that holds `after`, when `head` is accepted.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    pub async fn read_update(&self, after: Version, head: Version) -> Result<News, CallError> {
        if head.0 > after.0 + MAX_BATCH
            && let Some(document) = self.snapshot().await?
            && document.version > after
        {
            return Ok(News::Whole(document));
        }
        let last = head.0.min(after.0 + MAX_BATCH);
        self.revisions(after.0 + 1, last).await.map(News::Changes)
    }

    /// Reads the kept revisions from `first` to `last`, the latest 256 of them at most.
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

    /// Makes `revision` the accepted version if the head is still `head`.
    pub async fn commit(&self, head: &HeadRow, revision: &Revision) -> Written {
        match self.transact(&commit_ops(head, revision)).await {
            Ok(Outcome::Committed(_)) => Written::Committed,
            Ok(Outcome::Conflict(_)) => Written::Conflict,
            Err(e) if e.is_unsent() => Written::Unsent,
            Err(_) => Written::Lost,
        }
    }

    /// Writes a snapshot of an accepted document if one is due.
    ///
    /// # Errors
    ///
    /// Any [`CallError`]; the snapshot before remains in use then.
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

    /// Reads the latest snapshot.
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

/// The transaction that makes `revision` the accepted version.
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

/// The key of the row with the revision that made `version`.
fn change_key(version: u64) -> String {
    format!("config/change/{version}")
}

/// The name of the object with the snapshot at `version`.
fn snapshot_name(version: Version) -> String {
    format!("config/snapshot/{version}")
}
