//! How a command ends: exit codes and errors.

use std::path::PathBuf;

use thiserror::Error;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It did what was asked; a change was accepted.
    Done,
    /// Nothing was sent, or an answer did not come.
    Failed,
    /// Another operator's change was accepted since.
    Conflict,
    /// The change was refused.
    Refused,
    /// The change may have been accepted, or may yet be.
    Unknown,
    /// The change was accepted, and some hosts do not have it yet.
    Lagging,
}

impl Exit {
    /// The exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Conflict => 2,
            Self::Refused => 3,
            Self::Unknown => 4,
            Self::Lagging => 5,
        }
    }
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// Declarations are wrong.
    #[error("{}", .0.join("\n"))]
    Declarations(Vec<String>),
    /// There is no address to ask.
    #[error("no agent to ask; write --agent ADDR or set GOOSEBERRY_AGENT")]
    NoAgent,
    /// There is no key.
    #[error("no operators' key; write --key-file FILE or set GOOSEBERRY_KEY")]
    NoKey,
    /// A file cannot be read.
    #[error("{}: cannot be read: {cause}; name a file that exists and may be read", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The cause given by the system.
        cause: std::io::Error,
    },
    /// Standard input cannot be read.
    #[error("standard input cannot be read: {0}; pipe the key into it")]
    Input(std::io::Error),
    /// A call failed.
    #[error(transparent)]
    Call(#[from] web::client::CallError),
    /// The agent refused the key.
    #[error("{0}")]
    Unauthorized(String),
    /// A host is not known.
    #[error("host {0} is not known or its agent does not answer; see `gooseberryctl hosts`")]
    NoHost(String),
}

impl CommandError {
    /// The exit that goes with the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Unauthorized(_) => Exit::Refused,
            _ => Exit::Failed,
        }
    }
}
