//! `calls`: calls to a plain service under faults; no key runs twice, and `not_run` is true.

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
use caller::{Ask, End, Seen, Submission};

/// The bearer key of the workspace.
const BEARER: &str = "crew-key";

/// The service that is called.
const SERVICE: &str = "booking-app";

/// The longest that a caller may wait for its answer, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// The entry hosts, and as many servers of the service.
const HOSTS: usize = 3;

/// The time for processes that were ended to let go of their addresses.
const LET_GO: Duration = Duration::from_millis(500);

/// The time after the last answer in which a wrong run would still show.
const SETTLE: Duration = Duration::from_secs(4);

/// The bound on transactions a call.
const MAX_WRITES: f64 = 0.5;

/// How the experiment runs.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// The seed of the faults and of the keys that are repeated.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// How many keys are called under faults.
    #[bpaf(long, argument("N"), fallback(1_200))]
    keys: usize,
    /// How many calls a second are made under load.
    #[bpaf(long, argument("N"), fallback(500))]
    rate: u64,
    /// How long the load lasts, in seconds.
    #[bpaf(long, argument("N"), fallback(6))]
    seconds: u64,
    /// Print the report as JSON only.
    json: bool,
}

/// Runs the experiment; returns whether all bounds hold.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let say = |text: &str| {
        if !options.json {
            println!("{text}");
        }
    };
    say("building the programs");
    let programs = build::programs().await?;
    let metrics = load::Metrics::listen().await?;
    say("starting 3 entry hosts and 3 servers of a plain service");
    let plan = plan(Claims::default(), &metrics);
    let mut fleet = Fleet::start(&programs, &plan).await?;
    say("calling while the store is up, then while it is down");
    let available = available(&fleet).await?;
    say("calling under faults");
    let faulty = faulty(&mut fleet, &options).await?;
    drop(fleet);
    sleep(LET_GO).await;
    say("calling under load, with batches of claims");
    let fleet = Fleet::start(&programs, &plan).await?;
    let batched = load::run(&fleet, &metrics, "batched", options.rate, options.seconds).await?;
    drop(fleet);
    sleep(LET_GO).await;
    say("calling under load, each claim by itself");
    let single = Claims {
        delay_ms: 0,
        size: 1,
        inflight: 64,
    };
    let plan = self::plan(single, &metrics);
    let fleet = Fleet::start(&programs, &plan).await?;
    let baseline = load::run(&fleet, &metrics, "single", options.rate, options.seconds).await?;
    let mut report = json!({
        "available": available,
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
    if let (Some(all), Value::Object(faulty)) = (report.as_object_mut(), faulty) {
        all.extend(faulty);
    }
    let holds = holds(&report);
    println!("{report:#}");
    say(if holds { "all bounds hold" } else { "FAILED" });
    Ok(holds)
}

/// Whether the report keeps the bounds.
fn holds(report: &Value) -> bool {
    let none = ["false_not_run", "crossed", "untold"];
    report["runs_max"] == 1
        && none.iter().all(|name| report[name] == 0)
        && report["writes_per_call"]
            .as_f64()
            .is_some_and(|w| w < MAX_WRITES)
}

/// Calls with the store up and down, without other faults.
async fn available(fleet: &Fleet) -> Result<Value, BenchError> {
    let up = share(fleet, "up", true).await;
    let outage = |on| Switch {
        outage: Some(on),
        ..Switch::default()
    };
    fleet.switch(fleet.platform_addr, &outage(true)).await?;
    let (given, minted) = tokio::join!(share(fleet, "down", true), share(fleet, "none", false));
    fleet.switch(fleet.platform_addr, &outage(false)).await?;
    Ok(json!({ "up": up, "down": { "given_key": given, "minted_key": minted } }))
}

/// The share of calls that are answered.
async fn share(fleet: &Fleet, name: &str, has_key: bool) -> f64 {
    /// The calls of one measurement.
    const CALLS: usize = 200;
    let ask = |i: usize| Ask {
        key: has_key.then(|| format!("{name}-{i}")),
        text: format!("{name} {i}"),
        hosts: fleet.hosts.iter().map(|h| h.callers).collect(),
        first: i,
        repeats: 0,
    };
    let asks: Vec<Ask> = (0..CALLS).map(ask).collect();
    let seen = futures_util::future::join_all(asks.iter().map(Ask::run)).await;
    let answered = seen.iter().filter(|s| s.end() == End::Answered).count();
    answered as f64 / CALLS as f64
}

/// Calls under faults, and what became of each key.
async fn faulty(fleet: &mut Fleet, options: &Options) -> Result<Value, BenchError> {
    let asks = faults::asks(fleet, options.keys, options.seed);
    let calling = tokio::spawn(faults::call_all(asks.clone()));
    let count = faults::inject(fleet, options.seed, &calling).await?;
    let seen = calling.await.unwrap_or_default();
    sleep(SETTLE).await;
    let mut runs: Sorted<String, u64> = Sorted::default();
    for server in &fleet.plain {
        // A server that never ran a call has written no file.
        let text = std::fs::read_to_string(&server.run_record).unwrap_or_default();
        for key in text.lines() {
            *runs.entry(key.to_owned(), || 0) += 1;
        }
    }
    Ok(judge(&asks, &seen, &runs, count))
}

/// Counts what must not be, and what was.
fn judge(asks: &[Ask], seen: &[Seen], runs: &Sorted<String, u64>, faults: Value) -> Value {
    let all = || asks.iter().zip(seen);
    let ran = |ask: &Ask| ask.key.as_ref().and_then(|k| runs.get(k)).copied();
    let is_false = |(ask, seen): &(&Ask, &Seen)| {
        let is_told = seen.submissions.contains(&Submission::NotRun);
        is_told && ran(ask).unwrap_or(0) > 0
    };
    let ends = |end: End| seen.iter().filter(|s| s.end() == end).count();
    let mut keys: Vec<&String> = asks.iter().filter_map(|a| a.key.as_ref()).collect();
    keys.sort();
    keys.dedup();
    let crossed = seen
        .iter()
        .flat_map(|s| &s.submissions)
        .filter(|s| **s == Submission::Crossed);
    json!({
        "keys": keys.len(),
        "callers": asks.len(),
        "submissions": seen.iter().map(|s| s.submissions.len()).sum::<usize>(),
        "runs": runs.iter().map(|(_, n)| *n).sum::<u64>(),
        "runs_max": runs.iter().map(|(_, n)| *n).max().unwrap_or(0),
        "false_not_run": all().filter(is_false).count(),
        "crossed": crossed.count(),
        "answered": ends(End::Answered),
        "not_run": ends(End::NotRun),
        "unknown": ends(End::Unknown),
        "untold": ends(End::Untold),
        "faults": faults,
    })
}

/// The deployment: two data centres, the table's rates of today.
fn plan(claims: Claims, metrics: &load::Metrics) -> Plan {
    let near = DataCentre::from("vn-south-a");
    let far = DataCentre::from("vn-south-b");
    let places = vec![near.clone(), near, far];
    Plan {
        hosts: places.clone(),
        engines: Vec::new(),
        service: ServiceName::from("draft-model"),
        engine: engine::Settings::default(),
        platform: platform::Settings::default(),
        document: document(),
        plain: PlainPlan {
            servers: places,
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

/// The commit of the working tree, if it can be told.
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
