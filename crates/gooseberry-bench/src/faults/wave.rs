//! One wave: many concurrent callers, faults while their streams run, and the check of each answer.

use std::time::Duration;

use futures_util::future::join_all;
use gooseberry_standin::sequence;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep};

use super::case::{Case, Fault};
use super::inject::Injection;
use super::ledger::{Ledger, Work, stats};
use super::site::Site;
use crate::harness::BenchError;
use crate::harness::caller::{Behaviour, Caller, Transcript, Verdict};
use crate::harness::fleet::{Fleet, Plan};
use crate::harness::relay::Relays;

/// Bounds of the time from the first request to the fault, in milliseconds.
const FAULT_DELAY_MS: [u64; 2] = [500, 900];

/// One caller in this many requests the answer as one body.
const UNARY_EVERY: usize = 10;

/// One caller in this many abandons its request under `callers_gone`.
const ABANDON_EVERY: usize = 6;

/// The longest wait for engines to become idle, beyond the time for which orphaned generations go
/// on.
const IDLE_WAIT: Duration = Duration::from_secs(2);

/// The interval of polls of the engines.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Prompt bytes that an engine counts as one token.
const TOKEN_BYTES: u64 = 4;

/// A running deployment and the state of the experiment on it.
pub(crate) struct Testbed {
    pub(crate) fleet: Fleet,
    pub(crate) relays: Relays,
    pub(crate) plan: Plan,
    pub(crate) ledger: Ledger,
    /// Draws the targets and times of faults.
    pub(crate) random: StdRng,
}

/// The callers of a wave and, at the same indices, their behaviours.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    callers: Vec<Caller>,
    behaviours: Vec<Behaviour>,
}

/// Results of a wave.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) case: Case,
    pub(crate) verdicts: Vec<Verdict>,
    /// Number of `restart` events that callers received.
    pub(crate) restarted: u64,
    pub(crate) retries: u64,
    /// Callers that abandoned their request; they have no verdict.
    pub(crate) abandoned: u64,
    /// Streams that engines still ran when the wait for them to become idle expired.
    pub(crate) left_running: u64,
    pub(crate) resume_times: Vec<Duration>,
    /// Work of the engines during the wave.
    pub(crate) work: Work,
    /// Tokens of all prompts and answers: the work without faults and caches.
    pub(crate) token_total: u64,
    /// A description of each answer that is not exact, with the caller's key and last error.
    pub(crate) flaws: Vec<String>,
}

impl Callers {
    /// The callers of wave `wave`; `run` is the prefix of their keys.
    fn new(testbed: &Testbed, site: &Site, run: &str, wave: usize, case: Option<&Case>) -> Self {
        let will_abandon = |i: usize| {
            let has_fault = case.is_some_and(|c| c.0.contains(&Fault::CallersGone));
            has_fault && i.is_multiple_of(ABANDON_EVERY)
        };
        let behaviour = |i: usize| Behaviour {
            is_unary: i % UNARY_EVERY == UNARY_EVERY - 1,
            ..Behaviour::default()
        };
        let caller = |i: usize| site.caller(&testbed.fleet, run, wave, i, will_abandon(i));
        Self {
            callers: (0..site.streams).map(caller).collect(),
            behaviours: (0..site.streams).map(behaviour).collect(),
        }
    }

    /// Makes every third caller send its request again while its old connection is open.
    pub(crate) fn duplicate(&self) {
        let chosen = self.behaviours.iter().step_by(3);
        chosen.for_each(|b| b.duplicate.cancel());
    }

    /// Makes one caller in [`ABANDON_EVERY`] abandon its request.
    pub(crate) fn abandon(&self) {
        let chosen = self.behaviours.iter().step_by(ABANDON_EVERY);
        chosen.for_each(|b| b.abandon.cancel());
    }

    /// Makes every second caller of the hosts that `is_inside` selects retry at the next host.
    pub(crate) fn switch_host(&self, is_inside: impl Fn(usize) -> bool, hosts: usize) {
        let inside = (0..self.behaviours.len()).filter(|i| is_inside(i % hosts));
        for i in inside.step_by(2) {
            self.behaviours[i].switch_host.cancel();
        }
    }

    async fn run(self) -> Vec<Transcript> {
        let all = self.callers.iter().zip(&self.behaviours);
        join_all(all.map(|(caller, behaviour)| caller.run_with(behaviour))).await
    }

