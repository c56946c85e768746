//! Settings and validation shared by several processes.

use std::net::SocketAddr;

use profiles::check::Fault;
use serde::{Deserialize, Serialize};

/// Log settings of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Least severe level that is written.
    pub level: Level,
    /// Format of a log line.
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

/// Log level, from the least to the most verbose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Writes nothing.
    Off,
    /// Failures that need an operator.
    Error,
    /// Failures that were recovered from.
    Warn,
    /// Start, shutdown and changes of state.
    Info,
    /// Each request.
    Debug,
    /// Each message.
    Trace,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// Time, level, module and message.
    Full,
    /// Level and message, for log collectors that add the time themselves.
    Short,
}

/// Returns a fault if `addr` is unspecified, such as `0.0.0.0`, so that peers cannot reach it.
pub(crate) fn address_fault(place: &str, addr: SocketAddr) -> Option<Fault> {
    if addr.ip().is_unspecified() {
        let remedy = "write the IP number of this host's interface";
        return Some(Fault::new(place.to_owned(), addr.to_string(), remedy));
    }
    None
}

/// Returns a fault if `name` is empty.
pub(crate) fn name_fault(place: &str, name: &str) -> Option<Fault> {
    if name.is_empty() {
        let remedy = "write the name that the platform's host list uses";
        return Some(Fault::new(place.to_owned(), "an empty name", remedy));
    }
    None
}
