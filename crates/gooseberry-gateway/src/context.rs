//! What the requests of a host share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use base::prelude::*;
use base::sorted::Sorted;
use membership::gossip::Gossip;
use relay::{Budget, SendHistory};
use routing::Snapshot;
use timer::Timer;
use tokio::sync::Notify;

use crate::feed::Feeds;
use crate::fleet::Servers;
use crate::metrics::Metrics;
use crate::send::Job;

/// How often a request that waits for a repeat looks whether there is one; half of the least time between
/// two digests.
const RETRY_POLL: Millis = Millis(50);

/// The times that the users set.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The time between SIGTERM and SIGKILL.
    pub grace: Millis,
    /// The time after which a leaving server must get no more requests.
    pub leave: Millis,
}

/// What the requests of a host share.
#[derive(Debug)]
pub struct Context {
    /// The data centre of this host.
    pub data_centre: DataCentre,
    /// The clock.
    pub timer: Timer,
    /// The configuration in force, if one was read.
    pub snapshot: ArcSwapOption<Snapshot>,
    /// The backend servers.
    pub servers: Servers,
    /// What this host tells others of the store's tables.
    pub feeds: Feeds,
    /// The metrics.
    pub metrics: Metrics,
    /// What the other hosts tell.
    gossip: Mutex<Gossip>,
    /// Wakes the sender of digests when there is something to tell at once.
    pub wake_gossip: Notify,
    /// The times that the users set.
    pub limits: Limits,
    /// The budget of a service of which nothing was asked yet.
    initial_budget: Budget,
    budgets: Mutex<Sorted<ServiceName, Budget>>,
    /// When the process was told to stop, plus 1; 0 while it was not.
    stopping: AtomicU64,
}

impl Context {
    /// The context of a process that has just started.
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
            limits,
            initial_budget: budget,
            budgets: Mutex::default(),
            stopping: AtomicU64::new(0),
        }
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        self.timer.now()
    }

    /// Notes a request, which earns its service a part of a repeat.
    pub fn record_request(&self, job: &Job) {
        let now = self.now();
        self.budget(job, |b| b.record_request(now));
    }

    /// Takes one repeat out of the budget of the request's service; waits for one if there is none left
    /// and the caller has time. Returns whether there was one.
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
                    self.metrics.repeat_wait("repeated");
                    tracing::info!(
                        id = %job.call.id, service = %job.plan.service, waited_ms = waited.0,
                        "waited for a repeat"
                    );
                }
                return true;
            }
            if waited >= limit {
                self.metrics.repeat_wait("in_vain");
                self.log_denied_retry(job, now, waited);
                return false;
            }
            waiting.get_or_insert_with(|| RetryWait::new(self, job));
            self.wake_gossip.notify_one();
            self.timer.after(RETRY_POLL).await;
        }
    }

    /// Takes one repeat out of the budget of the request's service, if there is one left.
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
            all_repeats = others.retries + own.1, waiting = others.waiting, "no repeat left in the budget"
        );
    }

    /// The retry budgets of all services.
    pub fn budgets(&self) -> MutexGuard<'_, Sorted<ServiceName, Budget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the other hosts tell.
    pub fn gossip(&self) -> MutexGuard<'_, Gossip> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The process was told to stop.
    pub fn stop(&self) {
        self.stopping.store(self.now().0 + 1, Ordering::Relaxed);
    }

    /// When the process was told to stop, if it was.
    pub fn stopped(&self) -> Option<Millis> {
        let at = self.stopping.load(Ordering::Relaxed);
        at.checked_sub(1).map(Millis)
    }

    /// Whether the host takes new connections.
    pub fn is_ready(&self) -> bool {
        self.stopped().is_none()
            && self.snapshot.load().is_some()
            && !self.servers.lock().roster.is_empty()
    }

    fn budget<T>(&self, job: &Job, work: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets();
        work(budgets.entry(job.plan.service.clone(), || self.initial_budget.clone()))
    }
}

/// Counts a request while it waits for a repeat.
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

/// Counts a request while it is in flight: until its answer is whole, or its caller has left.
#[derive(Debug)]
pub struct InFlight(Arc<Context>);

impl InFlight {
    /// Counts a request that has just come.
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
