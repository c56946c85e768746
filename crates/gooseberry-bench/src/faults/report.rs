//! The JSON report of a run.

use std::process::Command;
use std::time::Duration;

use serde_json::{Map, Value, json};

use super::ledger::Work;
use super::site::Site;
use super::wave::Outcome;
use super::{Options, Run};
use crate::harness::caller::Verdict;
use crate::harness::report::{Times, times};

/// The number of wrong answers that the report describes.
const MAX_FLAWS: usize = 20;

/// The report of one variant, without the baselines.
pub(crate) fn build(options: &Options, site: &Site, run: &Run) -> Value {
    let all: Vec<&Outcome> = run.outcomes.iter().collect();
    let token_total: u64 = all.iter().map(|o| o.token_total).sum();
    let mut report = figures(&all, run.fault_free, token_total);
    let mut faults = Map::new();
    for outcome in &run.outcomes {
        let one = figures(&[outcome], run.fault_free, token_total);
        faults.insert(outcome.case.to_string(), one);
    }
    let flaws = all.iter().flat_map(|o| &o.flaws);
    report["faults"] = Value::Object(faults);
    report["resume_closed_ms"] = json!(resume_times(&all, |o| o.case.closes_connections()));
    report["resume_silent_ms"] = json!(resume_times(&all, |o| !o.case.closes_connections()));
    report["compared"] = compared(run, token_total);
    report["flaws"] = flaws.take(MAX_FLAWS).cloned().collect();
    report["gap_ms"] = json!({
        "router": percentiles(&run.router.gaps),
        "direct": percentiles(&run.direct.gaps),
    });
    report["ttft_ms"] = json!({
        "router": percentiles(&run.router.ttfts),
        "direct": percentiles(&run.direct.ttfts),
    });
    report["profile"] = json!(options.profile);
    report["variant"] = json!(options.variant);
    report["seed"] = json!(options.seed);
    report["sizes"] = sizes(site);
    report["commit"] = json!(commit());
    report
}

/// Whether every answer is exact and no engine was left with a running stream.
pub(crate) fn passed(report: &Value) -> bool {
    let flaws = ["missing", "repeated", "mixed", "lost", "left_running"];
    flaws.iter().all(|f| report[*f] == 0)
}

/// The figures of the waves that the baselines run too.
fn compared(run: &Run, token_total: u64) -> Value {
    let selected: Vec<&Outcome> = run
        .outcomes
        .iter()
        .filter(|o| o.case.has_baseline())
        .collect();
    figures(&selected, run.fault_free, token_total)
}

/// The figures of some waves; `token_total` is that of all waves of the run.
fn figures(outcomes: &[&Outcome], fault_free: Work, token_total: u64) -> Value {
    let count = |v: Verdict| {
        let all = outcomes.iter().flat_map(|o| &o.verdicts);
        all.filter(|x| **x == v).count()
    };
    let sum = |f: fn(&Outcome) -> u64| outcomes.iter().map(|o| f(o)).sum::<u64>();
    let work = outcomes.iter().map(|o| o.work);
    let work = work.fold(Work::default(), |a, b| a + b);
    let share = sum(|o| o.token_total) as f64 / token_total.max(1) as f64;
    json!({
        "requests": outcomes.iter().map(|o| o.verdicts.len()).sum::<usize>(),
        "exact": count(Verdict::Exact),
        "restarted": sum(|o| o.restarted),
        "missing": count(Verdict::Missing),
        "repeated": count(Verdict::Repeated),
        "mixed": count(Verdict::Mixed),
        "lost": count(Verdict::Lost),
        "repeats": sum(|o| o.retries),
        "gone": sum(|o| o.abandoned),
        "left_running": sum(|o| o.left_running),
        "resume_ms": resume_times(outcomes, |_| true),
        "extra_use": extra_work(work, fault_free, share),
    })
}

/// Extra work as a fraction of the fault-free work; `share` is the part of the run that these waves
/// make up, by tokens.
///
/// The extra prefill is that of later attempts only. The prefill of first attempts differs between
/// two runs also without a fault, as it depends on where the balancer placed a request and what the
/// cache held there.
fn extra_work(work: Work, fault_free: Work, share: f64) -> Value {
    let fault_free_total = fault_free.total() as f64 * share;
    let prefill = work.again as f64;
    let decode = work.decode as f64 - fault_free.decode as f64 * share;
    let fraction = |tokens: f64| (tokens / fault_free_total.max(1.0) * 10_000.0).round() / 10_000.0;
    json!({
        "fraction": fraction(prefill + decode),
        "prefill": fraction(prefill),
        "decode": fraction(decode),
        "used": work,
        "free_total": fault_free_total.round(),
    })
}

fn resume_times(outcomes: &[&Outcome], is_counted: fn(&Outcome) -> bool) -> Times {
    let selected = outcomes.iter().filter(|o| is_counted(o));
    times(selected.flat_map(|o| o.resume_times.iter().copied()))
}

fn percentiles(durations: &[Duration]) -> Value {
    let times = times(durations.iter().copied());
    json!({ "count": times.count, "p50": times.p50, "p95": times.p95 })
}

fn sizes(site: &Site) -> Value {
    let plan = site.plan();
    json!({
        "hosts": plan.hosts.len(),
        "engines": plan.engines.len(),
        "streams": site.streams,
    })
}

/// The commit of the sources as `git describe --dirty` prints it; `None` if git cannot be run.
pub(crate) fn commit() -> Option<String> {
    let mut command = Command::new("git");
    command.args(["-C", env!("CARGO_MANIFEST_DIR")]);
    let output = command
        .args(["describe", "--always", "--dirty"])
        .output()
        .ok()?;
    Some(String::from_utf8_lossy(&output.stdout).trim().to_owned())
}
