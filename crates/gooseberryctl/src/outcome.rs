//! Exit codes and errors of commands.

use std::path::PathBuf;

use thiserror::Error;

/// Result of a command, as an exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded; a change was accepted.
    Done,
    /// Nothing was sent, or no response came.
    Failed,
    /// Another operator's change was accepted after the base of this one.
    Conflict,
    /// The change was refused.
    Refused,
    /// The change may have been accepted, or may still be.
    Unknown,
    /// The change was accepted, but some hosts do not have it yet.
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

/// Error that ends a command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// Declarations cannot be read or are invalid; one message per fault.
    #[error("{}", .0.join("\n"))]
    Declarations(Vec<String>),
    /// No agent address is given.
    #[error("no agent address; pass --agent ADDR or set GOOSEBERRY_AGENT")]
    NoAgent,
    /// No operator key is given.
    #[error("no operator key; pass --key-file FILE or set GOOSEBERRY_KEY")]
    NoKey,
    /// The key file cannot be read.
    #[error("{}: cannot be read: {cause}; name a file that exists and may be read", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// Standard input cannot be read.
    #[error("standard input cannot be read: {0}; pipe the key into it")]
    Input(std::io::Error),
    /// A call to an agent failed.
    #[error(transparent)]
    Call(#[from] web::client::CallError),
    /// The agent refused the key; holds its message.
    #[error("{0}")]
    Unauthorized(String),
    /// The host is not listed, or its agent does not answer.
    #[error("host {0} is not known or its agent does not answer; see `gooseberryctl hosts`")]
    NoHost(String),
}

impl CommandError {
    /// Exit code category of the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Unauthorized(_) => Exit::Refused,
            _ => Exit::Failed,
        }
    }
}
