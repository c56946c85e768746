//! The options of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use strum::EnumString;

/// Checks and applies the declarations of profiles, services and workspaces, and looks at hosts.
///
/// Exit codes: 0 done or accepted; 1 nothing was sent or no answer came; 2 conflict with another
/// operator; 3 refused; 4 unknown whether it was accepted; 5 accepted, and some hosts lag.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// The operators' address of any agent, as 10.0.0.7:7005.
    #[bpaf(short, long, env("GOOSEBERRY_AGENT"), argument("ADDR"), optional)]
    pub agent: Option<SocketAddr>,
    /// The file with the operators' key; without it the key is taken from GOOSEBERRY_KEY.
    #[bpaf(short, long, argument("FILE"), optional)]
    pub key_file: Option<PathBuf>,
    /// Print JSON.
    pub json: bool,
    /// What to do.
    #[bpaf(external)]
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Check a directory of declarations without sending anything.
    #[bpaf(command)]
    Check {
        /// The directory with profiles/*.json, services/*.json and workspaces/*.json.
        #[bpaf(positional("DIR"))]
        directory: PathBuf,
    },
    /// Print what applying a directory would change.
    #[bpaf(command)]
    Diff {
        /// The directory with profiles/*.json, services/*.json and workspaces/*.json.
        #[bpaf(positional("DIR"))]
        directory: PathBuf,
    },
    /// Make the accepted configuration what a directory declares.
    #[bpaf(command)]
    Apply {
        /// The version on which the declarations are based; without it, the one that is read first.
        #[bpaf(long, argument("VERSION"), optional)]
        base: Option<u64>,
        /// Wait until the version is in force on every known host.
        wait: bool,
        /// The longest wait, in seconds.
        #[bpaf(long, argument("SECONDS"), fallback(30))]
        limit: u64,
        /// The directory with profiles/*.json, services/*.json and workspaces/*.json.
        #[bpaf(positional("DIR"))]
        directory: PathBuf,
    },
    /// Print the accepted configuration.
    #[bpaf(command)]
    Show,
    /// Print the latest accepted changes.
    #[bpaf(command)]
    History,
    /// Take a profile, service or workspace away.
    #[bpaf(command)]
    Retire {
        /// What it is: profile, service or workspace.
        #[bpaf(positional("KIND"))]
        kind: Kind,
        /// Its name.
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Let an entry host finish its requests and take no new ones.
    #[bpaf(command)]
    Drain {
        /// The name of the host.
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// Print the entry hosts, each with the version in force there.
    #[bpaf(command)]
    Hosts,
    /// Print all that the agent of an entry host believes.
    #[bpaf(command)]
    State {
        /// The name of the host.
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
