//! `gooseberry-bench`: experiments with real processes on loopback addresses.

mod calls;
mod config;
mod demo;
mod drain;
mod faults;
#[expect(dead_code, reason = "later experiments use what these do not")]
mod harness;
mod load;
mod overhead;
mod slopes;
mod soak;
mod up;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Experiments with real processes on loopback addresses; each ends what it starts.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Call a plain service under faults and count how often each key ran.
    #[bpaf(command)]
    Calls(#[bpaf(external(calls::options))] calls::Options),
    /// Kill an engine in the middle of generations and show that every answer is whole.
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::options))] demo::Options),
    /// Keep the demo's deployment running and print its addresses.
    #[bpaf(command)]
    Up(#[bpaf(external(up::options))] up::Options),
    /// Let engines, routers and connections fail while many answers are under way.
    #[bpaf(command)]
    Faults(#[bpaf(external(faults::options))] faults::Options),
    /// Change the configuration under kills and partitions, and measure how it spreads.
    #[bpaf(command)]
    Config(#[bpaf(external(config::options))] config::Options),
    /// Replace every entry host and a third of the engines while answers are under way.
    #[bpaf(command)]
    Drain(#[bpaf(external(drain::options))] drain::Options),
    /// Offer rising load to both deployments and compare rules of choice.
    #[bpaf(command)]
    Load(#[bpaf(external(load::options))] load::Options),
    /// Run gateways on the users' platform under faults from outside, and check what they promise.
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::options))] soak::Options),
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
        Command::Calls(options) => calls::run(options).await,
        Command::Demo(options) => demo::run(options).await,
        Command::Up(options) => up::run(options).await,
        Command::Faults(options) => faults::run(options).await,
        Command::Config(options) => config::run(options).await,
        Command::Drain(options) => drain::run(options).await,
        Command::Load(options) => load::run(options).await,
        Command::Soak(options) => soak::run(options).await,
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
