//! Faults at random moments while keys are called, some of them on several routers at once.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use gooseberry_standin::faults::Switch;
use hyper::Method;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use strum::{Display, EnumIter, IntoEnumIterator};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::caller::{Ask, Seen};
use crate::harness::BenchError;
use crate::harness::fleet::{CALL_TIMEOUT, Fleet};

/// The time between two callers.
const PACE: Duration = Duration::from_millis(12);

/// The time between the end of one fault and the next of its kind.
const CALM: Duration = Duration::from_millis(400);

/// One key in so many is called on two routers at once.
const TWINS: u32 = 4;

/// How often a caller repeats its call.
const REPEATS: usize = 3;

/// A fault of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
enum ProcessFault {
    RouterKilled,
    RouterPaused,
    ServerKilled,
    ServerPaused,
    ServerDiesAfterRun,
}

/// A fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
enum StoreFault {
    StoreDown,
    StoreSlow,
    AnswersLost,
}

/// The calls, with those of one key that go to two routers next to each other.
pub(crate) fn asks(fleet: &Fleet, keys: usize, seed: u64) -> Vec<Ask> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut asks = Vec::new();
    for i in 0..keys {
        let ask = Ask {
            key: Some(format!("booking-{i}")),
            text: format!("confirm booking {i}"),
            hosts: fleet.hosts.iter().map(|h| h.callers).collect(),
            first: i,
            repeats: REPEATS,
        };
        if random.random_ratio(1, TWINS) {
            asks.push(Ask {
                first: i + 1,
                ..ask.clone()
            });
        }
        asks.push(ask);
    }
    asks
}

/// Runs all callers, one after another at a fixed pace.
pub(crate) async fn call_all(asks: Vec<Ask>) -> Vec<Seen> {
    let one = |(i, ask): (usize, Ask)| async move {
        sleep(PACE * u32::try_from(i).unwrap_or(u32::MAX)).await;
        ask.run().await
    };
    join_all(asks.into_iter().enumerate().map(one)).await
}

/// Brings about faults of processes and of the store at the same time, until all callers have
/// ended; returns how many of each there were.
pub(crate) async fn inject(
    fleet: &mut Fleet,
    seed: u64,
    calling: &JoinHandle<Vec<Seen>>,
) -> Result<Value, BenchError> {
    let platform = fleet.platform_addr;
    let (processes, store) = tokio::join!(
        process_faults(fleet, seed ^ 1, calling),
        store_faults(platform, seed ^ 2, calling)
    );
    let all = processes?.into_iter().chain(store?);
    Ok(all.map(|(name, count)| (name, json!(count))).collect())
}

/// The kinds of faults in a new order each time, and how many of each there were.
struct Turns<F> {
    random: StdRng,
    kinds: Vec<F>,
    rest: Vec<F>,
    counts: Vec<(String, u64)>,
}

impl<F: Copy + ToString> Turns<F> {
    fn new(kinds: Vec<F>, seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            counts: kinds.iter().map(|k| (k.to_string(), 0)).collect(),
            kinds,
            rest: Vec::new(),
        }
    }

    /// The next fault and how long it lasts.
    fn next(&mut self) -> Option<(F, Duration)> {
        if self.rest.is_empty() {
            self.rest.clone_from(&self.kinds);
            self.rest.shuffle(&mut self.random);
        }
        let fault = self.rest.pop()?;
        let name = fault.to_string();
        if let Some((_, count)) = self.counts.iter_mut().find(|(n, _)| *n == name) {
            *count += 1;
        }
        Some((
            fault,
            Duration::from_millis(self.random.random_range(100..1_500)),
        ))
    }
}

async fn process_faults(
    fleet: &mut Fleet,
    seed: u64,
    calling: &JoinHandle<Vec<Seen>>,
) -> Result<Vec<(String, u64)>, BenchError> {
    let mut turns = Turns::new(ProcessFault::iter().collect(), seed);
    while !calling.is_finished() {
        sleep(CALM).await;
        let target = turns.random.random_range(0..fleet.hosts.len());
        if let Some((fault, span)) = turns.next() {
            process_fault(fleet, fault, target, span).await?;
        }
    }
    Ok(turns.counts)
}

/// Brings about one fault of a process and ends it.
async fn process_fault(
    fleet: &mut Fleet,
    fault: ProcessFault,
    target: usize,
    span: Duration,
) -> Result<(), BenchError> {
    match fault {
        ProcessFault::RouterKilled => {
            fleet.hosts[target].router.kill();
            fleet.hosts[target].router.wait().await;
            sleep(span).await;
            fleet.restart_router(target)?;
        }
        ProcessFault::RouterPaused => {
            fleet.hosts[target].router.freeze();
            // Past the deadline of some calls, within that of others.
            sleep(span * 2).await;
            fleet.hosts[target].router.thaw();
        }
        ProcessFault::ServerKilled => {
            fleet.plain[target].process.kill();
            fleet.plain[target].process.wait().await;
            sleep(span).await;
            fleet.restart_plain(target)?;
        }
        ProcessFault::ServerPaused => {
            fleet.plain[target].process.freeze();
            sleep(span * 2).await;
            fleet.plain[target].process.thaw();
        }
        ProcessFault::ServerDiesAfterRun => {
            let die = Switch {
                die_after: Some(1),
                ..Switch::default()
            };
            // A server that was just restarted may not listen yet.
            let _ = fleet.switch(fleet.plain[target].addr, &die).await;
            sleep(span).await;
            fleet.plain[target].process.kill();
            fleet.plain[target].process.wait().await;
            fleet.restart_plain(target)?;
        }
    }
    Ok(())
}

async fn store_faults(
    platform: SocketAddr,
    seed: u64,
    calling: &JoinHandle<Vec<Seen>>,
) -> Result<Vec<(String, u64)>, BenchError> {
    let mut turns = Turns::new(StoreFault::iter().collect(), seed);
    while !calling.is_finished() {
        sleep(CALM).await;
        let slow_ms = turns.random.random_range(100..1_300);
        let lost = turns.random.random_range(1..10);
        let Some((fault, span)) = turns.next() else {
            break;
        };
        let (begin, end) = match fault {
            StoreFault::StoreDown => (outage(true), outage(false)),
            // Around the time limit of a router's call, so that some writes take effect unseen.
            StoreFault::StoreSlow => (delay(slow_ms), delay(0)),
            StoreFault::AnswersLost => (lose(lost), lose(0)),
        };
        switch(platform, &begin).await?;
        sleep(span).await;
        switch(platform, &end).await?;
    }
    Ok(turns.counts)
}

async fn switch(platform: SocketAddr, fault: &Switch) -> Result<(), BenchError> {
    let _: Value =
        web::client::call(platform, Method::POST, "/faults", fault, CALL_TIMEOUT).await?;
    Ok(())
}

fn outage(on: bool) -> Switch {
    Switch {
        outage: Some(on),
        ..Switch::default()
    }
}

fn delay(ms: u64) -> Switch {
    Switch {
        delay_ms: Some(ms),
        ..Switch::default()
    }
}

fn lose(count: u64) -> Switch {
    Switch {
        lose_answers: Some(count),
        ..Switch::default()
    }
}
