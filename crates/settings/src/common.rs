//! What the settings of several processes share.

use std::net::SocketAddr;

use profiles::check::Fault;
use serde::{Deserialize, Serialize};

/// How a process writes its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The least severe level that is written.
    pub level: Level,
    /// The shape of a line.
    pub format: Format,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: Level::Info,
            format: Format::Full,
        }
    }
}

/// A level of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Nothing.
    Off,
    /// Losses that need an operator.
    Error,
    /// Losses that were recovered.
    Warn,
    /// Starts, stops and changes.
    Info,
    /// Each request.
    Debug,
    /// Each message.
    Trace,
}

/// The shape of a line of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// Time, level, module and message.
    Full,
    /// Level and message, for a log collector that adds the time.
    Short,
}

/// The fault of an address on which a process cannot be reached, if it is one.
pub(crate) fn address_fault(place: &str, addr: SocketAddr) -> Option<Fault> {
    if addr.ip().is_unspecified() {
        let remedy = "write the IP number of this host's interface";
        return Some(Fault::new(place.to_owned(), addr.to_string(), remedy));
    }
    None
}

/// The fault of a name that is empty, if it is one.
pub(crate) fn name_fault(place: &str, name: &str) -> Option<Fault> {
    if name.is_empty() {
        let remedy = "write the name that the platform's host list uses";
        return Some(Fault::new(place.to_owned(), "an empty name", remedy));
    }
    None
}
