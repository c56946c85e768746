//! `faults`: injects failures into real processes while many streams are in flight. Checks every
//! answer token by token, and measures the time to resume and the extra work.

mod case;
mod inject;
mod ledger;
mod measure;
mod report;
mod site;
mod wave;

pub(crate) use report::commit;

use std::process::Stdio;
use std::time::Duration;

use bpaf::Bpaf;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use tokio::process::Command;
use tokio::time::timeout;

use crate::harness::fleet::Fleet;
use crate::harness::relay::Relays;
use crate::harness::{BenchError, build};
use case::Case;
use ledger::Ledger;
use measure::Latencies;
use site::{Deployment, Site, Variant};
use wave::{Outcome, Testbed};

/// Time limit of the process of one baseline.
const BASELINE_LIMIT: Duration = Duration::from_secs(90);

/// Number of fault-free waves that run concurrently.
const PARALLEL_WAVES: usize = 3;

/// Options of `faults`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Options {
    /// The deployment: `sao-mai` or `nyah`.
    #[bpaf(long, argument("NAME"))]
    profile: Deployment,
    /// The seed of the faults: their order, combinations, targets and times.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// Run a single wave with this fault, or several joined by `+`.
    #[bpaf(long, argument("NAME"), optional)]
    fault: Option<Case>,
    /// The number of callers in each wave.
    #[bpaf(long, argument("N"), fallback(120))]
    streams: usize,
    /// How streams recover from a failure: `resume`, `scratch` or `timeout`.
    #[bpaf(long, argument("NAME"), fallback(Variant::Resume))]
    variant: Variant,
    /// Skip the baselines.
    no_baselines: bool,
    /// Print the report as JSON only.
    json: bool,
}

/// Runs the experiment; returns whether every answer was exact and no stream was left running.
pub(crate) async fn run(options: Options) -> Result<bool, BenchError> {
    let programs = build::programs().await?;
    let mut site = Site::new(options.profile, options.variant, options.streams);
    let cases = cases(&options);
    let run = run_waves(&options, &programs, &mut site, &cases).await?;
    let mut report = report::build(&options, &site, &run);
    if options.variant == Variant::Resume && !options.no_baselines {
        let (scratch, fixed) = tokio::join!(
            baseline(&options, Variant::Scratch),
            baseline(&options, Variant::Timeout)
        );
        report["baselines"] = serde_json::json!({ "scratch": scratch, "timeout": fixed });
    }
    println!("{report:#}");
    let passed = report::passed(&report);
    if !options.json {
        let verdict = if passed {
            "every answer is exact"
        } else {
            "FAILED"
        };
        println!("{verdict}");
    }
    Ok(passed)
}

/// Measurements of one run.
struct Run {
    outcomes: Vec<Outcome>,
    /// Work of the engines for the same waves without a fault.
    fault_free: ledger::Work,
    router: Latencies,
    direct: Latencies,
}

/// The faults of each wave: the given case only, or all that apply to the variant.
fn cases(options: &Options) -> Vec<Case> {
    if let Some(case) = &options.fault {
        return vec![case.clone()];
    }
    let mut random = StdRng::seed_from_u64(options.seed);
    let all = case::draw(&mut random);
    let has_baseline = |c: &Case| options.variant == Variant::Resume || c.has_baseline();
    all.into_iter().filter(has_baseline).collect()
}

async fn run_waves(
    options: &Options,
    programs: &std::path::Path,
    site: &mut Site,
    cases: &[Case],
) -> Result<Run, BenchError> {
    let plan = site.plan();
    let relays = Relays::start(&plan).await?;
    let fleet = Fleet::start_relayed(programs, &plan, Some(&relays)).await?;
    let mut testbed = Testbed {
        fleet,
        relays,
        plan,
        ledger: Ledger::default(),
        random: StdRng::seed_from_u64(options.seed ^ 1),
    };
    let before = testbed.ledger.total(&testbed.fleet).await?;
    let wave_numbers: Vec<usize> = (0..cases.len()).collect();
    for batch in wave_numbers.chunks(PARALLEL_WAVES) {
        wave::run_fault_free(&testbed, site, batch).await?;
    }
    let fault_free = testbed.ledger.total(&testbed.fleet).await? - before;
    let (router, direct) = measure::latencies(&testbed.fleet, site).await;
    let mut outcomes = Vec::new();
    for (number, case) in cases.iter().enumerate() {
        if !options.json {
            println!("wave {number}: {case}");
        }
        outcomes.push(wave::run(&mut testbed, site, number, case).await?);
    }
    Ok(Run {
        outcomes,
        fault_free,
        router,
        direct,
    })
}

/// Runs the same seed with another variant in a child process and returns its report, or an object
/// with the key `failed`.
async fn baseline(options: &Options, variant: Variant) -> Value {
    let failed = |cause: String| serde_json::json!({ "failed": cause });
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(e) => return failed(e.to_string()),
    };
    let mut command = Command::new(program);
    command.args(["faults", "--json", "--profile"]);
    command.arg(options.profile.to_string());
    command.args(["--seed", &options.seed.to_string()]);
    command.args(["--streams", &options.streams.to_string()]);
    command.args(["--variant", &variant.to_string()]);
    if let Some(case) = &options.fault {
        command.args(["--fault", &case.to_string()]);
    }
    command.stdin(Stdio::null()).kill_on_drop(true);
    match timeout(BASELINE_LIMIT, command.output()).await {
        Ok(Ok(output)) => serde_json::from_slice(&output.stdout)
            .unwrap_or_else(|_| failed(String::from_utf8_lossy(&output.stderr).into_owned())),
        Ok(Err(e)) => failed(e.to_string()),
        Err(e) => failed(e.to_string()),
    }
}
