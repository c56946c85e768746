//! `gooseberry-bench`: experiments and benchmarks with real processes on loopback addresses.

mod calls;
mod config;
mod demo;
mod drain;
mod faults;
#[expect(dead_code, reason = "some helpers are not used by any experiment")]
mod harness;
mod load;
mod overhead;
mod slopes;
mod soak;
mod up;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Experiments with real processes on loopback addresses. Each stops the processes that it starts.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Call a plain service under faults and count how often each idempotency key was executed.
    #[bpaf(command)]
    Calls(#[bpaf(external(calls::options))] calls::Options),
    /// Kill an engine during generation and check that every answer is complete and exact.
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::options))] demo::Options),
    /// Run the deployment of the demo until stopped, and print its addresses.
    #[bpaf(command)]
    Up(#[bpaf(external(up::options))] up::Options),
    /// Inject failures of engines, routers and connections while many streams are in flight.
    #[bpaf(command)]
    Faults(#[bpaf(external(faults::options))] faults::Options),
    /// Change the configuration under kills and partitions, and measure how fast it propagates.
    #[bpaf(command)]
    Config(#[bpaf(external(config::options))] config::Options),
    /// Replace every entry host and a third of the engines while streams are in flight.
    #[bpaf(command)]
    Drain(#[bpaf(external(drain::options))] drain::Options),
    /// Offer increasing load to both deployments and compare load-balancing rules.
    #[bpaf(command)]
    Load(#[bpaf(external(load::options))] load::Options),
    /// Run gateways on a simulated platform under injected faults, and check their guarantees.
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::options))] soak::Options),
    /// Measure the processor time and memory per token, request, stream, engine and host.
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes::options))] slopes::Options),
    /// Compare streams through one router with streams read directly from the engines.
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::options))] overhead::Options),
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match command().run() {
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
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("gooseberry-bench: {e}");
            ExitCode::FAILURE
        }
    }
}
