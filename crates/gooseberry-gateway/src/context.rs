//! State shared by all requests of a host.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use base::prelude::*;
use base::sorted::Sorted;
use membership::TunnelHosts;
use membership::gossip::Gossip;
use relay::{AnswerPool, Budget, GracePeriod, Quarantine, SendHistory, Subject};
use routing::Snapshot;
use timer::Timer;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::feed::Feeds;
use crate::fleet::Servers;
use crate::link::Link;
use crate::metrics::Metrics;
use crate::send::Job;

/// Interval at which a request that waits for a retry checks the budget: half of the minimum time between two
/// digests.
const RETRY_POLL: Millis = Millis(50);

/// Maximum size of the answers to calls that are buffered at once; the smallest hosts have 160 MB.
const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// Time limits set by the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time between SIGTERM and SIGKILL.
    pub grace: Millis,
    /// Time from the moment a server starts to leave after which no request may be sent to it.
    pub leave: Millis,
}

/// State shared by all requests of a host.
#[derive(Debug)]
pub struct Context {
    /// Data centre of this host.
    pub data_centre: DataCentre,
    /// Clock and timers.
    pub timer: Timer,
    /// The current configuration; `None` until one is read.
    pub snapshot: ArcSwapOption<Snapshot>,
    /// State of the backend servers.
    pub servers: Servers,
    /// Recent changes of the store's tables, which this host passes on to others.
    pub feeds: Feeds,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// State of the exchange with the other hosts.
    gossip: Mutex<Gossip>,
    /// Wakes the digest sender to send before its next period.
    pub wake_gossip: Notify,
    /// Wakes the task that tries lost paths to servers again.
    pub paths_lost: Notify,
    /// The hosts that are passed over when a tunnel is opened.
    tunnels: Mutex<TunnelHosts>,
    /// Prompts that end the servers which begin to answer them.
    prompts: Mutex<Quarantine>,
    /// Requests that end the servers which begin to run them.
    requests: Mutex<Quarantine>,
    /// Wakes the task that writes the quarantines to the store.
    pub quarantine_changed: Notify,
    /// Time limits set by the deployment.
    pub limits: Limits,
    /// Retry budget of a service that has had no requests yet.
    initial_budget: Budget,
    budgets: Mutex<Sorted<ServiceName, Budget>>,
    /// Memory for the answers to calls that are being read or written.
    pub answers: AnswerPool,
    /// The latest era of the store.
    store_era: AtomicU64,
    /// When the process began to stop, plus 1; 0 before.
    stopping: AtomicU64,
    /// Cancelled when the process begins to stop.
    stopped: CancellationToken,
}

impl Context {
    /// The context of a process that has just started, without a configuration.
    pub fn new(
        data_centre: DataCentre,
        timer: Timer,
        limits: Limits,
        budget: Budget,
        gossip: Gossip,
    ) -> Self {
        Self {
            data_centre,
            timer,
            snapshot: ArcSwapOption::empty(),
            servers: Servers::default(),
            feeds: Feeds::default(),
            metrics: Metrics::default(),
            gossip: Mutex::new(gossip),
            wake_gossip: Notify::new(),
            paths_lost: Notify::new(),
            tunnels: Mutex::default(),
            prompts: Mutex::new(Quarantine::new(Subject::Prompts)),
            requests: Mutex::new(Quarantine::new(Subject::Requests)),
            quarantine_changed: Notify::new(),
            limits,
            initial_budget: budget,
            budgets: Mutex::default(),
            answers: AnswerPool::new(MAX_BUFFERED_BYTES),
            store_era: AtomicU64::new(0),
            stopping: AtomicU64::new(0),
            stopped: CancellationToken::new(),
        }
    }

    /// Current time.
    pub fn now(&self) -> Millis {
        self.timer.now()
    }

    /// Records a request, which adds a fraction of a retry to the budget of its service.
    pub fn record_request(&self, job: &Job) {
        let now = self.now();
        self.budget(job, |b| b.record_request(now));
    }

    /// Takes one retry from the budget of the request's service; while none is left, waits for at most
    /// [`SendHistory::retry_wait`]. Returns whether a retry was granted.
    pub async fn acquire_retry(&self, job: &Job) -> bool {
        let started = self.now();
        let limit = SendHistory::retry_wait(
            started.since(job.received),
            job.deadline.since(job.received),
        );
        let mut waiting = None;
        loop {
            let now = self.now();
            let waited = now.since(started);
            if self.try_spend(job, now) {
                if waiting.is_some() {
                    self.metrics.count_retry_wait("repeated");
                    tracing::info!(
                        id = %job.call.id, service = %job.plan.service, waited_ms = waited.0,
                        "retry granted after waiting for the retry budget"
                    );
                }
                return true;
            }
            if waited >= limit {
                self.metrics.count_retry_wait("in_vain");
                self.log_denied_retry(job, now, waited);
                return false;
            }
            waiting.get_or_insert_with(|| RetryWait::new(self, job));
            self.wake_gossip.notify_one();
            self.timer.after(RETRY_POLL).await;
        }
    }

