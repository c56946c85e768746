//! `drain`: every entry host and a third of the engines are replaced in turn while answers are under
//! way; no request may be cut, and what leaves may get no new work.

mod callers;

use std::time::Duration;

use base::prelude::*;
use bpaf::Bpaf;
use gooseberry_standin::faults::Switch;
use gooseberry_standin::{engine, platform};
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use crate::demo;
use crate::faults::commit;
use crate::harness::fleet::{CALL_TIMEOUT, Fleet, OPERATOR_KEY, PlainPlan, Plan};
use crate::harness::report::times;
use crate::harness::{BenchError, build};
use callers::Callers;

/// How often the state of processes is looked at.
const LOOK: Duration = Duration::from_millis(20);

/// The time before the first host leaves.
const WARM: Duration = Duration::from_secs(2);

/// The longest wait for a host that leaves.
const LEAVE: Duration = Duration::from_secs(30);

/// How long an engine that leaves goes on before it stops, whether or not its streams have ended.
const STOP: Duration = Duration::from_millis(1_500);

/// The most time in which a server that leaves may get new work, in milliseconds.
const NEW_WORK_MS: u128 = 3_000;

/// How the experiment runs.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// The seed from which requests are drawn.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// How many requests are in flight.
    #[bpaf(long, argument("N"), fallback(60))]
    streams: usize,
    /// Print the report as JSON only.
    json: bool,
}

/// What came of one engine that left.
#[derive(Clone, Copy, Debug, Default)]
struct Left {
    /// From the first word of it to the last new work.
    new_work: Duration,
    /// From the first word of it to when every router knew.
    known: Duration,
    /// The streams that were still there when it stopped.
    moved: u64,
}

/// Runs the experiment; returns whether nothing was cut and all bounds were kept.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let programs = build::programs().await?;
    let plan = plan();
    let mut fleet = Fleet::start(&programs, &plan).await?;
    let callers = Callers::start(&fleet, options.seed, options.streams);
    sleep(WARM).await;
    let mut engines = Vec::new();
    for i in 0..plan.engines.len() / 3 {
        engines.push(replace_engine(&mut fleet, &plan, i).await?);
    }
    let mut drains = Vec::new();
    let mut clean = 0;
    for i in 0..plan.hosts.len() {
        let started = Instant::now();
        clean += u64::from(replace_host(&mut fleet, i).await?);
        drains.push(started.elapsed());
        fleet.wait_until_serving().await?;
    }
    let tally = callers.finish().await;
    let new_work = engines.iter().map(|e| e.new_work.as_millis()).max();
    let report = json!({
        "seed": options.seed,
        "commit": commit(),
        "hosts": plan.hosts.len(),
        "engines": plan.engines.len(),
        "engines_replaced": engines.len(),
        "streams": options.streams,
        "answers": tally,
        "cut": tally.cut,
        "hosts_ended_clean": clean,
        "drain_ms": times(drains),
        "new_work_after_ms": new_work,
        "known_after_ms": engines.iter().map(|e| e.known.as_millis()).max(),
        "moved_streams": engines.iter().map(|e| e.moved).sum::<u64>(),
    });
    println!("{report:#}");
    let is_good = tally.cut == 0
        && tally.is_exact()
        && clean == plan.hosts.len() as u64
        && new_work.is_some_and(|ms| ms <= NEW_WORK_MS);
    if !options.json {
        println!(
            "{}",
            if is_good {
                "nobody was cut off"
            } else {
                "FAILED"
            }
        );
    }
    Ok(is_good)
}

/// Eight entry hosts and twelve engines in three data centres.
fn plan() -> Plan {
    let centre = |i: usize| DataCentre::from(["vn-south-a", "vn-south-b", "vn-south-c"][i % 3]);
    Plan {
        plain: PlainPlan::default(),
        hosts: (0..8).map(centre).collect(),
        engines: (0..12).map(centre).collect(),
        service: ServiceName::from("draft-model"),
        engine: engine::Settings::default(),
        platform: platform::Settings::default(),
        document: demo::document(),
    }
}

