//! JSON types of the platform interface.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key, unique in the table.
    pub key: String,
    /// Number of the write that set this value; increases with each write of the row.
    pub version: u64,
    /// JSON document held by the row.
    pub value: Value,
}

/// Condition on a row, without which the transaction has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// No condition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists and has this version.
    Version(u64),
}

/// Effect of a transaction on a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// No effect; only the condition is checked.
    Check,
    /// Creates the row or replaces its value.
    Put(Value),
    /// Deletes the row.
    Delete,
}

/// Operation of a transaction on one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// Key of the row.
    pub key: String,
    /// Condition for the whole transaction.
    pub expect: Expect,
    /// Effect on the row, once all conditions hold.
    pub write: Write,
}

/// Body of `POST /v1/table/transact`: all operations take effect or none does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transact {
    /// Operations, each on one row.
    pub ops: Vec<Op>,
}

/// Response to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All operations took effect; holds the new versions of the rows, in order of the operations.
    Committed(Vec<u64>),
    /// No operation took effect; holds the rows whose conditions failed.
    Conflict(Vec<Mismatch>),
}

/// Row whose condition failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mismatch {
    /// Index of the operation in [`Transact::ops`].
    pub index: usize,
    /// The row as it is; `None` if it does not exist.
    pub row: Option<Row>,
}

/// Body of `POST /v1/table/read`; the response has a [`Row`] or null for each key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Keys of the rows to read.
    pub keys: Vec<String>,
}

/// Body of `POST /v1/table/scan`; the response is a list of [`Row`]s in order of key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// Prefix of the keys to read.
    pub prefix: String,
    /// Cursor: only greater keys are read; empty to start at the first.
    pub after: String,
    /// Maximum number of rows.
    pub limit: usize,
}

/// Response to `GET /v1/hosts`; it may be several seconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Revision of the list: the number of changes made to it so far.
    pub revision: u64,
    /// Entry hosts and backend servers, sorted by name.
    pub hosts: Vec<Host>,
}

/// Entry of the host list, and the body of `POST /v1/hosts`, which adds or replaces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host or backend server.
    pub name: String,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Kind of the entry, with its addresses.
    pub kind: HostKind,
    /// Whether it is being removed from service and gets no new work.
    pub leaving: bool,
}

/// Kind of an entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// An entry host.
    Entry {
        /// Address on which its router accepts peer calls.
        router: SocketAddr,
        /// Address on which its agent accepts peer calls.
        agent: SocketAddr,
    },
    /// A backend server.
    Backend {
        /// Service to which it belongs.
        service: ServiceName,
        /// Address on which it accepts requests.
        addr: SocketAddr,
    },
}
