//! Brings about the failures of one wave and mends them.

use std::time::Duration;

use futures_util::future::join_all;
use gooseberry_standin::engine::Stats;
use rand::RngExt;
use tokio::time::{Instant, sleep, sleep_until};

use super::case::{Case, Fault};
use super::wave::{Crowd, Stage};
use crate::harness::BenchError;

/// The shortest and the longest pause of an engine, in milliseconds.
const ENGINE_PAUSE_MS: [u64; 2] = [1_000, 3_000];

/// The shortest and the longest pause of a router, in milliseconds.
const ROUTER_PAUSE_MS: [u64; 2] = [2_500, 4_000];

/// The engines with most streams, among which faults choose.
const BUSY: usize = 10;

/// How long data centres are parted.
const PARTED: Duration = Duration::from_secs(3);

/// The engines that die at once.
const MANY: usize = 3;

/// The time from the death of a witness to that of the owner.
const WITNESS_FIRST: Duration = Duration::from_millis(400);

/// The longest wait for a stream to go on elsewhere.
const RESUMED: Duration = Duration::from_millis(500);

/// What is undone while the wave runs on.
#[derive(Clone, Copy, Debug)]
enum Repair {
    Engine(usize),
    Router(usize),
    Centre(usize),
}

/// What was hit, and when.
#[derive(Debug, Default)]
pub(crate) struct Damage {
    /// When each loss began.
    pub(crate) times: Vec<Instant>,
    repairs: Vec<(Instant, Repair)>,
    dead_engines: Vec<usize>,
    dead_routers: Vec<usize>,
    engines: Vec<usize>,
    routers: Vec<usize>,
}

impl Damage {
    /// Brings about all faults of `case`.
    pub(crate) async fn strike(
        &mut self,
        stage: &mut Stage,
        case: &Case,
        crowd: &Crowd,
    ) -> Result<(), BenchError> {
        for fault in &case.0 {
            self.bring(stage, *fault, crowd).await?;
        }
        Ok(())
    }

    async fn bring(
        &mut self,
        stage: &mut Stage,
        fault: Fault,
        crowd: &Crowd,
    ) -> Result<(), BenchError> {
        match fault {
            Fault::EngineKilled => {
                let engine = self.draw_engine(stage).await;
                self.kill_engine(stage, engine).await?;
            }
            Fault::EnginePaused => self.pause_engine(stage).await,
            Fault::ConnectionSilenced => {
                let engine = self.draw_engine(stage).await;
                self.times.push(Instant::now());
                stage.relays.silence(stage.fleet.engines[engine].addr);
            }
            Fault::EnginesKilled => self.kill_engines(stage).await?,
            Fault::EngineRestarted => {
                let engine = self.draw_engine(stage).await;
                self.kill_engine(stage, engine).await?;
                self.dead_engines.retain(|e| *e != engine);
                stage.fleet.engines[engine].process.wait().await;
                stage.fleet.restart_engine(engine)?;
            }
            Fault::ResumeKilled => self.kill_twice(stage).await?,
            Fault::RouterKilled => {
                let router = self.draw_router(stage);
                self.kill_router(stage, router);
            }
            Fault::RouterPaused => self.pause_router(stage),
            Fault::CallersCrossed => crowd.cross(),
            Fault::WitnessThenOwner => self.kill_pair(stage).await,
            Fault::CentresParted => self.part(stage, crowd),
            Fault::CallersGone => crowd.leave(),
        }
        Ok(())
    }

    /// Undoes pauses and partitions as they fall due.
    pub(crate) async fn repair(&mut self, stage: &mut Stage) {
        self.repairs.sort_unstable_by_key(|(at, _)| *at);
        for (at, repair) in self.repairs.drain(..) {
            sleep_until(at).await;
            match repair {
                Repair::Engine(i) => stage.fleet.engines[i].process.thaw(),
                Repair::Router(i) => stage.fleet.hosts[i].router.thaw(),
                Repair::Centre(i) => stage.relays.part(i, false),
            }
        }
    }

    /// Starts again what died.
    pub(crate) async fn revive(&mut self, stage: &mut Stage) -> Result<(), BenchError> {
        for engine in self.dead_engines.drain(..) {
            stage.fleet.engines[engine].process.wait().await;
            stage.fleet.restart_engine(engine)?;
        }
        for router in self.dead_routers.drain(..) {
            stage.fleet.hosts[router].router.wait().await;
            stage.fleet.restart_router(router)?;
        }
        Ok(())
    }

    /// Draws one of the engines that run many streams and were not hit.
    async fn draw_engine(&mut self, stage: &mut Stage) -> usize {
        let live = counts(stage, |s| s.live).await;
        let mut left = left(live.len(), &self.engines);
        left.sort_unstable_by_key(|i| std::cmp::Reverse(live[*i]));
        left.truncate(BUSY);
        draw(stage, &left, &mut self.engines)
    }

