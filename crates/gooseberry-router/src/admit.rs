//! Admission of requests by the controller of the `admission` crate.
//!
//! A request waits until the controller starts or refuses it; its permit releases the capacity when
//! the request ends.

mod bounds;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use admission::{Action, Controller, Reason, Request, RetryBudget};
use base::prelude::*;
use base::sorted::Sorted;
use profiles::document::{Profile, Workspace};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use crate::context::Router;
use crate::errors::{CallerError, Kind};

/// Interval of the ticks that refuse expired requests and start waiting ones.
const TICK_INTERVAL: Millis = Millis(20);

/// Upper bound of the random jitter added to `Retry-After`.
const RETRY_JITTER: Millis = Millis(1_000);

/// Decision on a request: started, or refused with the reason and the time after which to retry.
type Decision = Result<(), (Reason, Millis)>;

/// Admission controller of a router, with the requests that wait for it.
///
/// The lock is held for one decision, once when a request arrives and once when it ends; it is not
/// taken per token.
#[derive(Debug, Default)]
pub struct Admission {
    inner: Mutex<Inner>,
    last: AtomicU64,
}

#[derive(Debug, Default)]
struct Inner {
    controller: Controller,
    waiting: Sorted<u64, oneshot::Sender<Decision>>,
    budgets: Sorted<ProfileName, RetryBudget>,
}

/// A request for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Profile under whose limits the request runs.
    pub profile: &'a Profile,
    /// Workspace to whose share it is accounted.
    pub workspace: &'a Workspace,
    /// Cost in fair queueing: the maximum number of tokens of its output.
    pub cost: u64,
    /// Time by which the caller must have the first output.
    pub deadline: Millis,
    /// Whether it continues work that was admitted before, and so starts without waiting.
    pub is_admitted: bool,
}

/// Capacity held by an admitted request; released on drop.
pub struct Permit {
    router: Arc<Router>,
    profile: ProfileName,
    workspace: WorkspaceName,
    started: Millis,
}

/// Cancels a waiting request on drop, if it was neither started nor refused.
struct WaitGuard<'a> {
    router: &'a Router,
    number: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.router.admission.lock();
        if inner.waiting.remove(&self.number).is_some() {
            inner.controller.cancel(self.number);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.router.timer.now();
        let held = now.since(self.started);
        let mut out = Vec::new();
        let mut inner = self.router.admission.lock();
        inner
            .controller
            .release(now, &self.profile, &self.workspace, held, &mut out);
        inner.answer(out);
    }
}

/// Waits until a request may start.
///
/// # Errors
///
/// `Overloaded` if the request is refused; it was not run, and `Retry-After` is set.
pub async fn admit(
    router: &Arc<Router>,
    request: &AdmissionRequest<'_>,
) -> Result<Permit, CallerError> {
    let number = router.admission.last.fetch_add(1, Ordering::Relaxed);
    let (sender, decision) = oneshot::channel();
    let _guard = WaitGuard { router, number };
    router.admission.enqueue(router, number, request, sender);
    let permit = || Permit {
        router: router.clone(),
        profile: request.profile.name.clone(),
        workspace: request.workspace.name.clone(),
        started: router.timer.now(),
    };
    match decision.await {
        Ok(Ok(())) => Ok(permit()),
        Ok(Err((reason, after))) => Err(overloaded(reason, after)),
        // Not expected: each request is started or refused before its sender is dropped.
        Err(_) => Err(overloaded(Reason::Expired, RETRY_JITTER)),
    }
}

/// Ticks the controller for ever while requests wait, so that none waits beyond its deadline.
pub async fn tick_forever(router: Arc<Router>) {
    let mut ticks = router.timer.every(TICK_INTERVAL);
    loop {
        let now = ticks.next().await;
        if !router.admission.lock().controller.has_waiting() {
            continue;
        }
        let snapshot = router.snapshot();
        let mut out = Vec::new();
        let mut inner = router.admission.lock();
        for profile in &snapshot.document.profiles {
            let bounds = bounds::profile_bounds(&router, &snapshot, profile);
            inner.controller.set_profile(&profile.name, bounds);
        }
        inner.controller.tick(now, &mut out);
        inner.answer(out);
    }
}

impl Admission {
    /// Spends one retry of the budget of a profile; `false` if the budget is exhausted.
    pub fn spend_retry(&self, profile: &ProfileName) -> bool {
        let mut inner = self.lock();
        let budget = inner.budgets.entry(profile.clone(), RetryBudget::default);
        budget.spend()
    }

    /// State of the controller, for state dumps.
    pub fn dump(&self) -> Value {
        let inner = self.lock();
        let classes = inner.controller.profiles();
        json!({ "classes": classes, "waiting": inner.waiting.len() })
    }

    fn enqueue(
        &self,
        router: &Router,
        ticket: u64,
        request: &AdmissionRequest<'_>,
        sender: oneshot::Sender<Decision>,
    ) {
        let snapshot = router.snapshot();
        let profile_bounds = bounds::profile_bounds(router, &snapshot, request.profile);
        let workspace_bounds = bounds::workspace_bounds(router, &snapshot, request.workspace);
        let arrival = Request {
            ticket,
            profile: &request.profile.name,
            workspace: &request.workspace.name,
            cost: request.cost,
            deadline: request.deadline,
            is_admitted: request.is_admitted,
        };
        let mut out = Vec::new();
        let mut inner = self.lock();
        let budget = inner
            .budgets
            .entry(arrival.profile.clone(), RetryBudget::default);
        budget.earn(request.profile.retry.percent);
        inner.waiting.insert(ticket, sender);
        inner
            .controller
            .set_profile(arrival.profile, profile_bounds);
        inner
            .controller
            .set_workspace(arrival.workspace, workspace_bounds);
        inner
            .controller
            .arrive(router.timer.now(), &arrival, &mut out);
        inner.answer(out);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Inner {
    /// Sends the decisions to the waiting requests.
    fn answer(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, decision) = match action {
                Action::Start(ticket) => (ticket, Ok(())),
                Action::Refuse {
                    ticket,
                    reason,
                    after,
                } => (ticket, Err((reason, after))),
            };
            if let Some(sender) = self.waiting.remove(&ticket) {
                // Cannot fail: a request that is dropped while it waits is removed from `waiting`
                // first.
                let _ = sender.send(decision);
            }
        }
    }
}

/// Error for a refused request, which was not run.
fn overloaded(reason: Reason, after: Millis) -> CallerError {
    let jitter = Millis(rand::random_range(0..RETRY_JITTER.0));
    let seconds = (after + jitter).0.div_ceil(1_000);
    let cause = match reason {
        Reason::QueueFull => "the queue of waiting requests is full",
        Reason::TooLate => "the request cannot start within its deadline",
        Reason::Expired => "no capacity became free before the deadline",
    };
    let message = format!("{cause}; retry the request after {seconds} s");
    CallerError::not_run(Kind::Overloaded, message).retry_after(seconds)
}
