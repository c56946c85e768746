//! What the table keeps for the key of a call that may not repeat.

use std::fmt;

use base::hash::stable;
use base::prelude::*;
use serde::{Deserialize, Serialize};

/// What every row key of this crate starts with.
pub const KEY_PREFIX: &str = "call/";

/// The number of parts into which rows are divided, so that hosts can share their clearing.
pub const PARTITIONS: u64 = 64;

/// What a key made by a router starts with; a key given by a caller is only looked up if it does.
pub const GENERATED_PREFIX: &str = "gsb-";

/// One submission of a call to one router; no two share a token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Owner {
    /// The life of the router.
    pub router: Incarnation,
    /// The number of the submission in that life.
    pub number: u64,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}/{}", self.router.0, self.number)
    }
}

/// The value of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The submission that wrote the row.
    pub owner: Owner,
    /// A digest of what makes two submissions of a key the same.
    pub digest: u64,
    /// The time after which the row may be cleared, in milliseconds since 1970.
    pub until_ms: u64,
    /// What became of the call.
    pub state: State,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its owner may send it, or has sent it.
    Running,
    /// It was answered.
    Done(Outcome),
    /// It was sent and its answer is lost.
    Lost,
    /// It was not sent and never will be.
    Cancelled,
}

/// The answer of a backend server, as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if it had one.
    pub content: Option<String>,
    /// The body.
    pub body: Body,
}

/// Where a body is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// In the row.
    Text(String),
    /// In the object store, under this name.
    Object(String),
}

/// A row and the number of the write that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRecord {
    /// The number of the write.
    pub version: u64,
    /// The value.
    pub record: Record,
}

/// The row of a call.
pub fn row_key(service: &ServiceName, workspace: &WorkspaceName, key: &str) -> String {
    let name = format!("{service}/{workspace}/{key}");
    format!(
        "{}{name}",
        partition_prefix(stable(name.as_bytes()) % PARTITIONS)
    )
}

/// What the row keys of one partition start with.
pub fn partition_prefix(partition: u64) -> String {
    format!("{KEY_PREFIX}{partition:02x}/")
}
