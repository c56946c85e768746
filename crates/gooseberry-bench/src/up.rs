//! `up`: runs the deployment of the demo for manual testing.

use bpaf::Bpaf;

use crate::demo;
use crate::harness::fleet::Fleet;
use crate::harness::{BenchError, build};

/// Options of the `up` command.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Stop after this many seconds; by default, run until Ctrl-C.
    #[bpaf(long, argument("S"))]
    seconds: Option<u64>,
    /// Number of entry hosts.
    #[bpaf(long, argument("N"), fallback(2))]
    hosts: usize,
    /// Number of engines.
    #[bpaf(long, argument("N"), fallback(3))]
    engines: usize,
}

/// Runs the deployment until Ctrl-C or until the given time is over.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    println!("building the programs");
    let programs = build::programs().await?;
    let plan = demo::plan(options.hosts, options.engines);
    let fleet = Fleet::start(&programs, &plan).await?;
    println!("\nexport BEARER={}", demo::BEARER);
    for (i, host) in fleet.hosts.iter().enumerate() {
        println!("export ROUTER_{i}=http://{}", host.callers);
        println!("export ADMIN_{i}=http://{}", host.admin);
    }
    for (i, engine) in fleet.engines.iter().enumerate() {
        println!("export ENGINE_{i}=http://{}", engine.addr);
    }
    println!("\nrunning; press Ctrl-C to stop");
    let stopped = tokio::signal::ctrl_c();
    match options.seconds {
        // If no signal handler can be installed, Ctrl-C terminates the process directly.
        None => drop(stopped.await),
        Some(s) => {
            let limit = std::time::Duration::from_secs(s);
            let _ = tokio::time::timeout(limit, stopped).await;
        }
    }
    Ok(true)
}
