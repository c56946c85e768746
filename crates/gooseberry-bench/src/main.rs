//! `gooseberry-bench`: experiments with real processes on loopback addresses.

mod calls;
mod config;
mod demo;
mod faults;
#[expect(dead_code, reason = "later experiments use what these do not")]
mod harness;
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
}

#[tokio::main]
async fn main() -> ExitCode {
    let ran = match command().run() {
        Command::Calls(options) => calls::run(options).await,
        Command::Demo(options) => demo::run(options).await,
        Command::Up(options) => up::run(options).await,
        Command::Faults(options) => faults::run(options).await,
        Command::Config(options) => config::run(options).await,
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
