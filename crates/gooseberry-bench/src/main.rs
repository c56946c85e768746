//! `gooseberry-bench`: experiments with real processes on loopback addresses.

mod demo;
#[expect(dead_code, reason = "the fault experiments use what the demo does not")]
mod harness;
mod load;
mod overhead;
mod slopes;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Experiments with real processes on loopback addresses; each ends what it starts.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Kill an engine in the middle of generations and show that every answer is whole.
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::options))] demo::Options),
    /// Offer rising load to both deployments and compare rules of choice.
    #[bpaf(command)]
    Load(#[bpaf(external(load::options))] load::Options),
    /// Measure what each token, request, stream and node costs.
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes::options))] slopes::Options),
    /// Compare streams through one router with streams straight from the engines.
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::options))] overhead::Options),
}

#[tokio::main]
async fn main() -> ExitCode {
    let ran = match command().run() {
        Command::Demo(options) => demo::run(options).await,
        Command::Load(options) => load::run(options).await,
        Command::Slopes(options) => slopes::run(options).await,
        Command::Overhead(options) => overhead::run(options).await,
    };
    match ran {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("gooseberry-bench: {e}");
            ExitCode::FAILURE
        }
    }
}
