//! `gooseberry-agent`: the agent of an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use settings::agent::Agent as Settings;

/// The agent of an entry host: watches the configuration, the hosts and the backend servers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// The JSON file with the settings.
    #[bpaf(short, long, argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit.
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    let settings: Settings = match settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("gooseberry-agent: {e}");
            return ExitCode::FAILURE;
        }
    };
    if options.check {
        println!("{}: correct", options.settings.display());
        return ExitCode::SUCCESS;
    }
    telemetry::logs::start(&settings.log);
    let stop = telemetry::signals::stop_on_signal();
    match gooseberry_agent::run::run(settings, stop).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("gooseberry-agent: {e}");
            ExitCode::FAILURE
        }
    }
}
