//! `calls`: calls a plain service under faults.
//!
//! Checks that no idempotency key is executed more than once and that a call answered with
//! `not_run` was never executed.

mod caller;
mod faults;
mod load;

use std::time::Duration;

use base::hash::key_digest;
use base::prelude::*;
use base::sorted::Sorted;
use bpaf::Bpaf;
use calls::batch::Policy as Claims;
use gooseberry_standin::faults::Switch;
use gooseberry_standin::{engine, platform, service};
use profiles::document::Document;
use serde_json::{Value, json};
use tokio::process::Command;
use tokio::time::sleep;

use crate::harness::fleet::{Fleet, PlainPlan, Plan};
use crate::harness::{BenchError, build};
use caller::{Call, CallResult, Outcome, Submission};

/// Bearer key of the calling workspace.
const BEARER: &str = "crew-key";

/// Name of the plain service under test.
const SERVICE: &str = "booking-app";

/// Deadline of a call in the service's profile, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// Number of entry hosts, and of servers of the service.
const HOSTS: usize = 3;

/// Time for stopped processes to release their addresses before the next deployment starts.
const ADDRESS_RELEASE: Duration = Duration::from_millis(500);

/// Time after the last answer during which a duplicate or refused call could still be executed.
const SETTLE: Duration = Duration::from_secs(4);

/// Upper bound on write transactions of the store per call, under load with batched claims.
const MAX_WRITES_PER_CALL: f64 = 0.5;

/// Options of the `calls` experiment.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Seed of the faults and of the keys that are sent to two routers at once.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// Number of idempotency keys called under faults.
    #[bpaf(long, argument("N"), fallback(1_200))]
    keys: usize,
    /// Calls per second under load.
    #[bpaf(long, argument("N"), fallback(500))]
    rate: u64,
    /// Duration of the load, in seconds.
    #[bpaf(long, argument("N"), fallback(6))]
    seconds: u64,
    /// Print the report as JSON only.
    json: bool,
}

/// Runs the experiment; returns whether all bounds hold.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let progress = |text: &str| {
        if !options.json {
            println!("{text}");
        }
    };
    progress("building the programs");
    let programs = build::programs().await?;
    let metrics = load::Metrics::listen().await?;
    progress("starting 3 entry hosts and 3 servers of a plain service");
    let plan = plan(Claims::default(), &metrics);
    let mut fleet = Fleet::start(&programs, &plan).await?;
    progress("measuring availability with the store up, then down");
    let availability = measure_availability(&fleet).await?;
    progress("calling under faults");
    let under_faults = run_under_faults(&mut fleet, &options).await?;
    drop(fleet);
    sleep(ADDRESS_RELEASE).await;
    progress("calling under load, with batched claims");
    let fleet = Fleet::start(&programs, &plan).await?;
    let batched = load::run(&fleet, &metrics, "batched", options.rate, options.seconds).await?;
    drop(fleet);
    sleep(ADDRESS_RELEASE).await;
    progress("calling under load, one claim per transaction");
    let single = Claims {
        delay_ms: 0,
        size: 1,
        inflight: 64,
    };
    let plan = self::plan(single, &metrics);
    let fleet = Fleet::start(&programs, &plan).await?;
    let baseline = load::run(&fleet, &metrics, "single", options.rate, options.seconds).await?;
    let mut report = json!({
        "available": availability,
        "claim_ms": batched["claim_ms"],
        "writes_per_call": batched["writes_per_call"],
        "load": batched,
        "baseline": baseline,
        "seed": options.seed,
        "sizes": {
            "hosts": HOSTS,
            "servers": HOSTS,
            "rate": options.rate,
            "seconds": options.seconds,
            "deadline_ms": DEADLINE_MS,
        },
        "commit": commit().await,
    });
    if let (Some(all), Value::Object(under_faults)) = (report.as_object_mut(), under_faults) {
        all.extend(under_faults);
    }
    let is_within = is_within_bounds(&report);
    println!("{report:#}");
    progress(if is_within {
        "all bounds hold"
    } else {
        "FAILED"
    });
    Ok(is_within)
}

/// Whether the report satisfies all bounds: no duplicate execution, no false `not_run`, no answer
/// to another call, no caller without any answer, and few enough writes per call.
fn is_within_bounds(report: &Value) -> bool {
    let zero_counts = ["false_not_run", "crossed", "untold"];
    report["runs_max"] == 1
        && zero_counts.iter().all(|name| report[name] == 0)
        && report["writes_per_call"]
            .as_f64()
            .is_some_and(|w| w < MAX_WRITES_PER_CALL)
}

/// Measures the share of answered calls with the store up and down, without other faults.
async fn measure_availability(fleet: &Fleet) -> Result<Value, BenchError> {
    let up = answered_share(fleet, "up", true).await;
    let outage = |on| Switch {
        outage: Some(on),
        ..Switch::default()
    };
    fleet.switch(fleet.platform_addr, &outage(true)).await?;
    let (given, minted) = tokio::join!(
        answered_share(fleet, "down", true),
        answered_share(fleet, "none", false)
    );
    fleet.switch(fleet.platform_addr, &outage(false)).await?;
    Ok(json!({ "up": up, "down": { "given_key": given, "minted_key": minted } }))
}

