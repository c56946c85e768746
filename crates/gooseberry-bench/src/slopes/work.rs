//! Batches of concurrent streams, and the deployment that serves them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use gooseberry_standin::{engine, platform};
use tokio::task::JoinHandle;

use crate::demo;
use crate::harness::fleet::{Fleet, PlainPlan, Plan};
use crate::load::caller::{LoadRequest, Outcome};

/// Concurrent streams and queue length per engine; more than any run opens, so that no stream
/// waits.
const SLOTS: usize = 1_000;

/// Start of each prompt; the numbers of the stream and of the tokens follow.
const PROMPT: &str = "Break the script down into tomorrow's schedule, scene";

/// A deployment with all entry hosts and engines in one data centre.
pub(crate) fn plan(hosts: usize, engines: usize, gap_ms: u64) -> Plan {
    let here = DataCentre::from("vn-south-a");
    let mut document = demo::document();
    document.profiles[0].deadline_ms = 60_000;
    Plan {
        hosts: vec![here.clone(); hosts],
        engines: vec![here; engines],
        service: ServiceName::from("draft-model"),
        plain: PlainPlan::default(),
        engine: engine::Settings {
            gap_ms,
            slots: SLOTS,
            queue: SLOTS,
            ..engine::Settings::default()
        },
        platform: platform::Settings::default(),
        document,
    }
}

/// Streams in flight.
pub(crate) struct Batch {
    tasks: Vec<JoinHandle<Outcome>>,
    tokens: Arc<AtomicU64>,
}

/// The result of a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchResult {
    /// Streams with a complete answer.
    pub(crate) complete: usize,
    /// Tokens received over all streams.
    pub(crate) tokens: u64,
}

impl Batch {
    /// Opens `count` streams of at most `tokens` tokens, distributed round-robin over the hosts.
    pub(crate) fn start(fleet: &Fleet, count: usize, tokens: u64) -> Self {
        let received = Arc::new(AtomicU64::new(0));
        let open = |i: usize| {
            let request = LoadRequest {
                host: fleet.hosts[i % fleet.hosts.len()].callers,
                bearer: demo::BEARER.to_owned(),
                service: "draft-model".to_owned(),
                prompt: format!("{PROMPT} {i} of {tokens}"),
                max_tokens: tokens,
            };
            let received = received.clone();
            tokio::spawn(async move {
                let mut arrivals = Vec::new();
                request
                    .read(&mut arrivals, |count| {
                        received.fetch_add(count, Ordering::Relaxed);
                    })
                    .await
            })
        };
        Self {
            tasks: (0..count).map(open).collect(),
            tokens: received.clone(),
        }
    }

    /// Tokens received so far over all streams.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Waits for all streams to end.
    pub(crate) async fn finish(self) -> BatchResult {
        let mut complete = 0;
        for task in self.tasks {
            complete += usize::from(task.await.is_ok_and(|outcome| outcome == Outcome::Served));
        }
        BatchResult {
            complete,
            tokens: self.tokens.load(Ordering::Relaxed),
        }
    }

    /// Drops the connections of all streams.
    pub(crate) fn abort(self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