/// Has an engine leave, stops it and starts another at its address.
///
/// Of every other engine only the host list says that it leaves; of the rest only its reports.
async fn replace_engine(fleet: &mut Fleet, plan: &Plan, i: usize) -> Result<Left, BenchError> {
    let is_listed = i.is_multiple_of(2);
    let started = Instant::now();
    if is_listed {
        fleet.list_engine(plan, i, true).await?;
    } else {
        let leaving = Switch {
            leaving: Some(true),
            ..Switch::default()
        };
        fleet.switch(fleet.engines[i].addr, &leaving).await?;
    }
    let mut left = watch_leaving(fleet, i, started).await?;
    if !is_listed {
        // The engine refuses new work by itself, so that only what routers believe shows.
        left.new_work = left.known;
    }
    sleep(STOP).await;
    left.moved = fleet.engine_stats(i).await?.live;
    fleet.engines[i].process.kill();
    fleet.engines[i].process.wait().await;
    fleet.restart_engine(i)?;
    if is_listed {
        fleet.list_engine(plan, i, false).await?;
    }
    until_back(fleet, i).await?;
    Ok(left)
}

/// Watches an engine that leaves until every router knows, and for as long again as it may take.
async fn watch_leaving(fleet: &Fleet, i: usize, started: Instant) -> Result<Left, BenchError> {
    let mut left = Left::default();
    let mut streams = fleet.engine_stats(i).await?.streams;
    let mut is_known = false;
    let name = fleet.engines[i].name.clone();
    while !is_known || started.elapsed() < 2 * left.known + WARM {
        let now = fleet.engine_stats(i).await?.streams;
        if now > streams {
            streams = now;
            left.new_work = started.elapsed();
        }
        if !is_known {
            is_known = all_routers(fleet, &name, true).await?;
            left.known = started.elapsed();
        }
        if started.elapsed() > LEAVE {
            break;
        }
        sleep(LOOK).await;
    }
    Ok(left)
}

/// Waits until every router uses an engine again.
async fn until_back(fleet: &Fleet, i: usize) -> Result<(), BenchError> {
    let deadline = Instant::now() + LEAVE;
    let name = fleet.engines[i].name.clone();
    while !all_routers(fleet, &name, false).await? {
        if Instant::now() > deadline {
            return Err(BenchError::NotReady(name));
        }
        sleep(LOOK).await;
    }
    Ok(())
}

/// Whether every router believes that an engine leaves, or that it is alive and does not.
async fn all_routers(fleet: &Fleet, name: &str, leaving: bool) -> Result<bool, BenchError> {
    for host in 0..fleet.hosts.len() {
        let state = fleet.state(host).await?;
        let backends = state["backends"].as_array().cloned().unwrap_or_default();
        let seen = backends.iter().find(|b| b["seen"]["backend"] == name);
        let believes = |s: &Value| {
            let is_so = s["seen"]["leaving"] == leaving;
            is_so && (leaving || s["seen"]["alive"] == true)
        };
        if !seen.is_some_and(believes) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Stops a host in order, by signal or by an operator's call, and starts it again; returns whether
/// both processes ended with success.
async fn replace_host(fleet: &mut Fleet, i: usize) -> Result<bool, BenchError> {
    let host = &mut fleet.hosts[i];
    if i.is_multiple_of(2) {
        host.router.terminate();
        host.agent.terminate();
    } else {
        drain(host.agent_admin).await?;
    }
    let router = timeout(LEAVE, host.router.wait()).await;
    let agent = timeout(LEAVE, host.agent.wait()).await;
    fleet.restart_host(i)?;
    Ok(router == Ok(true) && agent == Ok(true))
}

/// Asks for a drain as an operator.
async fn drain(admin: std::net::SocketAddr) -> Result<(), BenchError> {
    let mut request = web::client::json_request(admin, Method::POST, "/v1/drain", &());
    if let Ok(key) = format!("Bearer {OPERATOR_KEY}").parse() {
        request.headers_mut().insert("authorization", key);
    }
    let answer = web::client::send(admin, request, CALL_TIMEOUT).await?;
    web::client::read_whole(admin, answer).await?;
    Ok(())
}
