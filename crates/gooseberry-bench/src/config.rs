//! `config`: changes of the configuration reach every reachable agent, and what that costs.
//!
//! For each way of spreading, the same agents are started, changed at a steady rate and in bursts,
//! killed, frozen and cut from the platform.

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

/// The time between two changes at the steady rate.
const STEADY_INTERVAL: Duration = Duration::from_secs(1);

/// The changes of a burst.
const BURST_CHANGES: usize = 20;

/// The longest that a frozen agent stays so.
const FREEZE_DURATION: Duration = Duration::from_secs(4);

/// The time for the last change to arrive everywhere, and for a part without changes.
const SETTLE: Duration = Duration::from_secs(5);

/// The bounds that the users have set.
const MAX_IN_FORCE_MS: f64 = 4_000.0;
const MAX_BYTES_S: f64 = 11_000.0;
const MAX_CPU_SHARE: f64 = 0.04;
const MAX_MEMORY_MB: f64 = 256.0;

/// How the experiment runs.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// How many agents there are.
    #[bpaf(long("nodes"), argument("N"), fallback(34))]
    agents: usize,
    /// Over how many data centres they are spread.
    #[bpaf(long, argument("N"), fallback(1))]
    centres: usize,
    /// The seed of what is changed, killed and frozen.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// How many steady changes there are in each part of a run.
    #[bpaf(long, argument("N"), fallback(6))]
    changes: usize,
    /// One way of spreading only: poll, flat or tree.
    #[bpaf(long, argument("WAY"), optional)]
    way: Option<Topology>,
    /// Print the report as JSON only.
    json: bool,
}

/// Runs the experiment; returns whether the default way keeps all bounds.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let programs = build::programs().await?;
    let ways = match options.way {
        Some(way) => vec![way],
        None => vec![Topology::Poll, Topology::Flat, Topology::Tree],
    };
    let mut reports = Vec::new();
    let mut is_within = true;
    for way in ways {
        if !options.json {
            println!("{way}: {} agents", options.agents);
        }
        let report = run_way(&programs, &options, way).await?;
        if way == options.way.unwrap_or_default() {
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

async fn run_way(
    programs: &std::path::Path,
    options: &Options,
    way: Topology,
) -> Result<Value, BenchError> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut agents = Agents::start(programs, options.agents, options.centres, way).await?;
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
        "way": way,
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

/// The commit of the working tree, if it is known.
fn commit() -> String {
    let output = std::process::Command::new("git")
        .args(["describe", "--always", "--dirty"])
        .output();
    match output {
        Ok(output) => String::from_utf8_lossy(&output.stdout).trim().to_owned(),
        Err(_) => "unknown".to_owned(),
    }
}
