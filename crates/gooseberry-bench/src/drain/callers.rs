//! Callers behind a simulated load balancer that skips hosts that are not ready.

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
use crate::harness::caller::{Caller, Verdict};
use crate::harness::fleet::{CALL_TIMEOUT, Fleet};

/// Interval of the load balancer's readiness checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit of one answer, retries included.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Minimum and maximum of the token limit of a request.
const TOKEN_RANGE: (u64, u64) = (20, 400);

/// Counts of requests and their outcomes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Tally {
    /// Requests, each counted once however often it was retried.
    pub(crate) requests: u64,
    /// Requests with a complete and exact answer.
    pub(crate) exact: u64,
    /// Connections that closed before the end of an answer.
    pub(crate) cut: u64,
    /// Submissions that were refused before execution, and retried.
    pub(crate) refused: u64,
    /// Answers that were restarted from the beginning.
    pub(crate) restarted: u64,
}

impl Tally {
    /// Whether there was at least one request and every answer is complete and exact.
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

/// Caller addresses of the hosts that are ready.
type ReadyHosts = Arc<Mutex<Vec<SocketAddr>>>;

/// Callers that each send one request after the other without pause.
#[derive(Debug)]
pub(crate) struct Callers {
    stop: CancellationToken,
    tasks: JoinSet<Tally>,
    balancer: tokio::task::JoinHandle<()>,
}

impl Callers {
    /// Starts `count` callers and the load balancer.
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

    /// Waits for the requests in flight and returns the totals.
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

/// Keeps the list of ready hosts up to date.
async fn poll_readiness(hosts: Vec<(SocketAddr, SocketAddr)>, ready: ReadyHosts) {
    loop {
        let mut found = Vec::new();
        for (callers, admin) in &hosts {
            let answer: Result<Value, _> =
                web::client::get(*admin, "/v1/ready", CALL_TIMEOUT).await;
            if answer.is_ok() {
                found.push(*callers);
            }
        }
        *ready.lock().unwrap_or_else(|e| e.into_inner()) = found;
        sleep(HEALTH_CHECK_INTERVAL).await;
    }
}

/// Sends one request after the other until `stop` is cancelled.
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
        let ask = Caller {
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
            cut: seen.interruptions,
            refused: seen.retries.saturating_sub(seen.interruptions),
            restarted: seen.restarts,
        });
    }
    tally
}
