//! `config`: measures how configuration changes propagate to all reachable agents, and the cost.
//!
//! For each distribution topology it starts the same number of agents, proposes changes at a steady
//! rate and in bursts, kills and freezes agents, and cuts some of them off from the platform.

mod agents;
mod changes;
mod judge;
mod relay;
mod usage;

use std::time::Duration;

use bpaf::Bpaf;
use profiles::topology::Topology;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::harness::{BenchError, build};
use agents::{Agents, WORKSPACES};
use changes::Operators;
use usage::Usage;

/// Time between two changes at the steady rate.
const STEADY_INTERVAL: Duration = Duration::from_secs(1);

/// Number of changes in a burst.
const BURST_CHANGES: usize = 20;

/// Minimum time for which the watcher stays frozen.
const FREEZE_DURATION: Duration = Duration::from_secs(4);

/// Time for the last change to reach all agents; also the length of the idle measurement.
const SETTLE: Duration = Duration::from_secs(5);

/// Bound on the time from sending a change until it is in force at all reachable agents.
const MAX_IN_FORCE_MS: f64 = 4_000.0;

/// Bound on the bytes sent and received per second by any agent.
const MAX_BYTES_S: f64 = 11_000.0;

/// Bound on the share of one core used by any agent.
const MAX_CPU_SHARE: f64 = 0.04;

/// Bound on the resident memory of any agent, in MiB.
const MAX_MEMORY_MB: f64 = 256.0;

/// Options of the `config` experiment.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Number of agents, one per host.
    #[bpaf(long("nodes"), argument("N"), fallback(34))]
    agents: usize,
    /// Number of data centres over which the agents are distributed.
    #[bpaf(long, argument("N"), fallback(1))]
    centres: usize,
    /// Seed of the choice of changes and of the agents that are killed.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// Number of changes at the steady rate in each phase of a run; half as many in the last one.
    #[bpaf(long, argument("N"), fallback(6))]
    changes: usize,
    /// Run only one distribution topology: poll, flat or tree.
    #[bpaf(long("way"), argument("WAY"), optional)]
    topology: Option<Topology>,
    /// Print the report as JSON only.
    json: bool,
}

/// Runs the experiment; returns whether the default topology, or the one given, satisfies all
/// bounds.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let programs = build::programs().await?;
    let topologies = match options.topology {
        Some(topology) => vec![topology],
        None => vec![Topology::Poll, Topology::Flat, Topology::Tree],
    };
    let mut reports = Vec::new();
    let mut is_within = true;
    for topology in topologies {
        if !options.json {
            println!("{topology}: {} agents", options.agents);
        }
        let report = run_topology(&programs, &options, topology).await?;
        if topology == options.topology.unwrap_or_default() {
            is_within = report["within_bounds"] == true;
        }
        reports.push(report);
    }
    let report = json!({
        "experiment": "config",
        "commit": commit(),
        "seed": options.seed,
        "nodes": options.agents,
        "centres": options.centres,
        "workspaces": WORKSPACES,
        "default": Topology::default(),
        "ways": reports,
    });
    println!("{report:#}");
    Ok(is_within)
}

async fn run_topology(
    programs: &std::path::Path,
    options: &Options,
    topology: Topology,
) -> Result<Value, BenchError> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut agents = Agents::start(programs, options.agents, options.centres, topology).await?;
    let mut operators = Operators::default();

    let before = Usage::read(&agents).await;
    sleep(SETTLE).await;
    let idle = Usage::read(&agents).await.since(&before);

    let before = Usage::read(&agents).await;
    operators
        .steady(&agents, &mut random, options.changes, STEADY_INTERVAL)
        .await;
    let steady = Usage::read(&agents).await.since(&before);

    for _ in 0..2 {
        operators
            .steady(&agents, &mut random, BURST_CHANGES, Duration::ZERO)
            .await;
        operators.race(&agents, &mut random).await;
    }
    let killed = agents.kill_some(&mut random);
    let frozen = agents.freeze_watcher();
    operators
        .steady(&agents, &mut random, options.changes, STEADY_INTERVAL)
        .await;
    agents.thaw(frozen, FREEZE_DURATION).await;
    for i in killed {
        agents.restart(i).await?;
    }
    agents.cut(true);
    operators
        .steady(&agents, &mut random, options.changes, STEADY_INTERVAL)
        .await;
    agents.cut(false);
    operators
        .steady(&agents, &mut random, options.changes / 2, STEADY_INTERVAL)
        .await;
    sleep(SETTLE).await;

    let verdict = judge::judge(&agents, &operators).await?;
    let is_within = verdict.lost == 0
        && verdict.reverted == 0
        && verdict.behind == 0
        && verdict.in_force_ms.max <= MAX_IN_FORCE_MS
        && steady.bytes_s.max <= MAX_BYTES_S
        && steady.cpu_share.max <= MAX_CPU_SHARE
        && steady.memory_mb.max <= MAX_MEMORY_MB;
    Ok(json!({
        "way": topology,
        "accepted": operators.accepted.len(),
        "conflicts": operators.conflicts,
        "unavailable": operators.unavailable,
        "failed": operators.failed,
        "lost": verdict.lost,
        "reverted": verdict.reverted,
        "behind": verdict.behind,
        "in_force_ms": verdict.in_force_ms,
        "control": steady,
        "control_idle": idle,
        "within_bounds": is_within,
    }))
}

/// `git describe` of the current directory, or `unknown` if git cannot be started.
fn commit() -> String {
    let output = std::process::Command::new("git")
        .args(["describe", "--always", "--dirty"])
        .output();
    match output {
        Ok(output) => String::from_utf8_lossy(&output.stdout).trim().to_owned(),
        Err(_) => "unknown".to_owned(),
    }
}
