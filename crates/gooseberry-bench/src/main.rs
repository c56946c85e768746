//! `gooseberry-bench`: experiments with real processes on loopback addresses.

mod calls;
mod demo;
#[expect(dead_code, reason = "the fault experiments use what the demo does not")]
mod harness;

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
}

#[tokio::main]
async fn main() -> ExitCode {
    let ran = match command().run() {
        Command::Calls(options) => calls::run(options).await,
        Command::Demo(options) => demo::run(options).await,
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