/// Makes calls without retries and returns the share that is answered.
async fn answered_share(fleet: &Fleet, name: &str, has_key: bool) -> f64 {
    /// Number of calls in one measurement.
    const CALLS: usize = 200;
    let call = |i: usize| Call {
        key: has_key.then(|| format!("{name}-{i}")),
        text: format!("{name} {i}"),
        hosts: fleet.hosts.iter().map(|h| h.callers).collect(),
        first_host: i,
        max_retries: 0,
    };
    let calls: Vec<Call> = (0..CALLS).map(call).collect();
    let results = futures_util::future::join_all(calls.iter().map(Call::run)).await;
    let answered = results
        .iter()
        .filter(|r| r.outcome() == Outcome::Answered)
        .count();
    answered as f64 / CALLS as f64
}

/// Makes calls under injected faults and counts the executions of each key.
async fn run_under_faults(fleet: &mut Fleet, options: &Options) -> Result<Value, BenchError> {
    let calls = faults::calls(fleet, options.keys, options.seed);
    let callers = tokio::spawn(faults::call_all(calls.clone()));
    let injected = faults::inject(fleet, options.seed, &callers).await?;
    let results = callers.await.unwrap_or_default();
    sleep(SETTLE).await;
    let mut runs: Sorted<String, u64> = Sorted::default();
    for server in &fleet.plain {
        // A server that never executed a call has written no file.
        let text = std::fs::read_to_string(&server.run_record).unwrap_or_default();
        for key in text.lines() {
            *runs.entry(key.to_owned(), || 0) += 1;
        }
    }
    Ok(count_results(&calls, &results, &runs, injected))
}

/// Counts outcomes, executions and violations.
fn count_results(
    calls: &[Call],
    results: &[CallResult],
    runs: &Sorted<String, u64>,
    faults: Value,
) -> Value {
    let all = || calls.iter().zip(results);
    let runs_of = |call: &Call| call.key.as_ref().and_then(|k| runs.get(k)).copied();
    let is_false_not_run = |(call, result): &(&Call, &CallResult)| {
        let says_not_run = result.submissions.contains(&Submission::NotRun);
        says_not_run && runs_of(call).unwrap_or(0) > 0
    };
    let count_outcome =
        |outcome: Outcome| results.iter().filter(|r| r.outcome() == outcome).count();
    let mut keys: Vec<&String> = calls.iter().filter_map(|c| c.key.as_ref()).collect();
    keys.sort();
    keys.dedup();
    let crossed = results
        .iter()
        .flat_map(|r| &r.submissions)
        .filter(|s| **s == Submission::Crossed);
    json!({
        "keys": keys.len(),
        "callers": calls.len(),
        "submissions": results.iter().map(|r| r.submissions.len()).sum::<usize>(),
        "runs": runs.iter().map(|(_, n)| *n).sum::<u64>(),
        "runs_max": runs.iter().map(|(_, n)| *n).max().unwrap_or(0),
        "false_not_run": all().filter(is_false_not_run).count(),
        "crossed": crossed.count(),
        "answered": count_outcome(Outcome::Answered),
        "not_run": count_outcome(Outcome::NotRun),
        "unknown": count_outcome(Outcome::Unknown),
        "untold": count_outcome(Outcome::NoAnswer),
        "faults": faults,
    })
}

/// A deployment in two data centres, with the store's current rate limits, which are the stand-in's
/// defaults.
fn plan(claims: Claims, metrics: &load::Metrics) -> Plan {
    let near = DataCentre::from("vn-south-a");
    let far = DataCentre::from("vn-south-b");
    let data_centres = vec![near.clone(), near, far];
    Plan {
        hosts: data_centres.clone(),
        engines: Vec::new(),
        service: ServiceName::from("draft-model"),
        engine: engine::Settings::default(),
        platform: platform::Settings::default(),
        document: document(),
        plain: PlainPlan {
            servers: data_centres,
            service: ServiceName::from(SERVICE),
            settings: service::Settings::default(),
            claims,
            statsd: Some(metrics.addr),
        },
    }
}

fn document() -> Document {
    let document = json!({
        "version": 1,
        "profiles": [{ "name": "bookings", "deadline_ms": DEADLINE_MS }],
        "services": [{ "name": SERVICE, "kind": "plain", "profile": "bookings" }],
        "workspaces": [{ "name": "crew", "keys": [key_digest(BEARER)] }],
    });
    serde_json::from_value(document)
        .unwrap_or_else(|_| unreachable!("the other fields have defaults"))
}

/// Short hash of the checked-out commit, or `unknown` if git cannot be started.
async fn commit() -> String {
    let mut command = Command::new("git");
    command.args([
        "-C",
        env!("CARGO_MANIFEST_DIR"),
        "rev-parse",
        "--short",
        "HEAD",
    ]);
    let output = command.output().await;
    let text = output.map(|o| String::from_utf8_lossy(&o.stdout).trim().to_owned());
    text.unwrap_or_else(|_| "unknown".to_owned())
}
