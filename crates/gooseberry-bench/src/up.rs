//! `up`: the demo's deployment, kept running for a person to try.

use bpaf::Bpaf;

use crate::demo;
use crate::harness::fleet::Fleet;
use crate::harness::{BenchError, build};

/// How the deployment is kept.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Stop after so many seconds; otherwise at Ctrl-C.
    #[bpaf(long, argument("S"))]
    seconds: Option<u64>,
    /// How many entry hosts it has.
    #[bpaf(long, argument("N"), fallback(2))]
    hosts: usize,
    /// How many engines it has.
    #[bpaf(long, argument("N"), fallback(3))]
    engines: usize,
}

/// Runs the deployment until it is told to stop.
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
    println!("\nrunning; Ctrl-C stops it");
    let stopped = tokio::signal::ctrl_c();
    match options.seconds {
        // Without a handler for the signal the process ends by the signal itself.
        None => drop(stopped.await),
        Some(s) => {
            let limit = std::time::Duration::from_secs(s);
            let _ = tokio::time::timeout(limit, stopped).await;
        }
    }
    Ok(true)
}
