//! `slopes`: measures the cost of each unit of work for routers and agents, by a linear fit over
//! three sizes.

pub(crate) mod work;

use std::path::Path;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::json;
use tokio::time::sleep;

use crate::demo;
use crate::harness::fit::{Fit, fit};
use crate::harness::fleet::Fleet;
use crate::harness::{BenchError, build, usage};
use work::{Batch, plan};

/// Number of streams in the runs that vary the number of tokens.
const STREAM_COUNT: usize = 60;

/// Output lengths in tokens.
const OUTPUT_LENGTHS: [u64; 3] = [50, 200, 400];

/// Numbers of requests with a single token.
const REQUEST_COUNTS: [usize; 3] = [100, 300, 600];

/// Numbers of concurrent streams.
const OPEN_STREAMS: [usize; 3] = [50, 150, 300];

/// Times after the start at which the memory of growing streams is read, in milliseconds.
const GROWTH_MS: [u64; 3] = [500, 1_500, 3_000];

/// Numbers of engines whose load an agent reads.
const ENGINE_COUNTS: [usize; 3] = [4, 12, 24];

/// Numbers of entry hosts.
const HOST_COUNTS: [usize; 3] = [2, 5, 8];

/// Numbers of workspaces in the configuration.
const WORKSPACE_COUNTS: [usize; 3] = [10, 100, 490];

/// Period over which the processor time of an idle agent is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(4);

/// Time for streams to start before memory is read.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Options of the `slopes` experiment.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Print the report as JSON only.
    json: bool,
}

/// Measures all slopes; returns whether every stream of the processor-time runs had a complete
/// answer.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let programs = build::programs().await?;
    let (token, is_complete) = cpu_by_token(&programs).await?;
    let (request, is_answered) = cpu_by_request(&programs).await?;
    let report = json!({
        "commit": build::commit().await,
        "router_cpu_us_by_token": token,
        "router_cpu_us_by_request": request,
        "router_bytes_by_stream": memory_by_stream(&programs).await?,
        "router_bytes_by_token": memory_by_token(&programs).await?,
        "agent_cpu_us_s_by_engine": agent_by_engine(&programs).await?,
        "agent_cpu_us_s_by_host": agent_by_host(&programs).await?,
        "view_bytes_by_engine": view_by_engine(&programs).await?,
        "document_bytes_by_workspace": document_by_workspace(),
        "not_measured": ["bytes by heartbeat", "bytes by change of configuration"],
        "whole": is_complete && is_answered,
    });
    println!("{report:#}");
    if !options.json {
        println!("router processor time includes all routers, also the witness");
    }
    Ok(is_complete && is_answered)
}

/// Processor time per token of both routers, owner and witness together, in microseconds.
async fn cpu_by_token(programs: &Path) -> Result<(Fit, bool), BenchError> {
    let fleet = Fleet::start(programs, &plan(2, 3, 10)).await?;
    let mut points = Vec::new();
    let mut is_complete = true;
    for tokens in OUTPUT_LENGTHS {
        let before = cpu(&fleet);
        let result = Batch::start(&fleet, STREAM_COUNT, tokens).finish().await;
        is_complete &= result.complete == STREAM_COUNT;
        let used = cpu(&fleet) - before;
        points.push((result.tokens as f64, used.as_secs_f64() * 1e6));
    }
    fleet.stop().await;
    Ok((fit(points), is_complete))
}

/// Processor time of both routers per request of one token, in microseconds.
async fn cpu_by_request(programs: &Path) -> Result<(Fit, bool), BenchError> {
    let fleet = Fleet::start(programs, &plan(2, 3, 10)).await?;
    let mut points = Vec::new();
    let mut is_complete = true;
    for count in REQUEST_COUNTS {
        let before = cpu(&fleet);
        let result = Batch::start(&fleet, count, 1).finish().await;
        is_complete &= result.complete == count;
        let used = cpu(&fleet) - before;
        points.push((count as f64, used.as_secs_f64() * 1e6));
    }
    fleet.stop().await;
    Ok((fit(points), is_complete))
}

