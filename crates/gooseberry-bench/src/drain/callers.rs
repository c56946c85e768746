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
use crate::harness::caller::{Caller, Verdict};
use crate::harness::fleet::{CALL_TIMEOUT, Fleet};

/// The time between two looks of the balancer at a host.
const BALANCER: Duration = Duration::from_millis(100);

/// The longest that one answer may take.
const LIMIT: Duration = Duration::from_secs(60);

/// The fewest and the most tokens of an answer.
const TOKENS: (u64, u64) = (20, 400);

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
type Ready = Arc<Mutex<Vec<SocketAddr>>>;

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
        let ready: Ready = Arc::new(Mutex::new(hosts.iter().map(|h| h.0).collect()));
        let balancer = tokio::spawn(balance(hosts, ready.clone()));
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        for i in 0..count {
            let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + i as u64);
            tasks.spawn(call(i, random, ready.clone(), stop.clone()));
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
async fn balance(hosts: Vec<(SocketAddr, SocketAddr)>, ready: Ready) {
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
        sleep(BALANCER).await;
    }
}

/// Asks one thing after the other.
async fn call(caller: usize, mut random: StdRng, ready: Ready, stop: CancellationToken) -> Tally {
    let mut tally = Tally::default();
    while !stop.is_cancelled() {
        let hosts = ready.lock().unwrap_or_else(|e| e.into_inner()).clone();
        if hosts.is_empty() {
            sleep(BALANCER).await;
            continue;
        }
        let ask = Caller {
            key: format!("drain-{caller}-{}", tally.requests),
            bearer: BEARER.to_owned(),
            model: "draft-model".to_owned(),
            prompt: format!("Case {caller}-{}: draft the letter.", tally.requests),
            max_tokens: random.random_range(TOKENS.0..=TOKENS.1),
            first: random.random_range(0..hosts.len()),
            hosts,
            limit: LIMIT,
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
