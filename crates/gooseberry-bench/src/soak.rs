//! `soak`: runs gateways on stand-ins of their platform under random faults.
//!
//! Starts real processes: a store, backend servers and gateways. The connections of gateways to
//! callers, backend servers and the store pass through proxies that delay, reset, block and stall
//! them. Processes are suspended, killed, stopped and restarted. At the end of each seed, every
//! gateway must serve each kind of request again, and the answers that callers received are checked
//! against the requests that the backend servers recorded. The same seed draws the same faults, but
//! their timing varies between runs.

mod callers;
mod faults;
mod judge;
mod proxy;
mod site;

use std::path::{Path, PathBuf};
use std::time::Duration;

use bpaf::Bpaf;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::harness::{BenchError, build};
use callers::Callers;
use faults::Fault;
use judge::Finding;
use site::{Programs, Shape, Site};

/// The time without faults before the final requests, all of which must be served.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// One seed in this many draws only planned operations, during which no request may be interrupted.
const PLANNED_EVERY: u64 = 4;

/// Seeds that once had a finding, and its cause; `--regressions` runs them.
const REGRESSIONS: [(u64, &str); 2] = [
    (
        136,
        "a stopping host forwarded a request after it had decided to exit",
    ),
    (148, "the same cause as seed 136"),
];

/// Options of `soak`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// The first seed.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// The number of successive seeds to run, one after the other.
    #[bpaf(long, argument("N"), fallback(1))]
    seeds: u64,
    /// How long faults are injected for each seed, in seconds.
    #[bpaf(long, argument("N"), fallback(12))]
    seconds: u64,
    /// The number of gateways.
    #[bpaf(long, argument("N"), fallback(3))]
    gateways: usize,
    /// The number of engines; there are a third as many plain servers, at least two.
    #[bpaf(long, argument("N"), fallback(6))]
    engines: usize,
    /// The number of concurrent callers.
    #[bpaf(long, argument("N"), fallback(24))]
    callers: usize,
    /// Run the seeds that once had a finding, instead of those from `--seed`.
    regressions: bool,
    /// The folder with the gateway of an earlier version. Every other gateway starts with it, and each restart
    /// replaces a gateway by one of the other version.
    #[bpaf(long, argument("FOLDER"))]
    earlier: Option<PathBuf>,
}

/// Runs the seeds; returns whether none has a finding.
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
                println!("seed {seed} had a finding before: {cause}");
            }
            failed.push(seed);
        }
    }
    println!("{} seeds run, seeds with findings: {failed:?}", seeds.len());
    Ok(failed.is_empty())
}

/// Runs one seed and returns its findings.
async fn run_seed(
    programs: &Path,
    options: &Options,
    seed: u64,
) -> Result<Vec<Finding>, BenchError> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let shape = Shape {
        gateways: options.gateways,
        engines: options.engines,
        plain: (options.engines / 3).max(2),
    };
    let programs = Programs {
        current: programs.to_owned(),
        earlier: options.earlier.clone(),
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
    if !is_planned && findings.is_empty() {
        findings.extend(judge::check_cut_gateway(&site, seed).await);
    }
    let records = callers.stop().await;
    site.stop().await;
    findings.extend(judge::judge(&records, &site, is_planned));
    println!("seed {seed}: {count} faults, {}", judge::summary(&records));
    Ok(findings)
}