    /// Takes one retry from the budget of the request's service; returns whether one was left.
    fn try_spend(&self, job: &Job, now: Millis) -> bool {
        let (is_granted, is_exchange_due) =
            self.budget(job, |b| (b.try_spend(now), b.is_exchange_due(now)));
        if is_exchange_due {
            self.wake_gossip.notify_one();
        }
        is_granted
    }

    fn log_denied_retry(&self, job: &Job, now: Millis, waited: Millis) {
        let (own, others) =
            self.budget(job, |b| ((b.requests(now)[0], b.retries(now)), *b.others()));
        tracing::info!(
            id = %job.call.id, service = %job.plan.service, waited_ms = waited.0, requests = own.0,
            repeats = own.1, hosts = others.reporting, known = others.known, all_requests = others.requests[0] + own.0,
            all_repeats = others.retries + own.1, waiting = others.waiting,
            "retry denied: the retry budget is exhausted"
        );
    }

    /// Locks the retry budgets of all services.
    pub fn budgets(&self) -> MutexGuard<'_, Sorted<ServiceName, Budget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state of the exchange with the other hosts.
    pub fn gossip(&self) -> MutexGuard<'_, Gossip> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state of the hosts that open tunnels.
    pub fn tunnels(&self) -> MutexGuard<'_, TunnelHosts> {
        self.tunnels.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the quarantine of prompts or requests; must not be locked while the exchange is locked.
    pub fn quarantine(&self, subject: Subject) -> MutexGuard<'_, Quarantine> {
        let quarantine = match subject {
            Subject::Prompts => &self.prompts,
            Subject::Requests => &self.requests,
        };
        quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a connection broke or stalled while a request was on it: the host of a tunnel may have failed.
    pub fn record_broken(&self, link: &Link) {
        if let Some(host) = link.tunnel {
            self.tunnels().record_failed(self.now(), host);
        }
    }

    /// Records the era that an answer of the store names; returns `false` if a later one is known.
    pub fn record_store_era(&self, era: u64) -> bool {
        let before = self.store_era.fetch_max(era, Ordering::Relaxed);
        if before < era {
            tracing::info!(era, before, "the store is in a later era");
        }
        before <= era
    }

    /// The latest era of the store.
    pub fn store_era(&self) -> u64 {
        self.store_era.load(Ordering::Relaxed)
    }

    /// Records that the process begins to stop.
    pub fn stop(&self) {
        self.stopping.store(self.now().0 + 1, Ordering::Relaxed);
        self.stopped.cancel();
    }

    /// Waits until the process stops and all requests must have an answer.
    pub async fn until_answers_due(&self) {
        self.stopped.cancelled().await;
        if let Some(period) = self.grace_period() {
            self.timer.at(period.answers_due()).await;
        }
    }

    /// The grace period; `None` before the process begins to stop.
    pub fn grace_period(&self) -> Option<GracePeriod> {
        let at = self.stopping.load(Ordering::Relaxed).checked_sub(1)?;
        Some(GracePeriod::new(Millis(at), self.limits.grace))
    }

    /// Whether a request may be sent to a server now: not while too little of the grace period is left for its time
    /// limit.
    pub fn may_start(&self, deadline: Millis) -> bool {
        let period = self.grace_period();
        period.is_none_or(|p| p.may_start(self.now(), deadline))
    }

    /// Whether the host is ready for requests: not stopping, with a configuration and at least one server.
    pub fn is_ready(&self) -> bool {
        self.grace_period().is_none()
            && self.snapshot.load().is_some()
            && !self.servers.lock().roster.is_empty()
    }

    fn budget<T>(&self, job: &Job, work: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets();
        work(budgets.entry(job.plan.service.clone(), || self.initial_budget.clone()))
    }
}

/// Counts a request in its service's budget while it waits for a retry.
struct RetryWait<'a> {
    ctx: &'a Context,
    job: &'a Job,
}

impl<'a> RetryWait<'a> {
    fn new(ctx: &'a Context, job: &'a Job) -> Self {
        ctx.budget(job, Budget::begin_wait);
        Self { ctx, job }
    }
}

impl Drop for RetryWait<'_> {
    fn drop(&mut self) {
        self.ctx.budget(self.job, Budget::end_wait);
    }
}

/// Counts a request while it is in flight: until its response is complete or its caller disconnects.
#[derive(Debug)]
pub struct InFlight(Arc<Context>);

impl InFlight {
    /// Counts a request that has just arrived.
    pub fn new(ctx: &Arc<Context>) -> Self {
        ctx.metrics.in_flight.inc();
        Self(Arc::clone(ctx))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}