/// Memory of both routers per open stream, in bytes.
async fn memory_by_stream(programs: &Path) -> Result<Fit, BenchError> {
    let mut points = Vec::new();
    for count in OPEN_STREAMS {
        let fleet = Fleet::start(programs, &plan(2, 3, 500)).await?;
        let before = memory(&fleet);
        let batch = Batch::start(&fleet, count, 20);
        sleep(SETTLE).await;
        points.push((count as f64, memory(&fleet) as f64 - before as f64));
        batch.abort();
        fleet.stop().await;
    }
    Ok(fit(points))
}

/// Memory of both routers per token of open streams, in bytes, for the copies of the owner and of
/// the witness.
async fn memory_by_token(programs: &Path) -> Result<Fit, BenchError> {
    let fleet = Fleet::start(programs, &plan(2, 3, 5)).await?;
    let batch = Batch::start(&fleet, STREAM_COUNT, 4_000);
    let mut points = Vec::new();
    let mut waited = 0;
    for at in GROWTH_MS {
        sleep(Duration::from_millis(at - waited)).await;
        waited = at;
        points.push((batch.tokens() as f64, memory(&fleet) as f64));
    }
    batch.abort();
    fleet.stop().await;
    Ok(fit(points))
}

/// Processor time of one idle agent per engine, in microseconds per second.
async fn agent_by_engine(programs: &Path) -> Result<Fit, BenchError> {
    let mut points = Vec::new();
    for engines in ENGINE_COUNTS {
        let fleet = Fleet::start(programs, &plan(1, engines, 10)).await?;
        points.push((engines as f64, idle_agent(&fleet).await));
        fleet.stop().await;
    }
    Ok(fit(points))
}

/// Size of the configuration as JSON per workspace, in bytes.
fn document_by_workspace() -> Fit {
    let mut document = demo::document();
    let one = document.workspaces[0].clone();
    let size = |count: usize| {
        document.workspaces = vec![one.clone(); count];
        let text = serde_json::to_string(&document).unwrap_or_default();
        (count as f64, text.len() as f64)
    };
    fit(WORKSPACE_COUNTS.into_iter().map(size).collect())
}

/// Processor time of one idle agent per entry host, in microseconds per second.
async fn agent_by_host(programs: &Path) -> Result<Fit, BenchError> {
    let mut points = Vec::new();
    for hosts in HOST_COUNTS {
        let fleet = Fleet::start(programs, &plan(hosts, 4, 10)).await?;
        points.push((hosts as f64, idle_agent(&fleet).await));
        fleet.stop().await;
    }
    Ok(fit(points))
}

/// Size per engine of the reports that an agent sends to its router, as JSON in bytes.
async fn view_by_engine(programs: &Path) -> Result<Fit, BenchError> {
    let mut points = Vec::new();
    for engines in ENGINE_COUNTS {
        let fleet = Fleet::start(programs, &plan(1, engines, 10)).await?;
        let state = fleet.state(0).await?;
        let bytes = state["backends"].as_array().map(|all| {
            let reports = all.iter().map(|b| b["seen"].to_string().len());
            reports.sum::<usize>()
        });
        points.push((engines as f64, bytes.unwrap_or(0) as f64));
        fleet.stop().await;
    }
    Ok(fit(points))
}

/// Processor time of the first agent, in microseconds per second.
async fn idle_agent(fleet: &Fleet) -> f64 {
    let pid = fleet.hosts[0].agent.id();
    let before = usage::cpu(pid);
    sleep(IDLE_PERIOD).await;
    (usage::cpu(pid) - before).as_secs_f64() * 1e6 / IDLE_PERIOD.as_secs_f64()
}

/// Processor time of all routers.
fn cpu(fleet: &Fleet) -> Duration {
    fleet.hosts.iter().map(|h| usage::cpu(h.router.id())).sum()
}

/// Memory of all routers, in bytes.
fn memory(fleet: &Fleet) -> u64 {
    let of = |h: &crate::harness::fleet::EntryHost| usage::memory(h.router.id());
    fleet.hosts.iter().map(of).sum()
}
