//! Command-line options.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use strum::EnumString;

/// Checks and applies declarations of profiles, services and workspaces, and inspects hosts.
///
/// Exit codes: 0 done or accepted; 1 nothing was sent or no response came; 2 conflict with another
/// operator; 3 refused; 4 unknown whether it was accepted; 5 accepted, but some hosts lag behind.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Operator address (`listen.admin`) of any agent, such as 10.0.0.7:7005.
    #[bpaf(short, long, env("GOOSEBERRY_AGENT"), argument("ADDR"), optional)]
    pub agent: Option<SocketAddr>,
    /// File with the operator key; without this option the key is read from GOOSEBERRY_KEY.
    #[bpaf(short, long, argument("FILE"), optional)]
    pub key_file: Option<PathBuf>,
    /// Print the output as JSON.
    pub json: bool,
    /// Command to run.
    #[bpaf(external)]
    pub command: Command,
}

/// Command to run.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Check a directory of declarations without sending anything.
    #[bpaf(command)]
    Check {
        /// Directory with profiles/*.json, services/*.json and workspaces/*.json.
        #[bpaf(positional("DIR"))]
        directory: PathBuf,
    },
    /// Print the changes that applying a directory would make.
    #[bpaf(command)]
    Diff {
        /// Directory with profiles/*.json, services/*.json and workspaces/*.json.
        #[bpaf(positional("DIR"))]
        directory: PathBuf,
    },
    /// Change the accepted configuration to what a directory declares.
    #[bpaf(command)]
    Apply {
        /// Version on which the declarations are based; by default the one that the agent reports.
        #[bpaf(long, argument("VERSION"), optional)]
        base: Option<u64>,
        /// Wait until the version is in force on every known host.
        wait: bool,
        /// Maximum wait, in seconds.
        #[bpaf(long, argument("SECONDS"), fallback(30))]
        limit: u64,
        /// Directory with profiles/*.json, services/*.json and workspaces/*.json.
        #[bpaf(positional("DIR"))]
        directory: PathBuf,
    },
    /// Print the accepted configuration.
    #[bpaf(command)]
    Show,
    /// Print the latest accepted changes.
    #[bpaf(command)]
    History,
    /// Remove a profile, service or workspace.
    #[bpaf(command)]
    Retire {
        /// Kind of the entry: profile, service or workspace.
        #[bpaf(positional("KIND"))]
        kind: Kind,
        /// Name of the entry.
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Let an entry host finish its requests and accept no new ones.
    #[bpaf(command)]
    Drain {
        /// Name of the host.
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// Print the entry hosts, each with the version in force there.
    #[bpaf(command)]
    Hosts,
    /// Print the state of the agent of an entry host as JSON.
    #[bpaf(command)]
    State {
        /// Name of the host.
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// Print the digest of a key that is read from standard input.
    #[bpaf(command)]
    Digest,
}

/// A kind of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A profile.
    Profile,
    /// A service.
    Service,
    /// A workspace.
    Workspace,
}
