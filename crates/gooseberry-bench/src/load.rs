//! `load`: runs both deployments under increasing load and compares the combined load-balancing
//! rule with simple baseline rules.

pub(crate) mod caller;
mod plan;
mod step;

use bpaf::Bpaf;
use profiles::document::Document;
use serde::Serialize;
use serde_json::{Value, json};

use crate::harness::fleet::Fleet;
use crate::harness::{BenchError, build};
use plan::Deployment;
use step::Step;

/// Offered loads in percent of the capacity of the engines with warm caches.
const LOADS: [u64; 5] = [30, 70, 100, 150, 200];

/// Offered loads under each baseline rule, in percent; only the last step is compared.
const BASELINE_LOADS: [u64; 2] = [30, 70];

/// Load-balancing rules used as baselines.
const BASELINES: [balance::Rule; 3] = [
    balance::Rule::RoundRobin,
    balance::Rule::Random,
    balance::Rule::LeastInFlight,
];

/// Minimum goodput at twice the capacity, as a fraction of that of the best step.
const MIN_GOODPUT: f64 = 0.9;

/// Minimum Jain fairness index over the workspaces that request more than their share.
const MIN_FAIRNESS: f64 = 0.95;

/// Options of the `load` experiment.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// Seed of arrivals and prompts.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// Duration of each step in seconds.
    #[bpaf(long, argument("S"), fallback(7))]
    seconds: u64,
    /// Print the report as JSON only.
    json: bool,
}

/// Whether each bound is satisfied.
#[derive(Clone, Copy, Debug, Serialize)]
struct BoundResults {
    goodput: bool,
    late: bool,
    fairness: bool,
    ttft_p95: bool,
    prefix_hits: bool,
}

/// Runs the experiment; returns whether all bounds are satisfied.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let programs = build::programs().await?;
    let mut is_within = true;
    let mut deployments = Vec::new();
    for deployment in plan::deployments() {
        let steps = run_rule(
            &programs,
            &deployment,
            balance::Rule::Combined,
            &LOADS,
            &options,
        );
        let steps = steps.await?;
        let mut baselines = Vec::new();
        for rule in BASELINES {
            let ran = run_rule(&programs, &deployment, rule, &BASELINE_LOADS, &options).await?;
            baselines.extend(ran.into_iter().last().map(|step| (rule, step)));
        }
        let bounds = judge(&steps, &baselines);
        is_within &= bounds.goodput
            && bounds.late
            && bounds.fairness
            && bounds.ttft_p95
            && bounds.prefix_hits;
        deployments.push(report(&deployment, &steps, &baselines, bounds));
    }
    let report = json!({
        "seed": options.seed,
        "commit": build::commit().await,
        "step_s": options.seconds,
        "deployments": deployments,
        "ok": is_within,
    });
    println!("{report:#}");
    if !options.json {
        println!(
            "{}",
            if is_within {
                "all bounds are satisfied"
            } else {
                "FAILED"
            }
        );
    }
    Ok(is_within)
}

/// Runs all steps under one rule on a new deployment, so that no caches carry over between rules.
async fn run_rule(
    programs: &std::path::Path,
    deployment: &Deployment,
    rule: balance::Rule,
    loads: &[u64],
    options: &Options,
) -> Result<Vec<Step>, BenchError> {
    let document: Document = deployment.document(rule);
    let fleet = Fleet::start(programs, &deployment.plan(document)).await?;
    let mut steps = Vec::new();
    for load in loads {
        let step = step::run(&fleet, deployment, *load, options.seed, options.seconds).await?;
        if !options.json {
            println!("{} {rule} {}", deployment.name, json!(step));
        }
        steps.push(step);
    }
    fleet.stop().await;
    Ok(steps)
}

fn judge(steps: &[Step], baselines: &[(balance::Rule, Step)]) -> BoundResults {
    let best = steps.iter().map(|s| s.goodput).fold(0.0, f64::max);
    let last = steps.last();
    let comparable = steps
        .iter()
        .find(|s| Some(&s.load) == BASELINE_LOADS.last());
    BoundResults {
        goodput: last.is_some_and(|s| s.goodput >= MIN_GOODPUT * best),
        late: steps.iter().all(|s| s.late == 0),
        fairness: last.is_some_and(|s| s.fairness >= MIN_FAIRNESS),
        ttft_p95: beats_all(comparable, baselines, |own, other| {
            own.ttft_ms.p95 < other.ttft_ms.p95
        }),
        prefix_hits: beats_all(comparable, baselines, |own, other| {
            own.prefix_hits > other.prefix_hits
        }),
    }
}

/// Whether a step is better than the steps of all baselines; `false` if there is no such step.
fn beats_all(
    own: Option<&Step>,
    baselines: &[(balance::Rule, Step)],
    is_better: impl Fn(&Step, &Step) -> bool,
) -> bool {
    own.is_some_and(|own| baselines.iter().all(|(_, other)| is_better(own, other)))
}

fn report(
    deployment: &Deployment,
    steps: &[Step],
    baselines: &[(balance::Rule, Step)],
    bounds: BoundResults,
) -> Value {
    let baselines: Vec<Value> = baselines
        .iter()
        .map(|(rule, step)| json!({ "rule": rule, "step": step }))
        .collect();
    json!({
        "name": deployment.name,
        "routers": deployment.hosts.len(),
        "engines": deployment.engines.len(),
        "workspaces": deployment.workspaces.len(),
        "capacity_rps": deployment.capacity(),
        "steps": steps,
        "baselines": baselines,
        "kept": bounds,
    })
}
