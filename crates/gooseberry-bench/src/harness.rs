//! Starts the processes of a deployment, injects faults and watches callers.

pub(crate) mod build;
pub(crate) mod caller;
pub(crate) mod child;
pub(crate) mod fit;
pub(crate) mod fleet;
pub(crate) mod relay;
pub(crate) mod report;
pub(crate) mod usage;

use std::path::PathBuf;

use thiserror::Error;

/// Why an experiment could not be carried out.
#[derive(Debug, Error)]
pub(crate) enum BenchError {
    /// The programs could not be built.
    #[error("the programs could not be built: {0}; run `cargo build --workspace --bins`")]
    Build(String),
    /// A process could not be started.
    #[error("{program} could not be started: {cause}; build it first")]
    Start {
        /// The program.
        program: String,
        /// The cause given by the system.
        cause: std::io::Error,
    },
    /// A file could not be written.
    #[error("{file} could not be written: {cause}; free some space")]
    File {
        /// The file.
        file: PathBuf,
        /// The cause given by the system.
        cause: std::io::Error,
    },
    /// An address of the bench itself cannot be had.
    #[error("cannot listen on {addr}: {cause}; end what uses the address")]
    Listen {
        /// The address.
        addr: std::net::SocketAddr,
        /// The cause given by the system.
        cause: std::io::Error,
    },
    /// A process did not become ready.
    #[error("{0} did not become ready in time; see its log")]
    NotReady(String),
    /// A call of the bench itself failed.
    #[error(transparent)]
    Call(#[from] web::client::CallError),
}
