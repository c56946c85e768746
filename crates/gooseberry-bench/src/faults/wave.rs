//! One wave: many callers at once, a failure in the middle, and what each caller saw.

use std::time::Duration;

use futures_util::future::join_all;
use gooseberry_standin::sequence;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep};

use super::case::{Case, Fault};
use super::inject::Damage;
use super::ledger::{Ledger, Work, stats};
use super::site::Site;
use crate::harness::BenchError;
use crate::harness::caller::{Ask, Manner, Seen, Verdict};
use crate::harness::fleet::{Fleet, Plan};
use crate::harness::relay::Relays;

/// The shortest and the longest time from the first request to the failure, in milliseconds.
const BEFORE_MS: [u64; 2] = [500, 900];

/// One caller in this many asks for the answer as one body.
const WHOLE_EVERY: usize = 10;

/// One caller in this many goes away, where callers do.
const GONE_EVERY: usize = 6;

/// The longest wait for engines to end what nobody waits for, beyond the profile's bound.
const END: Duration = Duration::from_secs(2);

/// The time between looks at the engines.
const LOOK: Duration = Duration::from_millis(50);

/// The prompt bytes that an engine counts as one token.
const TOKEN_BYTES: u64 = 4;

/// A deployment under test.
pub(crate) struct Stage {
    pub(crate) fleet: Fleet,
    pub(crate) relays: Relays,
    pub(crate) plan: Plan,
    pub(crate) ledger: Ledger,
    pub(crate) random: StdRng,
}

/// The callers of a wave.
#[derive(Clone, Debug)]
pub(crate) struct Crowd {
    asks: Vec<Ask>,
    manners: Vec<Manner>,
}

/// What came of a wave.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) case: Case,
    pub(crate) verdicts: Vec<Verdict>,
    pub(crate) restarted: u64,
    pub(crate) repeats: u64,
    /// Callers that went away for good, and so have no verdict.
    pub(crate) gone: u64,
    /// The streams that engines still ran after the bound.
    pub(crate) left: u64,
    pub(crate) resumes: Vec<Duration>,
    pub(crate) used: Work,
    /// The tokens that the wave takes without a failure or a cache.
    pub(crate) weight: u64,
    /// What callers without a whole answer were told last, and under which key.
    pub(crate) flaws: Vec<String>,
}

impl Crowd {
    /// The callers of wave `wave`; `run` makes their keys differ from those of other runs.
    fn new(stage: &Stage, site: &Site, run: &str, wave: usize, case: Option<&Case>) -> Self {
        let goes = |i: usize| {
            let has_gone = case.is_some_and(|c| c.0.contains(&Fault::CallersGone));
            has_gone && i.is_multiple_of(GONE_EVERY)
        };
        let manner = |i: usize| Manner {
            is_whole: i % WHOLE_EVERY == WHOLE_EVERY - 1,
            ..Manner::default()
        };
        let ask = |i: usize| site.ask(&stage.fleet, run, wave, i, goes(i));
        Self {
            asks: (0..site.streams).map(ask).collect(),
            manners: (0..site.streams).map(manner).collect(),
        }
    }

    /// Lets every third caller repeat its request beside the old connection.
    pub(crate) fn cross(&self) {
        let some = self.manners.iter().step_by(3);
        some.for_each(|m| m.cross.cancel());
    }

    /// Lets some callers go away for good.
    pub(crate) fn leave(&self) {
        let some = self.manners.iter().step_by(GONE_EVERY);
        some.for_each(|m| m.leave.cancel());
    }

    /// Lets every second caller of some of the hosts come back elsewhere.
    pub(crate) fn hop(&self, is_inside: impl Fn(usize) -> bool, hosts: usize) {
        let inside = (0..self.manners.len()).filter(|i| is_inside(i % hosts));
        for i in inside.step_by(2) {
            self.manners[i].hop.cancel();
        }
    }

    async fn run(self) -> Vec<Seen> {
        let all = self.asks.iter().zip(&self.manners);
        join_all(all.map(|(ask, manner)| ask.run_as(manner))).await
    }

