//! Injects the faults of one wave and undoes them.

use std::time::Duration;

use futures_util::future::join_all;
use gooseberry_standin::engine::Stats;
use rand::RngExt;
use tokio::time::{Instant, sleep, sleep_until};

use super::case::{Case, Fault};
use super::wave::{Callers, Testbed};
use crate::harness::BenchError;

/// Bounds of the suspension of an engine, in milliseconds.
const ENGINE_PAUSE_MS: [u64; 2] = [1_000, 3_000];

/// Bounds of the suspension of a router, in milliseconds.
const ROUTER_PAUSE_MS: [u64; 2] = [2_500, 4_000];

/// Faults choose among this many engines, those with the most streams.
const BUSY_ENGINES: usize = 10;

/// Duration of a partition.
const PARTITION_TIME: Duration = Duration::from_secs(3);

/// Number of engines that `engines_killed` kills.
const KILLED_ENGINES: usize = 3;

/// Delay between killing the witness and killing the owner.
const OWNER_DELAY: Duration = Duration::from_millis(400);

/// The longest wait for a stream to resume at another engine.
const RESUME_WAIT: Duration = Duration::from_millis(500);

/// How a temporary fault is undone; holds the index of its target.
#[derive(Clone, Copy, Debug)]
enum Repair {
    Engine(usize),
    Router(usize),
    Centre(usize),
}

/// Faults injected into one wave, their times and targets.
#[derive(Debug, Default)]
pub(crate) struct Injection {
    /// When each loss began; faults of callers have none.
    pub(crate) loss_times: Vec<Instant>,
    repairs: Vec<(Instant, Repair)>,
    killed_engines: Vec<usize>,
    killed_routers: Vec<usize>,
    hit_engines: Vec<usize>,
    hit_routers: Vec<usize>,
}

impl Injection {
    /// Injects all faults of `case`, one after the other.
    pub(crate) async fn inject(
        &mut self,
        testbed: &mut Testbed,
        case: &Case,
        callers: &Callers,
    ) -> Result<(), BenchError> {
        for fault in &case.0 {
            self.inject_one(testbed, *fault, callers).await?;
        }
        Ok(())
    }

    async fn inject_one(
        &mut self,
        testbed: &mut Testbed,
        fault: Fault,
        callers: &Callers,
    ) -> Result<(), BenchError> {
        match fault {
            Fault::EngineKilled => {
                let engine = self.draw_engine(testbed).await;
                self.kill_engine(testbed, engine).await?;
            }
            Fault::EnginePaused => self.pause_engine(testbed).await,
            Fault::ConnectionSilenced => {
                let engine = self.draw_engine(testbed).await;
                self.loss_times.push(Instant::now());
                testbed.relays.stall(testbed.fleet.engines[engine].addr);
            }
            Fault::EnginesKilled => self.kill_engines(testbed).await?,
            Fault::EngineRestarted => {
                let engine = self.draw_engine(testbed).await;
                self.kill_engine(testbed, engine).await?;
                self.killed_engines.retain(|e| *e != engine);
                testbed.fleet.engines[engine].process.wait().await;
                testbed.fleet.restart_engine(engine)?;
            }
            Fault::ResumeKilled => self.kill_engine_and_successor(testbed).await?,
            Fault::RouterKilled => {
                let router = self.draw_router(testbed);
                self.kill_router(testbed, router);
            }
            Fault::RouterPaused => self.pause_router(testbed),
            Fault::CallersCrossed => callers.duplicate(),
            Fault::WitnessThenOwner => self.kill_witness_and_owner(testbed).await,
            Fault::CentresParted => self.partition(testbed, callers),
            Fault::CallersGone => callers.abandon(),
        }
        Ok(())
    }

    /// Ends suspensions and partitions at the times set for them.
    pub(crate) async fn repair(&mut self, testbed: &mut Testbed) {
        self.repairs.sort_unstable_by_key(|(at, _)| *at);
        for (at, repair) in self.repairs.drain(..) {
            sleep_until(at).await;
            match repair {
                Repair::Engine(i) => testbed.fleet.engines[i].process.thaw(),
                Repair::Router(i) => testbed.fleet.hosts[i].router.thaw(),
                Repair::Centre(i) => testbed.relays.set_partitioned(i, false),
            }
        }
    }

    /// Restarts the engines and routers that were killed.
    pub(crate) async fn restart_killed(&mut self, testbed: &mut Testbed) -> Result<(), BenchError> {
        for engine in self.killed_engines.drain(..) {
            testbed.fleet.engines[engine].process.wait().await;
            testbed.fleet.restart_engine(engine)?;
        }
        for router in self.killed_routers.drain(..) {
            testbed.fleet.hosts[router].router.wait().await;
            testbed.fleet.restart_router(router)?;
        }
        Ok(())
    }

    /// Draws one of the [`BUSY_ENGINES`] that no fault of this wave has hit.
    async fn draw_engine(&mut self, testbed: &mut Testbed) -> usize {
        let live = counts(testbed, |s| s.live).await;
        let mut remaining = remaining(live.len(), &self.hit_engines);
        remaining.sort_unstable_by_key(|i| std::cmp::Reverse(live[*i]));
        remaining.truncate(BUSY_ENGINES);
        draw(testbed, &remaining, &mut self.hit_engines)
    }

    fn draw_router(&mut self, testbed: &mut Testbed) -> usize {
        let remaining = remaining(testbed.fleet.hosts.len(), &self.hit_routers);
        draw(testbed, &remaining, &mut self.hit_routers)
    }

