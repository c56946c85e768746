//! `drain`: replaces a third of the engines and then every entry host in turn, while streams are in
//! flight.
//!
//! No request may be cut, and a draining server must stop getting new work within a bound.

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

/// Interval at which the state of processes is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time under load before the first engine leaves; also the minimum time for which a leaving engine
/// is observed.
const WARM_UP: Duration = Duration::from_secs(2);

/// Time limit for a host or an engine to leave, and for an engine to be in use again.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time from the end of the observation until a leaving engine is killed, whether or not its
/// streams have ended.
const STOP_DELAY: Duration = Duration::from_millis(1_500);

/// Time after the announcement within which a leaving server may still get new work, in
/// milliseconds.
const MAX_NEW_WORK_MS: u128 = 3_000;

/// Options of the `drain` experiment.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Seed of the requests.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// Number of concurrent streams.
    #[bpaf(long, argument("N"), fallback(60))]
    streams: usize,
    /// Print the report as JSON only.
    json: bool,
}

/// Measurements of one engine that was drained and replaced.
#[derive(Clone, Copy, Debug, Default)]
struct EngineDrain {
    /// Time from the announcement to the last new work.
    new_work: Duration,
    /// Time from the announcement until every router reports that the engine is leaving.
    known: Duration,
    /// Streams still running when it was killed; these move to other engines.
    moved: u64,
}

/// Runs the experiment; returns whether no request was cut and all bounds are satisfied.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let programs = build::programs().await?;
    let plan = plan();
    let mut fleet = Fleet::start(&programs, &plan).await?;
    let callers = Callers::start(&fleet, options.seed, options.streams);
    sleep(WARM_UP).await;
    let mut engines = Vec::new();
    for i in 0..plan.engines.len() / 3 {
        engines.push(replace_engine(&mut fleet, &plan, i).await?);
    }
    let mut drains = Vec::new();
    let mut clean_exits = 0;
    for i in 0..plan.hosts.len() {
        let started = Instant::now();
        clean_exits += u64::from(replace_host(&mut fleet, i).await?);
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
        "hosts_ended_clean": clean_exits,
        "drain_ms": times(drains),
        "new_work_after_ms": new_work,
        "known_after_ms": engines.iter().map(|e| e.known.as_millis()).max(),
        "moved_streams": engines.iter().map(|e| e.moved).sum::<u64>(),
    });
    println!("{report:#}");
    let is_within = tally.cut == 0
        && tally.is_exact()
        && clean_exits == plan.hosts.len() as u64
        && new_work.is_some_and(|ms| ms <= MAX_NEW_WORK_MS);
    if !options.json {
        println!(
            "{}",
            if is_within {
                "all answers are exact, no request was cut, and all bounds are satisfied"
            } else {
                "FAILED"
            }
        );
    }
    Ok(is_within)
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

/// Drains an engine, kills it and starts another at its address.
///
/// Engines of even index are announced as leaving only by the host list, the others only by their
/// own load reports.
async fn replace_engine(
    fleet: &mut Fleet,
    plan: &Plan,
    i: usize,
) -> Result<EngineDrain, BenchError> {
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
    let mut drain_times = watch_leaving(fleet, i, started).await?;
    if !is_listed {
        // This engine refuses new work by itself, so its stream count shows nothing: new work is
        // bounded by when the routers know.
        drain_times.new_work = drain_times.known;
    }
    sleep(STOP_DELAY).await;
    drain_times.moved = fleet.engine_stats(i).await?.live;
    fleet.engines[i].process.kill();
    fleet.engines[i].process.wait().await;
    fleet.restart_engine(i)?;
    if is_listed {
        fleet.list_engine(plan, i, false).await?;
    }
    wait_in_use(fleet, i).await?;
    Ok(drain_times)
}

/// Observes a leaving engine until every router reports it as leaving, and then at least as long
/// again plus [`WARM_UP`], so that late new work is seen.
async fn watch_leaving(
    fleet: &Fleet,
    i: usize,
    started: Instant,
) -> Result<EngineDrain, BenchError> {
    let mut drain_times = EngineDrain::default();
    let mut streams = fleet.engine_stats(i).await?.streams;
    let mut is_known = false;
    let name = fleet.engines[i].name.clone();
    while !is_known || started.elapsed() < 2 * drain_times.known + WARM_UP {
        let now = fleet.engine_stats(i).await?.streams;
        if now > streams {
            streams = now;
            drain_times.new_work = started.elapsed();
        }
        if !is_known {
            is_known = all_routers_report(fleet, &name, true).await?;
            drain_times.known = started.elapsed();
        }
        if started.elapsed() > LEAVE_TIMEOUT {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(drain_times)
}

/// Waits until every router reports an engine as alive and not leaving.
async fn wait_in_use(fleet: &Fleet, i: usize) -> Result<(), BenchError> {
    let deadline = Instant::now() + LEAVE_TIMEOUT;
    let name = fleet.engines[i].name.clone();
    while !all_routers_report(fleet, &name, false).await? {
        if Instant::now() > deadline {
            return Err(BenchError::NotReady(name));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Whether every router reports an engine as leaving or, for `leaving = false`, as alive and not
/// leaving.
async fn all_routers_report(fleet: &Fleet, name: &str, leaving: bool) -> Result<bool, BenchError> {
    for host in 0..fleet.hosts.len() {
        let state = fleet.state(host).await?;
        let backends = state["backends"].as_array().cloned().unwrap_or_default();
        let entry = backends.iter().find(|b| b["seen"]["backend"] == name);
        let is_reported = |s: &Value| {
            let is_same = s["seen"]["leaving"] == leaving;
            is_same && (leaving || s["seen"]["alive"] == true)
        };
        if !entry.is_some_and(is_reported) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Stops a host gracefully, by signal (even index) or by an operator's drain call, and restarts it;
/// returns whether both processes exited with success in time.
async fn replace_host(fleet: &mut Fleet, i: usize) -> Result<bool, BenchError> {
    let host = &mut fleet.hosts[i];
    if i.is_multiple_of(2) {
        host.router.terminate();
        host.agent.terminate();
    } else {
        drain(host.agent_admin).await?;
    }
    let router = timeout(LEAVE_TIMEOUT, host.router.wait()).await;
    let agent = timeout(LEAVE_TIMEOUT, host.agent.wait()).await;
    fleet.restart_host(i)?;
    Ok(router == Ok(true) && agent == Ok(true))
}

/// Requests a drain with the operator's key.
async fn drain(admin: std::net::SocketAddr) -> Result<(), BenchError> {
    let mut request = web::client::json_request(admin, Method::POST, "/v1/drain", &());
    if let Ok(key) = format!("Bearer {OPERATOR_KEY}").parse() {
        request.headers_mut().insert("authorization", key);
    }
    let answer = web::client::send(admin, request, CALL_TIMEOUT).await?;
    web::client::read_whole(admin, answer).await?;
    Ok(())
}