    fn is_gone(&self, i: usize) -> bool {
        self.manners[i].leave.is_cancelled()
    }

    /// The tokens of all prompts and answers.
    fn weight(&self) -> u64 {
        let one = |ask: &Ask| {
            let (length, _) = sequence::length(&ask.prompt, ask.max_tokens);
            length + ask.prompt.len() as u64 / TOKEN_BYTES
        };
        self.asks.iter().map(one).sum()
    }
}

/// Runs some waves at once without a failure.
pub(crate) async fn free(stage: &Stage, site: &Site, waves: &[usize]) -> Result<(), BenchError> {
    let crowds = waves
        .iter()
        .map(|w| Crowd::new(stage, site, "free", *w, None).run());
    join_all(crowds).await;
    until_idle(&stage.fleet, END).await?;
    Ok(())
}

/// Runs one wave.
pub(crate) async fn run(
    stage: &mut Stage,
    site: &Site,
    number: usize,
    case: &Case,
) -> Result<Outcome, BenchError> {
    let before = stage.ledger.total(&stage.fleet).await?;
    let crowd = Crowd::new(stage, site, "wave", number, Some(case));
    let running = tokio::spawn(crowd.clone().run());
    let wait = stage.random.random_range(BEFORE_MS[0]..=BEFORE_MS[1]);
    sleep(Duration::from_millis(wait)).await;
    let mut damage = Damage::default();
    damage.strike(stage, case, &crowd).await?;
    damage.repair(stage).await;
    let seen = running.await.unwrap_or_default();
    damage.revive(stage).await?;
    stage.fleet.settle().await?;
    let left = until_idle(&stage.fleet, site.orphan() + END).await?;
    let used = stage.ledger.total(&stage.fleet).await? - before;
    Ok(judge(case, &crowd, &seen, &damage.times, left, used))
}

fn judge(
    case: &Case,
    crowd: &Crowd,
    seen: &[Seen],
    losses: &[Instant],
    left: u64,
    used: Work,
) -> Outcome {
    let mut outcome = Outcome {
        case: case.clone(),
        verdicts: Vec::new(),
        restarted: 0,
        repeats: 0,
        gone: 0,
        left,
        resumes: Vec::new(),
        used,
        weight: crowd.weight(),
        flaws: Vec::new(),
    };
    for (i, (ask, seen)) in crowd.asks.iter().zip(seen).enumerate() {
        if crowd.is_gone(i) {
            outcome.gone += 1;
            continue;
        }
        let verdict = verdict(ask, seen);
        if verdict != Verdict::Exact {
            outcome.flaws.push(flaw(ask, seen, verdict));
        }
        outcome.verdicts.push(verdict);
        outcome.restarted += seen.restarts;
        outcome.repeats += seen.repeats;
        outcome
            .resumes
            .extend(super::measure::resumes(seen, losses));
    }
    outcome
}

/// The verdict on one answer; an old connection that went astray counts as a mixed one.
fn verdict(ask: &Ask, seen: &Seen) -> Verdict {
    if seen.strays > 0 {
        return Verdict::Mixed;
    }
    ask.judge(seen)
}

/// What is known of an answer that is not exact.
fn flaw(ask: &Ask, seen: &Seen, verdict: Verdict) -> String {
    let error = seen.error.as_ref().map(ToString::to_string);
    format!(
        "{} {verdict:?} words={} repeats={} restarts={} jumps={} error={}",
        ask.key,
        seen.text.split_whitespace().count(),
        seen.repeats,
        seen.restarts,
        seen.jumps,
        error.unwrap_or_default()
    )
}

/// Waits until no engine runs a stream; returns how many still run after the bound.
async fn until_idle(fleet: &Fleet, bound: Duration) -> Result<u64, BenchError> {
    let deadline = Instant::now() + bound;
    loop {
        let live: u64 = stats(fleet).await?.iter().map(|s| s.live).sum();
        if live == 0 || Instant::now() > deadline {
            return Ok(live);
        }
        sleep(LOOK).await;
    }
}
