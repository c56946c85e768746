//! JSON shapes of the platform interface.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The number of the write that made this value; it grows with each write of the row.
    pub version: u64,
    /// The value.
    pub value: Value,
}

/// What a row must be for a transaction to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// Anything.
    Any,
    /// Not there.
    Absent,
    /// There, at this version.
    Version(u64),
}

/// What a transaction does with a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// Nothing: the row is only compared.
    Check,
    /// Puts a value.
    Put(Value),
    /// Takes the row away.
    Delete,
}

/// One part of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// The key of the row.
    pub key: String,
    /// The condition.
    pub expect: Expect,
    /// The effect.
    pub write: Write,
}

/// The body of `POST /v1/table/transact`: all operations take effect or none does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transact {
    /// The operations.
    pub ops: Vec<Op>,
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It took effect; the versions of the rows after it, in order of the operations.
    Committed(Vec<u64>),
    /// It had no effect; the rows whose condition did not hold, as they are.
    Conflict(Vec<Mismatch>),
}

/// A row that did not meet its condition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mismatch {
    /// The index of the operation.
    pub index: usize,
    /// The row, if there is one.
    pub row: Option<Row>,
}

/// The body of `POST /v1/table/read`; the answer is a list of [`Row`]s or nulls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// The keys.
    pub keys: Vec<String>,
}

/// The body of `POST /v1/table/scan`; the answer is a list of [`Row`]s in order of key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// Keys start with this.
    pub prefix: String,
    /// Keys come after this.
    pub after: String,
    /// The most rows.
    pub limit: usize,
}

/// The answer to `GET /v1/hosts`; it may lag by seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The number of changes of the list up to this one.
    pub revision: u64,
    /// The hosts, sorted by name.
    pub hosts: Vec<Host>,
}

/// An entry of the host list; `POST /v1/hosts` puts one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the host or backend server.
    pub name: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What it is.
    pub kind: HostKind,
    /// Whether it is to be used no more.
    pub leaving: bool,
}

/// What a host is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// An entry host.
    Entry {
        /// Where its router takes calls of its peers.
        router: SocketAddr,
        /// Where its agent takes calls of its peers.
        agent: SocketAddr,
    },
    /// A backend server.
    Backend {
        /// The service of which it is a part.
        service: ServiceName,
        /// Where it takes requests.
        addr: SocketAddr,
    },
}
