//! `gooseberry-gateway`: the gateway process of an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use settings::gateway::Gateway as Settings;
use telemetry::{daemon, stdout_log};

/// The program name in error messages.
const PROGRAM: &str = "gooseberry-gateway";

/// Gateway of an entry host: routes the requests of callers to backend servers and returns their answers.
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
