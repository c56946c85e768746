//! What a run says.

use std::process::Command;
use std::time::Duration;

use serde_json::{Map, Value, json};

use super::ledger::Work;
use super::site::Site;
use super::wave::Outcome;
use super::{Options, Run};
use crate::harness::caller::Verdict;
use crate::harness::report::{Times, times};

/// The flaws told in full.
const MAX_FLAWS: usize = 20;

/// The whole report, without baselines.
pub(crate) fn whole(options: &Options, site: &Site, run: &Run) -> Value {
    let all: Vec<&Outcome> = run.outcomes.iter().collect();
    let weight: u64 = all.iter().map(|o| o.weight).sum();
    let mut report = section(&all, run.free, weight);
    let mut faults = Map::new();
    for outcome in &run.outcomes {
        let one = section(&[outcome], run.free, weight);
        faults.insert(outcome.case.to_string(), one);
    }
    let flaws = all.iter().flat_map(|o| &o.flaws);
    report["faults"] = Value::Object(faults);
    report["resume_closed_ms"] = json!(resumes(&all, |o| o.case.closes()));
    report["resume_silent_ms"] = json!(resumes(&all, |o| !o.case.closes()));
    report["compared"] = compared(run, weight);
    report["flaws"] = flaws.take(MAX_FLAWS).cloned().collect();
    report["gap_ms"] = json!({
        "router": short(&run.router.gaps),
        "direct": short(&run.direct.gaps),
    });
    report["ttft_ms"] = json!({
        "router": short(&run.router.firsts),
        "direct": short(&run.direct.firsts),
    });
    report["profile"] = json!(options.profile);
    report["variant"] = json!(options.variant);
    report["seed"] = json!(options.seed);
    report["sizes"] = sizes(site);
    report["commit"] = json!(commit());
    report
}

/// Whether every answer of the run is whole and nothing was left running.
pub(crate) fn is_sound(report: &Value) -> bool {
    let flaws = ["missing", "repeated", "mixed", "lost", "left_running"];
    flaws.iter().all(|f| report[*f] == 0)
}

/// The part of the run that the baselines repeat.
fn compared(run: &Run, weight: u64) -> Value {
    let some: Vec<&Outcome> = run
        .outcomes
        .iter()
        .filter(|o| o.case.is_compared())
        .collect();
    section(&some, run.free, weight)
}

/// The figures of some waves.
fn section(outcomes: &[&Outcome], free: Work, weight: u64) -> Value {
    let count = |v: Verdict| {
        let all = outcomes.iter().flat_map(|o| &o.verdicts);
        all.filter(|x| **x == v).count()
    };
    let sum = |f: fn(&Outcome) -> u64| outcomes.iter().map(|o| f(o)).sum::<u64>();
    let used = outcomes.iter().map(|o| o.used);
    let used = used.fold(Work::default(), |a, b| a + b);
    let share = sum(|o| o.weight) as f64 / weight.max(1) as f64;
    json!({
        "requests": outcomes.iter().map(|o| o.verdicts.len()).sum::<usize>(),
        "exact": count(Verdict::Exact),
        "restarted": sum(|o| o.restarted),
        "missing": count(Verdict::Missing),
        "repeated": count(Verdict::Repeated),
        "mixed": count(Verdict::Mixed),
        "lost": count(Verdict::Lost),
        "repeats": sum(|o| o.repeats),
        "gone": sum(|o| o.gone),
        "left_running": sum(|o| o.left),
        "resume_ms": resumes(outcomes, |_| true),
        "extra_use": extra(used, free, share),
    })
}

/// Work beyond the failure-free run, as a fraction of it.
///
/// The prefill of first attempts is left out on both sides: it differs between two runs by where
/// the balancer put a request and what the cache held there, with or without a failure.
fn extra(used: Work, free: Work, share: f64) -> Value {
    let whole = free.total() as f64 * share;
    let prefill = used.again as f64;
    let decode = used.decode as f64 - free.decode as f64 * share;
    let fraction = |tokens: f64| (tokens / whole.max(1.0) * 10_000.0).round() / 10_000.0;
    json!({
        "fraction": fraction(prefill + decode),
        "prefill": fraction(prefill),
        "decode": fraction(decode),
        "used": used,
        "free_total": whole.round(),
    })
}

fn resumes(outcomes: &[&Outcome], is_meant: fn(&Outcome) -> bool) -> Times {
    let some = outcomes.iter().filter(|o| is_meant(o));
    times(some.flat_map(|o| o.resumes.iter().copied()))
}

fn short(durations: &[Duration]) -> Value {
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

/// The commit of the code, if it is known.
fn commit() -> Option<String> {
    let mut command = Command::new("git");
    command.args(["-C", env!("CARGO_MANIFEST_DIR")]);
    let output = command
        .args(["describe", "--always", "--dirty"])
        .output()
        .ok()?;
    Some(String::from_utf8_lossy(&output.stdout).trim().to_owned())
}
