//! One step of constant load and its measurements.

use std::time::Duration;

use futures_util::future::join_all;
use gooseberry_standin::engine::Stats;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::time::{Instant, sleep_until};

use super::caller::{LoadRequest, Outcome, RequestResult};
use super::plan::{DEADLINE_MS, Deployment, MAX_TOKENS};
use crate::harness::BenchError;
use crate::harness::fleet::Fleet;
use crate::harness::report::{Times, times};

/// Number of script breakdowns per workspace.
const SCRIPTS: usize = 2;

/// Size of a script breakdown in bytes; it is the common prefix of many prompts.
const SCRIPT_BYTES: usize = 4_096;

/// Time from the start of a step during which tokens are not counted.
const WARM_UP: Duration = Duration::from_secs(3);

/// The measurements of a step.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Step {
    /// Offered load in percent of the capacity.
    pub(super) load: u64,
    /// Requests sent.
    pub(super) offered: u64,
    /// Requests with a complete answer.
    pub(super) served: u64,
    /// Requests refused as not executed.
    pub(super) shed: u64,
    /// All other requests.
    pub(super) failed: u64,
    /// Time to the first token, of served requests.
    pub(super) ttft_ms: Times,
    /// Time between events with tokens, of served requests.
    pub(super) gap_ms: Times,
    /// Time to a refusal.
    pub(super) shed_ms: Times,
    /// Jain's fairness index over the workspaces that request more than their share; 1 if none
    /// does.
    pub(super) fairness: f64,
    /// Fraction of prompt tokens found in the engines' prefix caches.
    pub(super) prefix_hits: f64,
    /// Served requests whose first token came after the deadline.
    pub(super) late: u64,
    /// Tokens per second of served requests that met the deadline, after the warm-up.
    pub(super) goodput: f64,
    /// Streams opened at engines in excess of one per served request.
    pub(super) extra_streams: i64,
}

/// A request, with the time from the start of the step at which to send it.
struct Arrival {
    at: Duration,
    workspace: usize,
    request: LoadRequest,
}

/// Offers a load, in percent of the capacity, for the given time and waits for all answers.
pub(super) async fn run(
    fleet: &Fleet,
    deployment: &Deployment,
    load: u64,
    seed: u64,
    seconds: u64,
) -> Result<Step, BenchError> {
    let duration = Duration::from_secs(seconds);
    let arrivals = arrivals(fleet, deployment, load, seed, duration);
    let workspaces: Vec<usize> = arrivals.iter().map(|a| a.workspace).collect();
    let before = stats(fleet).await?;
    let start = Instant::now();
    let send = |arrival: Arrival| async move {
        sleep_until(start + arrival.at).await;
        arrival.request.run().await
    };
    let tasks = arrivals.into_iter().map(|a| tokio::spawn(send(a)));
    let joined = join_all(tasks).await;
    let results: Vec<(usize, RequestResult)> = workspaces
        .into_iter()
        .zip(joined)
        .filter_map(|(workspace, result)| Some((workspace, result.ok()?)))
        .collect();
    let after = stats(fleet).await?;
    Ok(summary(
        deployment,
        load,
        &results,
        start..start + duration,
        (before, after),
    ))
}

/// Draws Poisson arrivals at a constant rate, at random hosts.
fn arrivals(
    fleet: &Fleet,
    deployment: &Deployment,
    load: u64,
    seed: u64,
    duration: Duration,
) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed ^ (load << 32));
    let rate = deployment.capacity() * load as f64 / 100.0;
    let mut at = Duration::ZERO;
    let mut all = Vec::new();
    loop {
        let unit: f64 = random.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-unit.ln() / rate);
        if at >= duration {
            return all;
        }
        let workspace = draw_workspace(deployment, random.random_range(0..1_000));
        let host = random.random_range(0..fleet.hosts.len());
        let script = random.random_range(0..SCRIPTS);
        let scene: u64 = random.random();
        let name = &deployment.workspaces[workspace].name;
        let request = LoadRequest {
            host: fleet.hosts[host].callers,
            bearer: name.clone(),
            service: deployment.service.to_owned(),
            prompt: prompt(name, script, scene),
            max_tokens: MAX_TOKENS,
        };
        all.push(Arrival {
            at,
            workspace,
            request,
        });
    }
}

/// The index of the workspace to which a number below 1,000 falls, by their thousandths.
fn draw_workspace(deployment: &Deployment, number: u64) -> usize {
    let mut sum = 0;
    let is_drawn = |per_mille: u64| {
        sum += per_mille;
        number < sum
    };
    let found = deployment
        .workspaces
        .iter()
        .map(|w| w.per_mille)
        .position(is_drawn);
    found.unwrap_or(0)
}

