//! `soak`: gateways on the users' platform under random faults from outside.
//!
//! Real processes: a store, backend servers and gateways. Connections between them, and those of
//! callers, pass through proxies that delay, reset, cut and silence them; processes are paused, killed,
//! stopped and started by signals. What callers and backend servers see is checked while it runs and at
//! the end. The same seed draws the same faults; their timing on the machine differs.

mod callers;
mod faults;
mod judge;
mod proxy;
mod site;

use std::time::Duration;

use bpaf::Bpaf;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::harness::{BenchError, build};
use callers::Callers;
use faults::Fault;
use judge::Finding;
use site::{Shape, Site};

/// The time without faults before the end, after which everything must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// In one of so many seeds only planned work is done, under which nothing may be cut.
const PLANNED_EVERY: u64 = 4;

/// Seeds that once had a finding, with its cause; `--regressions` runs them.
const REGRESSIONS: [(u64, &str); 2] = [
    (
        136,
        "a stopping host passed a request on after it had decided to end",
    ),
    (148, "the same"),
];

/// How the soak runs.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// The first seed.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// How many seeds are run, one after the other.
    #[bpaf(long, argument("N"), fallback(1))]
    seeds: u64,
    /// How long faults come in each, in seconds.
    #[bpaf(long, argument("N"), fallback(12))]
    seconds: u64,
    /// The gateways.
    #[bpaf(long, argument("N"), fallback(3))]
    gateways: usize,
    /// The engines; there are a third as many plain servers, two at least.
    #[bpaf(long, argument("N"), fallback(6))]
    engines: usize,
    /// The callers.
    #[bpaf(long, argument("N"), fallback(24))]
    callers: usize,
    /// Run the seeds that once had a finding instead.
    regressions: bool,
}

/// Runs the seeds; whether none has a finding.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let programs = build::programs().await?;
    let mut failed = Vec::new();
    let seeds: Vec<u64> = if options.regressions {
        REGRESSIONS.iter().map(|(seed, _)| *seed).collect()
    } else {
        (options.seed..options.seed + options.seeds).collect()
    };
    for seed in &seeds {
        let seed = *seed;
        let findings = run_seed(&programs, &options, seed).await?;
        for finding in &findings {
            println!("seed {seed}: {finding}");
        }
        if !findings.is_empty() {
            if let Some((_, cause)) = REGRESSIONS.iter().find(|(s, _)| *s == seed) {
                println!("seed {seed} failed before: {cause}");
            }
            failed.push(seed);
        }
    }
    println!("{} seeds, with findings: {failed:?}", seeds.len());
    Ok(failed.is_empty())
}

/// Runs one seed.
async fn run_seed(
    programs: &std::path::Path,
    options: &Options,
    seed: u64,
) -> Result<Vec<Finding>, BenchError> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let shape = Shape {
        gateways: options.gateways,
        engines: options.engines,
        plain: (options.engines / 3).max(2),
    };
    let mut site = Site::start(programs, seed, shape).await?;
    let callers = Callers::start(&site, options.callers, seed);
    let end = tokio::time::Instant::now() + Duration::from_secs(options.seconds);
    let is_planned = seed.is_multiple_of(PLANNED_EVERY);
    let mut count = 0;
    while tokio::time::Instant::now() < end {
        let pause = rng.random_range(100..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let fault = Fault::draw(&mut rng, &shape, is_planned);
        println!("seed {seed}: {fault:?}");
        site.inject(&fault, &mut rng).await?;
        site.restart_gateways()?;
        count += 1;
    }
    site.heal().await?;
    tokio::time::sleep(RECOVERY_TIME).await;
    let mut findings = judge::check_recovery(&site, seed).await;
    let records = callers.stop().await;
    site.stop().await;
    findings.extend(judge::judge(&records, &site, is_planned));
    println!("seed {seed}: {count} faults, {}", judge::summary(&records));
    Ok(findings)
}
