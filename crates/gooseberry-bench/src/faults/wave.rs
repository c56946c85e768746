//! One wave: many callers at once, a failure in the middle, and what each caller saw.

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

/// The shortest and the longest time from the first request to the failure, in milliseconds.
const FAULT_DELAY_MS: [u64; 2] = [500, 900];

/// One caller in this many asks for the answer as one body.
const UNARY_EVERY: usize = 10;

/// One caller in this many goes away, where callers do.
const ABANDON_EVERY: usize = 6;

/// The longest wait for engines to end what nobody waits for, beyond the profile's bound.
const IDLE_WAIT: Duration = Duration::from_secs(2);

/// The time between looks at the engines.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The prompt bytes that an engine counts as one token.
const TOKEN_BYTES: u64 = 4;

/// A deployment under test.
pub(crate) struct Testbed {
    pub(crate) fleet: Fleet,
    pub(crate) relays: Relays,
    pub(crate) plan: Plan,
    pub(crate) ledger: Ledger,
    pub(crate) random: StdRng,
}

/// The callers of a wave.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    callers: Vec<Caller>,
    behaviours: Vec<Behaviour>,
}

/// What came of a wave.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) case: Case,
    pub(crate) verdicts: Vec<Verdict>,
    pub(crate) restarted: u64,
    pub(crate) retries: u64,
    /// Callers that went away for good, and so have no verdict.
    pub(crate) abandoned: u64,
    /// The streams that engines still ran after the bound.
    pub(crate) left_running: u64,
    pub(crate) resume_times: Vec<Duration>,
    pub(crate) work: Work,
    /// The tokens that the wave takes without a failure or a cache.
    pub(crate) token_total: u64,
    /// What callers without a whole answer were told last, and under which key.
    pub(crate) flaws: Vec<String>,
}

impl Callers {
    /// The callers of wave `wave`; `run` makes their keys differ from those of other runs.
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

    /// Lets every third caller repeat its request beside the old connection.
    pub(crate) fn duplicate(&self) {
        let chosen = self.behaviours.iter().step_by(3);
        chosen.for_each(|b| b.duplicate.cancel());
    }

    /// Lets some callers go away for good.
    pub(crate) fn abandon(&self) {
        let chosen = self.behaviours.iter().step_by(ABANDON_EVERY);
        chosen.for_each(|b| b.abandon.cancel());
    }

    /// Lets every second caller of some of the hosts come back elsewhere.
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

    /// The tokens of all prompts and answers.
    fn token_total(&self) -> u64 {
        let one = |caller: &Caller| {
            let (length, _) = sequence::length(&caller.prompt, caller.max_tokens);
            length + caller.prompt.len() as u64 / TOKEN_BYTES
        };
        self.callers.iter().map(one).sum()
    }
}

/// Runs some waves at once without a failure.
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

/// Runs one wave.
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

/// The verdict on one answer; an old connection that went astray counts as a mixed one.
fn verdict(caller: &Caller, transcript: &Transcript) -> Verdict {
    if transcript.divergences > 0 {
        return Verdict::Mixed;
    }
    caller.judge(transcript)
}

/// What is known of an answer that is not exact.
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

/// Waits until no engine runs a stream; returns how many still run after the bound.
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