/// A prompt that consists of a shared script breakdown and one scene.
fn prompt(workspace: &str, script: usize, scene: u64) -> String {
    let line = format!("{workspace}, script {script}: interior, night, two cast, one vehicle. ");
    let mut text = line.repeat(SCRIPT_BYTES / line.len() + 1);
    text.truncate(SCRIPT_BYTES);
    text + &format!("Draft the schedule of scene {scene:016x}.")
}

/// Sums the prefill, cache and stream counters of all engines.
async fn stats(fleet: &Fleet) -> Result<Stats, BenchError> {
    let mut sum = Stats::default();
    for i in 0..fleet.engines.len() {
        let one = fleet.engine_stats(i).await?;
        sum.prefill += one.prefill;
        sum.cached += one.cached;
        sum.streams += one.streams;
    }
    Ok(sum)
}

fn summary(
    deployment: &Deployment,
    load: u64,
    results: &[(usize, RequestResult)],
    window: std::ops::Range<Instant>,
    (before, after): (Stats, Stats),
) -> Step {
    let count =
        |outcome: Outcome| results.iter().filter(|(_, s)| s.outcome == outcome).count() as u64;
    let first = |s: &RequestResult| Some(s.arrivals.first()?.0 - s.sent);
    let deadline = Duration::from_millis(DEADLINE_MS);
    let is_late = |s: &RequestResult| first(s).is_some_and(|t| t > deadline);
    let served: Vec<&RequestResult> = results
        .iter()
        .filter(|(_, s)| s.outcome == Outcome::Served)
        .map(|(_, s)| s)
        .collect();
    let shed = results.iter().filter(|(_, s)| s.outcome == Outcome::Shed);
    let counted = window.start + WARM_UP..window.end;
    let tokens = |s: &RequestResult| -> u64 {
        let within = s.arrivals.iter().filter(|(at, _)| counted.contains(at));
        within.map(|(_, count)| count).sum()
    };
    let in_time = served.iter().filter(|s| !is_late(s));
    let seconds = (counted.end - counted.start).as_secs_f64();
    let prompts = (after.cached + after.prefill) - (before.cached + before.prefill);
    Step {
        load,
        offered: results.len() as u64,
        served: count(Outcome::Served),
        shed: count(Outcome::Shed),
        failed: count(Outcome::Failed),
        ttft_ms: times(served.iter().filter_map(|s| first(s))),
        gap_ms: times(served.iter().flat_map(|s| gaps(s))),
        shed_ms: times(shed.map(|(_, s)| s.ended - s.sent)),
        fairness: fairness(deployment, results, tokens),
        prefix_hits: (after.cached - before.cached) as f64 / prompts.max(1) as f64,
        late: served.iter().filter(|s| is_late(s)).count() as u64,
        goodput: in_time.map(|s| tokens(s)).sum::<u64>() as f64 / seconds,
        extra_streams: (after.streams - before.streams) as i64 - served.len() as i64,
    }
}

/// Times between consecutive events with tokens.
fn gaps(result: &RequestResult) -> Vec<Duration> {
    let pairs = result.arrivals.windows(2);
    pairs.map(|pair| pair[1].0 - pair[0].0).collect()
}

/// Jain's fairness index of tokens per share, over the workspaces that request more than their
/// share and had requests shed.
fn fairness(
    deployment: &Deployment,
    results: &[(usize, RequestResult)],
    tokens: impl Fn(&RequestResult) -> u64,
) -> f64 {
    let results_of = |i: usize| results.iter().filter(move |(workspace, _)| *workspace == i);
    let received: Vec<u64> = (0..deployment.workspaces.len())
        .map(|i| results_of(i).map(|(_, s)| tokens(s)).sum())
        .collect();
    let served = results
        .iter()
        .filter(|(_, s)| s.outcome == Outcome::Served)
        .count();
    let shares: u32 = deployment.workspaces.iter().map(|w| w.share).sum();
    let exceeds_share = |i: &usize| {
        let share = f64::from(deployment.workspaces[*i].share) / f64::from(shares);
        results_of(*i).count() as f64 > served as f64 * share
            && results_of(*i).any(|(_, s)| s.outcome == Outcome::Shed)
    };
    let rates: Vec<f64> = (0..deployment.workspaces.len())
        .filter(exceeds_share)
        .map(|i| received[i] as f64 / f64::from(deployment.workspaces[i].share))
        .collect();
    let sum: f64 = rates.iter().sum();
    let squares: f64 = rates.iter().map(|r| r * r).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (rates.len() as f64 * squares)
}
