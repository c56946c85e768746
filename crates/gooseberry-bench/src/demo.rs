//! `demo`: kills an engine during generation and checks that every answer is complete and exact.

use std::time::Duration;

use base::hash::key_digest;
use base::prelude::*;
use bpaf::Bpaf;
use futures_util::future::join_all;
use gooseberry_standin::{engine, platform};
use profiles::document::{Document, Kind, Profile, Service, Workspace};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::harness::caller::{Caller, Transcript, Verdict};
use crate::harness::fleet::{Fleet, PlainPlan, Plan};
use crate::harness::report::{Times, times};
use crate::harness::{BenchError, build};

/// Bearer key of the demo's workspace.
pub(crate) const BEARER: &str = "demo-key";

/// Number of entry hosts.
const HOSTS: usize = 2;

/// Number of engines.
const ENGINES: usize = 3;

/// Time from the first request to the kill, and from the kill to the state dump.
const KILL_DELAY: Duration = Duration::from_millis(700);

/// A gap between tokens that spans the kill and exceeds this marks a stream as interrupted by it.
const MIN_GAP: Duration = Duration::from_millis(25);

/// Time limit of one answer, retries included.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Options of the `demo` experiment.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Number of streams to open.
    #[bpaf(long, argument("N"), fallback(30))]
    streams: usize,
    /// Maximum number of tokens per stream.
    #[bpaf(long, argument("N"), fallback(200))]
    tokens: u64,
    /// Print the report as JSON only.
    json: bool,
}

/// Runs the demo; returns whether every answer was complete and exact.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let progress = |text: &str| {
        if !options.json {
            println!("{text}");
        }
    };
    progress("building the programs");
    let programs = build::programs().await?;
    progress("starting the platform, 2 entry hosts and 3 engines");
    let mut fleet = Fleet::start(&programs, &plan(HOSTS, ENGINES)).await?;
    progress(&format!(
        "opening {} streams through both entry hosts",
        options.streams
    ));
    let requests = requests(&fleet, &options);
    let running = tokio::spawn(run_all(requests.clone()));
    sleep(KILL_DELAY).await;
    progress("killing engine-0");
    let killed = Instant::now();
    fleet.engines[0].process.kill();
    sleep(KILL_DELAY).await;
    let resumed = resumed_streams(&fleet.state(0).await?);
    progress(&format!(
        "entry host 0 reports {resumed} streams with more than one attempt"
    ));
    let seen = running.await.unwrap_or_default();
    let report = report(&requests, &seen, killed, resumed);
    let is_exact = report["exact"] == report["requests"];
    if options.json {
        println!("{report:#}");
    } else {
        println!("{report:#}");
        println!(
            "{}",
            if is_exact {
                "every answer is complete and exact"
            } else {
                "FAILED"
            }
        );
    }
    Ok(is_exact)
}

/// A deployment with all entry hosts and engines in one data centre.
pub(crate) fn plan(hosts: usize, engines: usize) -> Plan {
    let here = DataCentre::from("vn-south-a");
    Plan {
        hosts: vec![here.clone(); hosts],
        engines: vec![here; engines],
        service: ServiceName::from("draft-model"),
        engine: engine::Settings::default(),
        platform: platform::Settings::default(),
        document: document(),
        plain: PlainPlan::default(),
    }
}

/// A configuration with one service, one profile and one workspace.
pub(crate) fn document() -> Document {
    let model = engine::Settings::default().models;
    let profile: Profile = serde_json::from_value(json!({ "name": "drafts" }))
        .unwrap_or_else(|_| unreachable!("the profile's other fields have defaults"));
    Document {
        version: Version(1),
        profiles: vec![profile],
        services: vec![Service {
            name: ServiceName::from("draft-model"),
            kind: Kind::Model,
            profile: ProfileName::from("drafts"),
            models: model,
            checks_fence: true,
            may_repeat: Vec::new(),
            retain_ms: 60_000,
        }],
        workspaces: vec![Workspace {
            name: WorkspaceName::from("demo"),
            keys: vec![key_digest(BEARER)],
            share: 1,
            running: 0,
        }],
    }
}

fn requests(fleet: &Fleet, options: &Options) -> Vec<Caller> {
    let hosts: Vec<_> = fleet.hosts.iter().map(|h| h.callers).collect();
    let one = |i: usize| Caller {
        key: format!("demo-{i}"),
        bearer: BEARER.to_owned(),
        model: "draft-model".to_owned(),
        prompt: format!("Scene {i}: break the script down into tomorrow's schedule."),
        max_tokens: options.tokens,
        hosts: hosts.clone(),
        first: i,
        limit: ANSWER_TIMEOUT,
    };
    (0..options.streams).map(one).collect()
}

async fn run_all(requests: Vec<Caller>) -> Vec<Transcript> {
    join_all(requests.iter().map(Caller::run)).await
}

/// Counts the requests in a router's state dump that have more than one attempt.
fn resumed_streams(state: &Value) -> usize {
    let requests = state["requests"].as_array();
    let is_resumed = |r: &&Value| {
        let attempts = r["state"]["attempts"].as_array();
        attempts.is_some_and(|a| a.len() > 1)
    };
    requests.map_or(0, |all| all.iter().filter(is_resumed).count())
}

fn report(requests: &[Caller], seen: &[Transcript], killed: Instant, resumed: usize) -> Value {
    let verdicts: Vec<Verdict> = requests.iter().zip(seen).map(|(a, s)| a.judge(s)).collect();
    let count = |v: Verdict| verdicts.iter().filter(|x| **x == v).count();
    let first = seen
        .iter()
        .filter_map(|s| Some(s.arrivals.first()?.0 - s.started));
    let resume: Times = times(seen.iter().filter_map(|s| resume_time(s, killed)));
    json!({
        "requests": requests.len(),
        "exact": count(Verdict::Exact),
        "missing": count(Verdict::Missing),
        "repeated": count(Verdict::Repeated),
        "mixed": count(Verdict::Mixed),
        "lost": count(Verdict::Lost),
        "restarted": seen.iter().map(|s| s.restarts).sum::<u64>(),
        "second_attempts_in_dump": resumed,
        "resume_ms": resume,
        "ttft_ms": times(first),
    })
}

/// Time from the kill to the next token; `None` if the kill did not interrupt the stream.
fn resume_time(seen: &Transcript, killed: Instant) -> Option<Duration> {
    let i = seen.arrivals.iter().position(|(at, _)| *at > killed)?;
    let after = seen.arrivals[i].0;
    let before = seen.arrivals.get(i.checked_sub(1)?)?.0;
    (after - before > MIN_GAP).then_some(after - killed)
}
