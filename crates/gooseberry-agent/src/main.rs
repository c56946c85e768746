//! `gooseberry-agent`: the agent of an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use settings::agent::Agent as Settings;
use telemetry::daemon;

/// Program name in messages.
const PROGRAM: &str = "gooseberry-agent";

/// The agent of an entry host: watches the configuration, the hosts and the backend servers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// JSON file with the settings.
    #[bpaf(short, long, argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit.
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    let prepared = daemon::prepare(PROGRAM, &options.settings, options.check, |s: &Settings| {
        &s.log
    });
    let settings = match prepared {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let stop = telemetry::signals::stop_on_signal();
    daemon::exit_code(PROGRAM, gooseberry_agent::run::run(settings, stop).await)
}