    fn has_abandoned(&self, i: usize) -> bool {
        self.behaviours[i].abandon.is_cancelled()
    }

    /// Tokens of all prompts and answers.
    fn token_total(&self) -> u64 {
        let one = |caller: &Caller| {
            let (length, _) = sequence::length(&caller.prompt, caller.max_tokens);
            length + caller.prompt.len() as u64 / TOKEN_BYTES
        };
        self.callers.iter().map(one).sum()
    }
}

/// Runs some waves concurrently without faults, then waits until the engines are idle.
pub(crate) async fn run_fault_free(
    testbed: &Testbed,
    site: &Site,
    waves: &[usize],
) -> Result<(), BenchError> {
    let groups = waves
        .iter()
        .map(|w| Callers::new(testbed, site, "free", *w, None).run());
    join_all(groups).await;
    wait_until_idle(&testbed.fleet, IDLE_WAIT).await?;
    Ok(())
}

/// Runs one wave with the faults of `case`, and restarts what they killed.
pub(crate) async fn run(
    testbed: &mut Testbed,
    site: &Site,
    number: usize,
    case: &Case,
) -> Result<Outcome, BenchError> {
    let before = testbed.ledger.total(&testbed.fleet).await?;
    let callers = Callers::new(testbed, site, "wave", number, Some(case));
    let running = tokio::spawn(callers.clone().run());
    let wait = testbed
        .random
        .random_range(FAULT_DELAY_MS[0]..=FAULT_DELAY_MS[1]);
    sleep(Duration::from_millis(wait)).await;
    let mut injection = Injection::default();
    injection.inject(testbed, case, &callers).await?;
    injection.repair(testbed).await;
    let transcripts = running.await.unwrap_or_default();
    injection.restart_killed(testbed).await?;
    testbed.fleet.wait_until_serving().await?;
    let left_running = wait_until_idle(&testbed.fleet, site.orphan_limit() + IDLE_WAIT).await?;
    let work = testbed.ledger.total(&testbed.fleet).await? - before;
    Ok(judge(
        case,
        &callers,
        &transcripts,
        &injection.loss_times,
        left_running,
        work,
    ))
}

fn judge(
    case: &Case,
    callers: &Callers,
    transcripts: &[Transcript],
    losses: &[Instant],
    left_running: u64,
    work: Work,
) -> Outcome {
    let mut outcome = Outcome {
        case: case.clone(),
        verdicts: Vec::new(),
        restarted: 0,
        retries: 0,
        abandoned: 0,
        left_running,
        resume_times: Vec::new(),
        work,
        token_total: callers.token_total(),
        flaws: Vec::new(),
    };
    for (i, (caller, transcript)) in callers.callers.iter().zip(transcripts).enumerate() {
        if callers.has_abandoned(i) {
            outcome.abandoned += 1;
            continue;
        }
        let verdict = verdict(caller, transcript);
        if verdict != Verdict::Exact {
            outcome.flaws.push(flaw(caller, transcript, verdict));
        }
        outcome.verdicts.push(verdict);
        outcome.restarted += transcript.restarts;
        outcome.retries += transcript.retries;
        outcome
            .resume_times
            .extend(super::measure::resume_times(transcript, losses));
    }
    outcome
}

/// The verdict on one answer; a superseded connection that diverged makes it [`Verdict::Mixed`].
fn verdict(caller: &Caller, transcript: &Transcript) -> Verdict {
    if transcript.divergences > 0 {
        return Verdict::Mixed;
    }
    caller.judge(transcript)
}

/// Describes an answer that is not exact.
fn flaw(caller: &Caller, transcript: &Transcript, verdict: Verdict) -> String {
    let error = transcript.error.as_ref().map(ToString::to_string);
    format!(
        "{} {verdict:?} words={} repeats={} restarts={} jumps={} error={}",
        caller.key,
        transcript.text.split_whitespace().count(),
        transcript.retries,
        transcript.restarts,
        transcript.id_gaps,
        error.unwrap_or_default()
    )
}

/// Waits until no engine runs a stream, at most for `bound`; returns how many still run.
async fn wait_until_idle(fleet: &Fleet, bound: Duration) -> Result<u64, BenchError> {
    let deadline = Instant::now() + bound;
    loop {
        let live: u64 = stats(fleet).await?.iter().map(|s| s.live).sum();
        if live == 0 || Instant::now() > deadline {
            return Ok(live);
        }
        sleep(POLL_INTERVAL).await;
    }
}
