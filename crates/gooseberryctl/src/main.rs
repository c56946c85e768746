//! `gooseberryctl`: the operator command line.

use std::process::ExitCode;

use gooseberryctl::commands;
use gooseberryctl::options::options;

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    match commands::run(options).await {
        Ok(exit) => ExitCode::from(exit.code()),
        Err(e) => {
            eprintln!("gooseberryctl: {e}");
            ExitCode::from(e.exit().code())
        }
    }
}
