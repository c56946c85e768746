//! Injects random process and store faults during calls, some of which go to two routers at once.

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

use super::caller::{Call, CallResult};
use crate::harness::BenchError;
use crate::harness::fleet::{CALL_TIMEOUT, Fleet};

/// Time between the starts of two callers.
const CALL_INTERVAL: Duration = Duration::from_millis(12);

/// Time between the end of one process fault and the next, and likewise for store faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(400);

/// One key in this many, on average, is sent to two routers at once.
const DUPLICATE_ONE_IN: u32 = 4;

/// Maximum number of retries per call.
const MAX_RETRIES: usize = 3;

/// A fault of a router or server process.
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

/// Builds the calls of all keys; two calls that share a key are adjacent and start at different
/// hosts.
pub(crate) fn calls(fleet: &Fleet, keys: usize, seed: u64) -> Vec<Call> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for i in 0..keys {
        let call = Call {
            key: Some(format!("booking-{i}")),
            text: format!("confirm booking {i}"),
            hosts: fleet.hosts.iter().map(|h| h.callers).collect(),
            first_host: i,
            max_retries: MAX_RETRIES,
        };
        if random.random_ratio(1, DUPLICATE_ONE_IN) {
            calls.push(Call {
                first_host: i + 1,
                ..call.clone()
            });
        }
        calls.push(call);
    }
    calls
}

/// Runs all calls concurrently, started at a fixed interval.
pub(crate) async fn call_all(calls: Vec<Call>) -> Vec<CallResult> {
    let one = |(i, call): (usize, Call)| async move {
        sleep(CALL_INTERVAL * u32::try_from(i).unwrap_or(u32::MAX)).await;
        call.run().await
    };
    join_all(calls.into_iter().enumerate().map(one)).await
}

/// Injects process and store faults concurrently until all callers have finished; returns the count
/// of each kind of fault.
pub(crate) async fn inject(
    fleet: &mut Fleet,
    seed: u64,
    callers: &JoinHandle<Vec<CallResult>>,
) -> Result<Value, BenchError> {
    let platform = fleet.platform_addr;
    let (processes, store) = tokio::join!(
        process_faults(fleet, seed ^ 1, callers),
        store_faults(platform, seed ^ 2, callers)
    );
    let all = processes?.into_iter().chain(store?);
    Ok(all.map(|(name, count)| (name, json!(count))).collect())
}

/// Draws faults in shuffled rounds, so that each kind occurs about equally often, and counts them.
struct FaultSchedule<F> {
    random: StdRng,
    kinds: Vec<F>,
    remaining: Vec<F>,
    counts: Vec<(String, u64)>,
}

impl<F: Copy + ToString> FaultSchedule<F> {
    fn new(kinds: Vec<F>, seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            counts: kinds.iter().map(|k| (k.to_string(), 0)).collect(),
            kinds,
            remaining: Vec::new(),
        }
    }

    /// The next fault and its duration.
    fn next(&mut self) -> Option<(F, Duration)> {
        if self.remaining.is_empty() {
            self.remaining.clone_from(&self.kinds);
            self.remaining.shuffle(&mut self.random);
        }
        let fault = self.remaining.pop()?;
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
    callers: &JoinHandle<Vec<CallResult>>,
) -> Result<Vec<(String, u64)>, BenchError> {
    let mut schedule = FaultSchedule::new(ProcessFault::iter().collect(), seed);
    while !callers.is_finished() {
        sleep(FAULT_INTERVAL).await;
        let target = schedule.random.random_range(0..fleet.hosts.len());
        if let Some((fault, duration)) = schedule.next() {
            process_fault(fleet, fault, target, duration).await?;
        }
    }
    Ok(schedule.counts)
}

/// Injects one process fault and ends it after `duration`, or twice that for a pause.
async fn process_fault(
    fleet: &mut Fleet,
    fault: ProcessFault,
    target: usize,
    duration: Duration,
) -> Result<(), BenchError> {
    match fault {
        ProcessFault::RouterKilled => {
            fleet.hosts[target].router.kill();
            fleet.hosts[target].router.wait().await;
            sleep(duration).await;
            fleet.restart_router(target)?;
        }
        ProcessFault::RouterPaused => {
            fleet.hosts[target].router.freeze();
            // Up to 3 s, so that a pause outlasts the deadline of some calls but not of others.
            sleep(duration * 2).await;
            fleet.hosts[target].router.thaw();
        }
        ProcessFault::ServerKilled => {
            fleet.plain[target].process.kill();
            fleet.plain[target].process.wait().await;
            sleep(duration).await;
            fleet.restart_plain(target)?;
        }
        ProcessFault::ServerPaused => {
            fleet.plain[target].process.freeze();
            sleep(duration * 2).await;
            fleet.plain[target].process.thaw();
        }
        ProcessFault::ServerDiesAfterRun => {
            let exit_after_run = Switch {
                die_after: Some(1),
                ..Switch::default()
            };
            // A server that was just restarted may not be listening yet.
            let _ = fleet
                .switch(fleet.plain[target].addr, &exit_after_run)
                .await;
            sleep(duration).await;
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
    callers: &JoinHandle<Vec<CallResult>>,
) -> Result<Vec<(String, u64)>, BenchError> {
    let mut schedule = FaultSchedule::new(StoreFault::iter().collect(), seed);
    while !callers.is_finished() {
        sleep(FAULT_INTERVAL).await;
        let delay_ms = schedule.random.random_range(100..1_300);
        let lost_answers = schedule.random.random_range(1..10);
        let Some((fault, duration)) = schedule.next() else {
            break;
        };
        let (begin, end) = match fault {
            StoreFault::StoreDown => (outage(true), outage(false)),
            // Delays around the time limit of a router's store call, so that some writes are
            // applied after the router has timed out.
            StoreFault::StoreSlow => (delay(delay_ms), delay(0)),
            StoreFault::AnswersLost => (lose_answers(lost_answers), lose_answers(0)),
        };
        switch(platform, &begin).await?;
        sleep(duration).await;
        switch(platform, &end).await?;
    }
    Ok(schedule.counts)
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

fn lose_answers(count: u64) -> Switch {
    Switch {
        lose_answers: Some(count),
        ..Switch::default()
    }
}
