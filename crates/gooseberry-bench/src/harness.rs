//! Shared parts of the experiments: processes of a deployment, faults, callers and measurements.

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

/// Why an experiment could not run to its end.
#[derive(Debug, Error)]
pub(crate) enum BenchError {
    /// Cargo failed to build the programs; holds the cause or its exit status.
    #[error("cannot build the programs: {0}; run `cargo build --workspace --bins` to see why")]
    Build(String),
    /// A process could not be spawned, or its log file not be opened.
    #[error(
        "cannot start {program}: {cause}; check that it is built and that its log file is writable"
    )]
    Start {
        /// File name of the program.
        program: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// A file or folder of the run could not be written.
    #[error("cannot write {file}: {cause}; check its permissions and the free disk space")]
    File {
        /// Path of the file or folder.
        file: PathBuf,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// A relay or proxy of the bench could not bind its address.
    #[error("cannot listen on {addr}: {cause}; stop the process that uses the address")]
    Listen {
        /// Loopback address of the relay or proxy.
        addr: std::net::SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// A process did not become ready before the start-up timeout; holds its name or address.
    #[error("{0} did not become ready before the start-up timeout; see its log")]
    NotReady(String),
    /// An HTTP call from the bench to a process failed.
    #[error(transparent)]
    Call(#[from] web::client::CallError),
}