    async fn kill_engine(
        &mut self,
        testbed: &mut Testbed,
        engine: usize,
    ) -> Result<(), BenchError> {
        testbed.ledger.record_killed(&testbed.fleet, engine).await?;
        self.loss_times.push(Instant::now());
        testbed.fleet.engines[engine].process.kill();
        self.killed_engines.push(engine);
        Ok(())
    }

    fn kill_router(&mut self, testbed: &mut Testbed, router: usize) {
        self.loss_times.push(Instant::now());
        testbed.fleet.hosts[router].router.kill();
        self.killed_routers.push(router);
    }

    async fn pause_engine(&mut self, testbed: &mut Testbed) {
        let engine = self.draw_engine(testbed).await;
        let pause = testbed
            .random
            .random_range(ENGINE_PAUSE_MS[0]..=ENGINE_PAUSE_MS[1]);
        let now = Instant::now();
        self.loss_times.push(now);
        testbed.fleet.engines[engine].process.freeze();
        let until = now + Duration::from_millis(pause);
        self.repairs.push((until, Repair::Engine(engine)));
    }

    fn pause_router(&mut self, testbed: &mut Testbed) {
        let router = self.draw_router(testbed);
        let pause = testbed
            .random
            .random_range(ROUTER_PAUSE_MS[0]..=ROUTER_PAUSE_MS[1]);
        let now = Instant::now();
        self.loss_times.push(now);
        testbed.fleet.hosts[router].router.freeze();
        let until = now + Duration::from_millis(pause);
        self.repairs.push((until, Repair::Router(router)));
    }

    /// Kills up to [`KILLED_ENGINES`] of one data centre, the busiest first.
    async fn kill_engines(&mut self, testbed: &mut Testbed) -> Result<(), BenchError> {
        let first = self.draw_engine(testbed).await;
        let centre = testbed.plan.engines[first].clone();
        let is_same_centre = |i: &usize| testbed.plan.engines[*i] == centre && *i != first;
        let mut others: Vec<usize> = (0..testbed.plan.engines.len())
            .filter(is_same_centre)
            .collect();
        others.retain(|i| !self.hit_engines.contains(i));
        let live = counts(testbed, |s| s.live).await;
        others.sort_unstable_by_key(|i| std::cmp::Reverse(live[*i]));
        others.truncate(KILLED_ENGINES - 1);
        self.hit_engines.extend(&others);
        self.kill_engine(testbed, first).await?;
        for engine in others {
            self.kill_engine(testbed, engine).await?;
        }
        Ok(())
    }

    /// Kills an engine, then the first one that starts a new stream, as that is where one of its
    /// streams resumed.
    async fn kill_engine_and_successor(&mut self, testbed: &mut Testbed) -> Result<(), BenchError> {
        let first = self.draw_engine(testbed).await;
        let before = counts(testbed, |s| s.streams).await;
        self.kill_engine(testbed, first).await?;
        let deadline = Instant::now() + RESUME_WAIT;
        while Instant::now() < deadline {
            let after = counts(testbed, |s| s.streams).await;
            let is_resuming = |i: &usize| after[*i] > before[*i] && !self.hit_engines.contains(i);
            if let Some(second) = (0..after.len()).find(is_resuming) {
                self.hit_engines.push(second);
                return self.kill_engine(testbed, second).await;
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Kills a router, then another of the same data centre.
    async fn kill_witness_and_owner(&mut self, testbed: &mut Testbed) {
        let witness = self.draw_router(testbed);
        let centre = testbed.plan.hosts[witness].clone();
        let is_same_centre =
            |i: &usize| testbed.plan.hosts[*i] == centre && !self.hit_routers.contains(i);
        let owner = (0..testbed.plan.hosts.len()).find(is_same_centre);
        self.kill_router(testbed, witness);
        sleep(OWNER_DELAY).await;
        if let Some(owner) = owner {
            self.hit_routers.push(owner);
            self.kill_router(testbed, owner);
        }
    }

    fn partition(&mut self, testbed: &mut Testbed, callers: &Callers) {
        let centre = testbed
            .random
            .random_range(0..testbed.relays.centre_count());
        let now = Instant::now();
        self.loss_times.push(now);
        testbed.relays.set_partitioned(centre, true);
        let is_inside =
            |host: usize| testbed.relays.centre_index(&testbed.plan.hosts[host]) == centre;
        callers.switch_host(is_inside, testbed.plan.hosts.len());
        self.repairs
            .push((now + PARTITION_TIME, Repair::Centre(centre)));
    }
}

/// Indices below `count` that were not drawn before.
fn remaining(count: usize, drawn: &[usize]) -> Vec<usize> {
    (0..count).filter(|i| !drawn.contains(i)).collect()
}

/// Draws one of `remaining`, which must not be empty, and adds it to `drawn`.
fn draw(testbed: &mut Testbed, remaining: &[usize], drawn: &mut Vec<usize>) -> usize {
    let one = remaining[testbed.random.random_range(0..remaining.len())];
    drawn.push(one);
    one
}

/// A counter of each engine; 0 where an engine does not answer.
async fn counts(testbed: &Testbed, count: fn(Stats) -> u64) -> Vec<u64> {
    let calls = (0..testbed.fleet.engines.len()).map(|i| testbed.fleet.engine_stats(i));
    let answers = join_all(calls).await;
    answers.into_iter().map(|a| a.map_or(0, count)).collect()
}
