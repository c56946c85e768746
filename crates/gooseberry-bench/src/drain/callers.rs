//! Callers behind a balancer that leaves out hosts that are not ready.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::demo::BEARER;
use crate::harness::caller::{Ask, Verdict};
use crate::harness::fleet::{CALL, Fleet};

/// The time between two looks of the balancer at a host.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The longest that one answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// The fewest and the most tokens of an answer.
const TOKEN_RANGE: (u64, u64) = (20, 400);

/// What became of all answers.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Tally {
    /// The answers asked for.
    pub(crate) requests: u64,
    /// Those that are whole.
    pub(crate) exact: u64,
    /// Connections that broke before the end of an answer.
    pub(crate) cut: u64,
    /// Requests refused before they ran, and asked again.
    pub(crate) refused: u64,
    /// Answers that began anew.
    pub(crate) restarted: u64,
}

impl Tally {
    /// Whether there were answers and each is whole.
    pub(crate) fn is_exact(&self) -> bool {
        self.requests > 0 && self.requests == self.exact
    }

    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.exact += other.exact;
        self.cut += other.cut;
        self.refused += other.refused;
        self.restarted += other.restarted;
    }
}

/// The hosts that are ready.
type ReadyHosts = Arc<Mutex<Vec<SocketAddr>>>;

/// Callers that ask without pause.
#[derive(Debug)]
pub(crate) struct Callers {
    stop: CancellationToken,
    tasks: JoinSet<Tally>,
    balancer: tokio::task::JoinHandle<()>,
}

impl Callers {
    /// Starts so many callers.
    pub(crate) fn start(fleet: &Fleet, seed: u64, count: usize) -> Self {
        let hosts: Vec<_> = fleet.hosts.iter().map(|h| (h.callers, h.admin)).collect();
        let ready: ReadyHosts = Arc::new(Mutex::new(hosts.iter().map(|h| h.0).collect()));
        let balancer = tokio::spawn(poll_readiness(hosts, ready.clone()));
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        for i in 0..count {
            let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + i as u64);
            tasks.spawn(run_caller(i, random, ready.clone(), stop.clone()));
        }
        Self {
            stop,
            tasks,
            balancer,
        }
    }

    /// Lets the requests in flight end and sums up.
    pub(crate) async fn finish(mut self) -> Tally {
        self.stop.cancel();
        let mut tally = Tally::default();
        while let Some(one) = self.tasks.join_next().await {
            tally.add(&one.unwrap_or_default());
        }
        self.balancer.abort();
        tally
    }
}

/// Keeps the list of ready hosts.
async fn poll_readiness(hosts: Vec<(SocketAddr, SocketAddr)>, ready: ReadyHosts) {
    loop {
        let mut found = Vec::new();
        for (callers, admin) in &hosts {
            let answer: Result<Value, _> = web::client::get(*admin, "/v1/ready", CALL).await;
            if answer.is_ok() {
                found.push(*callers);
            }
        }
        *ready.lock().unwrap_or_else(|e| e.into_inner()) = found;
        sleep(HEALTH_CHECK_INTERVAL).await;
    }
}

/// Asks one thing after the other.
async fn run_caller(
    caller: usize,
    mut random: StdRng,
    ready: ReadyHosts,
    stop: CancellationToken,
) -> Tally {
    let mut tally = Tally::default();
    while !stop.is_cancelled() {
        let hosts = ready.lock().unwrap_or_else(|e| e.into_inner()).clone();
        if hosts.is_empty() {
            sleep(HEALTH_CHECK_INTERVAL).await;
            continue;
        }
        let ask = Ask {
            key: format!("drain-{caller}-{}", tally.requests),
            bearer: BEARER.to_owned(),
            model: "draft-model".to_owned(),
            prompt: format!("Case {caller}-{}: draft the letter.", tally.requests),
            max_tokens: random.random_range(TOKEN_RANGE.0..=TOKEN_RANGE.1),
            first: random.random_range(0..hosts.len()),
            hosts,
            limit: ANSWER_TIMEOUT,
        };
        let seen = ask.run().await;
        tally.add(&Tally {
            requests: 1,
            exact: u64::from(ask.judge(&seen) == Verdict::Exact),
            cut: seen.cuts,
            refused: seen.repeats.saturating_sub(seen.cuts),
            restarted: seen.restarts,
        });
    }
    tally
}
