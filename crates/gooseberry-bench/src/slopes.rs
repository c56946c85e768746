//! `slopes`: what each unit of work costs a router and an agent, each at three sizes.

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

/// The streams of the runs that vary the tokens.
const STREAM_COUNT: usize = 60;

/// The lengths of the outputs, in tokens.
const OUTPUT_LENGTHS: [u64; 3] = [50, 200, 400];

/// The numbers of requests with a single token.
const REQUEST_COUNTS: [usize; 3] = [100, 300, 600];

/// The numbers of streams that are open at once.
const OPEN_STREAMS: [usize; 3] = [50, 150, 300];

/// The times at which the memory of growing streams is read, in milliseconds.
const GROWTH_MS: [u64; 3] = [500, 1_500, 3_000];

/// The numbers of engines of which agents read the load.
const ENGINE_COUNTS: [usize; 3] = [4, 12, 24];

/// The numbers of entry hosts.
const HOST_COUNTS: [usize; 3] = [2, 5, 8];

/// The numbers of workspaces in the configuration.
const WORKSPACE_COUNTS: [usize; 3] = [10, 100, 490];

/// How long idle processes are watched.
const IDLE_PERIOD: Duration = Duration::from_secs(4);

/// The time that open streams are given to start.
const SETTLE: Duration = Duration::from_millis(1_500);

/// How the slopes are measured.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Print the report as JSON only.
    json: bool,
}

/// Measures all slopes; returns whether each stream was whole.
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
        println!("processor time is that of all routers, the witness included");
    }
    Ok(is_complete && is_answered)
}

/// The processor time of both routers by token, the owner's and the witness's together.
async fn cpu_by_token(programs: &Path) -> Result<(Fit, bool), BenchError> {
    let fleet = Fleet::start(programs, &plan(2, 3, 10)).await?;
    let mut points = Vec::new();
    let mut is_complete = true;
    for tokens in OUTPUT_LENGTHS {
        let before = cpu(&fleet);
        let served = Batch::start(&fleet, STREAM_COUNT, tokens).finish().await;
        is_complete &= served.complete == STREAM_COUNT;
        let used = cpu(&fleet) - before;
        points.push((served.tokens as f64, used.as_secs_f64() * 1e6));
    }
    fleet.stop().await;
    Ok((fit(points), is_complete))
}

/// The processor time of both routers by request of one token.
async fn cpu_by_request(programs: &Path) -> Result<(Fit, bool), BenchError> {
    let fleet = Fleet::start(programs, &plan(2, 3, 10)).await?;
    let mut points = Vec::new();
    let mut is_complete = true;
    for count in REQUEST_COUNTS {
        let before = cpu(&fleet);
        let served = Batch::start(&fleet, count, 1).finish().await;
        is_complete &= served.complete == count;
        let used = cpu(&fleet) - before;
        points.push((count as f64, used.as_secs_f64() * 1e6));
    }
    fleet.stop().await;
    Ok((fit(points), is_complete))
}

/// The memory of both routers by open stream.
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

/// The memory of both routers by token of open streams: the owner's copies and the witness's.
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

/// The processor time a second of one idle agent by engine.
async fn agent_by_engine(programs: &Path) -> Result<Fit, BenchError> {
    let mut points = Vec::new();
    for engines in ENGINE_COUNTS {
        let fleet = Fleet::start(programs, &plan(1, engines, 10)).await?;
        points.push((engines as f64, idle_agent(&fleet).await));
        fleet.stop().await;
    }
    Ok(fit(points))
}

/// The size of the whole configuration as JSON by workspace.
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

/// The processor time a second of one idle agent by entry host.
async fn agent_by_host(programs: &Path) -> Result<Fit, BenchError> {
    let mut points = Vec::new();
    for hosts in HOST_COUNTS {
        let fleet = Fleet::start(programs, &plan(hosts, 4, 10)).await?;
        points.push((hosts as f64, idle_agent(&fleet).await));
        fleet.stop().await;
    }
    Ok(fit(points))
}

/// The size of what an agent tells its router, as JSON, by engine.
async fn view_by_engine(programs: &Path) -> Result<Fit, BenchError> {
    let mut points = Vec::new();
    for engines in ENGINE_COUNTS {
        let fleet = Fleet::start(programs, &plan(1, engines, 10)).await?;
        let state = fleet.state(0).await?;
        let bytes = state["backends"].as_array().map(|all| {
            let seen = all.iter().map(|b| b["seen"].to_string().len());
            seen.sum::<usize>()
        });
        points.push((engines as f64, bytes.unwrap_or(0) as f64));
        fleet.stop().await;
    }
    Ok(fit(points))
}

/// The processor time of the first agent in microseconds a second.
async fn idle_agent(fleet: &Fleet) -> f64 {
    let pid = fleet.hosts[0].agent.id();
    let before = usage::cpu(pid);
    sleep(IDLE_PERIOD).await;
    (usage::cpu(pid) - before).as_secs_f64() * 1e6 / IDLE_PERIOD.as_secs_f64()
}

/// The processor time of all routers.
fn cpu(fleet: &Fleet) -> Duration {
    fleet.hosts.iter().map(|h| usage::cpu(h.router.id())).sum()
}

/// The memory of all routers.
fn memory(fleet: &Fleet) -> u64 {
    let of = |h: &crate::harness::fleet::EntryHost| usage::memory(h.router.id());
    fleet.hosts.iter().map(of).sum()
}