    fn draw_router(&mut self, stage: &mut Stage) -> usize {
        let left = left(stage.fleet.hosts.len(), &self.routers);
        draw(stage, &left, &mut self.routers)
    }

    async fn kill_engine(&mut self, stage: &mut Stage, engine: usize) -> Result<(), BenchError> {
        stage.ledger.close(&stage.fleet, engine).await?;
        self.times.push(Instant::now());
        stage.fleet.engines[engine].process.kill();
        self.dead_engines.push(engine);
        Ok(())
    }

    fn kill_router(&mut self, stage: &mut Stage, router: usize) {
        self.times.push(Instant::now());
        stage.fleet.hosts[router].router.kill();
        self.dead_routers.push(router);
    }

    async fn pause_engine(&mut self, stage: &mut Stage) {
        let engine = self.draw_engine(stage).await;
        let pause = stage
            .random
            .random_range(ENGINE_PAUSE_MS[0]..=ENGINE_PAUSE_MS[1]);
        let now = Instant::now();
        self.times.push(now);
        stage.fleet.engines[engine].process.freeze();
        let until = now + Duration::from_millis(pause);
        self.repairs.push((until, Repair::Engine(engine)));
    }

    fn pause_router(&mut self, stage: &mut Stage) {
        let router = self.draw_router(stage);
        let pause = stage
            .random
            .random_range(ROUTER_PAUSE_MS[0]..=ROUTER_PAUSE_MS[1]);
        let now = Instant::now();
        self.times.push(now);
        stage.fleet.hosts[router].router.freeze();
        let until = now + Duration::from_millis(pause);
        self.repairs.push((until, Repair::Router(router)));
    }

    /// Kills engines of one data centre.
    async fn kill_engines(&mut self, stage: &mut Stage) -> Result<(), BenchError> {
        let first = self.draw_engine(stage).await;
        let centre = stage.plan.engines[first].clone();
        let is_near = |i: &usize| stage.plan.engines[*i] == centre && *i != first;
        let mut others: Vec<usize> = (0..stage.plan.engines.len()).filter(is_near).collect();
        others.retain(|i| !self.engines.contains(i));
        let live = counts(stage, |s| s.live).await;
        others.sort_unstable_by_key(|i| std::cmp::Reverse(live[*i]));
        others.truncate(MANY - 1);
        self.engines.extend(&others);
        self.kill_engine(stage, first).await?;
        for engine in others {
            self.kill_engine(stage, engine).await?;
        }
        Ok(())
    }

    /// Kills an engine, then the first on which one of its streams goes on.
    async fn kill_twice(&mut self, stage: &mut Stage) -> Result<(), BenchError> {
        let first = self.draw_engine(stage).await;
        let before = counts(stage, |s| s.streams).await;
        self.kill_engine(stage, first).await?;
        let deadline = Instant::now() + RESUMED;
        while Instant::now() < deadline {
            let after = counts(stage, |s| s.streams).await;
            let is_resuming = |i: &usize| after[*i] > before[*i] && !self.engines.contains(i);
            if let Some(second) = (0..after.len()).find(is_resuming) {
                self.engines.push(second);
                return self.kill_engine(stage, second).await;
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Kills a router, then another of its data centre.
    async fn kill_pair(&mut self, stage: &mut Stage) {
        let witness = self.draw_router(stage);
        let centre = stage.plan.hosts[witness].clone();
        let is_near = |i: &usize| stage.plan.hosts[*i] == centre && !self.routers.contains(i);
        let owner = (0..stage.plan.hosts.len()).find(is_near);
        self.kill_router(stage, witness);
        sleep(WITNESS_FIRST).await;
        if let Some(owner) = owner {
            self.routers.push(owner);
            self.kill_router(stage, owner);
        }
    }

    fn part(&mut self, stage: &mut Stage, crowd: &Crowd) {
        let centre = stage.random.random_range(0..stage.relays.centres());
        let now = Instant::now();
        self.times.push(now);
        stage.relays.part(centre, true);
        let is_inside = |host: usize| stage.relays.centre(&stage.plan.hosts[host]) == centre;
        crowd.hop(is_inside, stage.plan.hosts.len());
        self.repairs.push((now + PARTED, Repair::Centre(centre)));
    }
}

/// The numbers below `count` that were not drawn before.
fn left(count: usize, drawn: &[usize]) -> Vec<usize> {
    (0..count).filter(|i| !drawn.contains(i)).collect()
}

/// Draws one of `left`.
fn draw(stage: &mut Stage, left: &[usize], drawn: &mut Vec<usize>) -> usize {
    let one = left[stage.random.random_range(0..left.len())];
    drawn.push(one);
    one
}

/// A count of each engine; 0 where it gives no answer.
async fn counts(stage: &Stage, count: fn(Stats) -> u64) -> Vec<u64> {
    let calls = (0..stage.fleet.engines.len()).map(|i| stage.fleet.engine_stats(i));
    let answers = join_all(calls).await;
    answers.into_iter().map(|a| a.map_or(0, count)).collect()
}
