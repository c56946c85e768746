//! `gooseberry-gateway`: the gateway of an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use settings::gateway::Gateway as Settings;
use telemetry::{daemon, stdout_log};

/// The name of the program in its messages.
const PROGRAM: &str = "gooseberry-gateway";

/// The gateway of an entry host: takes the requests of callers and runs them on backend servers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// The JSON file with the settings.
    #[bpaf(short, long, env(platform::SETTINGS_ENV), argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit.
    check: bool,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = options().run();
    let settings: Settings = match daemon::read_settings(PROGRAM, &options.settings, options.check)
    {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let lines = stdout_log::start(settings.log_level);
    let result = gooseberry_gateway::run::run(settings, &options.settings, &lines).await;
    daemon::exit_code(PROGRAM, result)
}
