//! `demo`: an engine is killed in the middle of generations; every answer is whole.

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

/// The bearer key of the demo's workspace.
pub(crate) const BEARER: &str = "demo-key";

/// The entry hosts.
const HOSTS: usize = 2;

/// The engines.
const ENGINES: usize = 3;

/// The time from the first request to the kill.
const BEFORE_KILL: Duration = Duration::from_millis(700);

/// A silence of this length around the kill shows that a stream was hit by it.
const HIT: Duration = Duration::from_millis(25);

/// The longest that one answer may take.
const LIMIT: Duration = Duration::from_secs(30);

/// How the demo runs.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// How many streams are opened.
    #[bpaf(long, argument("N"), fallback(30))]
    streams: usize,
    /// How many tokens each stream asks for.
    #[bpaf(long, argument("N"), fallback(200))]
    tokens: u64,
    /// Print the report as JSON only.
    json: bool,
}

/// Runs the demo; returns whether every answer was whole.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let say = |text: &str| {
        if !options.json {
            println!("{text}");
        }
    };
    say("building the programs");
    let programs = build::programs().await?;
    say("starting a platform, 2 entry hosts and 3 engines");
    let mut fleet = Fleet::start(&programs, &plan(HOSTS, ENGINES)).await?;
    say(&format!(
        "opening {} streams through both hosts",
        options.streams
    ));
    let asks = asks(&fleet, &options);
    let running = tokio::spawn(run_all(asks.clone()));
    sleep(BEFORE_KILL).await;
    say("killing engine-0");
    let killed = Instant::now();
    fleet.engines[0].process.kill();
    sleep(BEFORE_KILL).await;
    let resumed = resumed_streams(&fleet.state(0).await?);
    say(&format!(
        "host 0 shows {resumed} streams on their second attempt"
    ));
    let seen = running.await.unwrap_or_default();
    let report = report(&asks, &seen, killed, resumed);
    let is_whole = report["exact"] == report["requests"];
    if options.json {
        println!("{report:#}");
    } else {
        println!("{report:#}");
        println!(
            "{}",
            if is_whole {
                "every answer is whole"
            } else {
                "FAILED"
            }
        );
    }
    Ok(is_whole)
}

/// Entry hosts and engines in one data centre.
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

/// One service, one profile, one workspace.
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

fn asks(fleet: &Fleet, options: &Options) -> Vec<Caller> {
    let hosts: Vec<_> = fleet.hosts.iter().map(|h| h.callers).collect();
    let one = |i: usize| Caller {
        key: format!("demo-{i}"),
        bearer: BEARER.to_owned(),
        model: "draft-model".to_owned(),
        prompt: format!("Scene {i}: break the script down into tomorrow's schedule."),
        max_tokens: options.tokens,
        hosts: hosts.clone(),
        first: i,
        limit: LIMIT,
    };
    (0..options.streams).map(one).collect()
}

async fn run_all(asks: Vec<Caller>) -> Vec<Transcript> {
    join_all(asks.iter().map(Caller::run)).await
}

/// How many requests of a state dump have more than one attempt.
fn resumed_streams(state: &Value) -> usize {
    let requests = state["requests"].as_array();
    let is_resumed = |r: &&Value| {
        let attempts = r["state"]["attempts"].as_array();
        attempts.is_some_and(|a| a.len() > 1)
    };
    requests.map_or(0, |all| all.iter().filter(is_resumed).count())
}

fn report(asks: &[Caller], seen: &[Transcript], killed: Instant, resumed: usize) -> Value {
    let verdicts: Vec<Verdict> = asks.iter().zip(seen).map(|(a, s)| a.judge(s)).collect();
    let count = |v: Verdict| verdicts.iter().filter(|x| **x == v).count();
    let first = seen
        .iter()
        .filter_map(|s| Some(s.arrivals.first()?.0 - s.started));
    let resume: Times = times(seen.iter().filter_map(|s| resume(s, killed)));
    json!({
        "requests": asks.len(),
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

/// The time from the kill to the next token, if the stream was hit by it.
fn resume(seen: &Transcript, killed: Instant) -> Option<Duration> {
    let i = seen.arrivals.iter().position(|(at, _)| *at > killed)?;
    let after = seen.arrivals[i].0;
    let before = seen.arrivals.get(i.checked_sub(1)?)?.0;
    (after - before > HIT).then_some(after - killed)
}
