//! Admission of requests: asks the gate, waits for its answer and frees the place at the end.

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

/// The time between looks at what waits.
const TICK_INTERVAL: Millis = Millis(20);

/// The greatest random addition to the time after which a caller is to come back.
const RETRY_JITTER: Millis = Millis(1_000);

/// What the gate decided.
type Decision = Result<(), (Reason, Millis)>;

/// The gate of a router and the requests that wait at it.
///
/// The lock is held for one decision, once when a request arrives and once when it ends; nothing
/// on the path of a token takes it.
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

/// A request that asks to be run.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The profile.
    pub profile: &'a Profile,
    /// The workspace.
    pub workspace: &'a Workspace,
    /// The work that it asks for, as the most tokens of its output.
    pub cost: u64,
    /// When its first output must be there.
    pub deadline: Millis,
    /// Whether it goes on with work that was admitted before and must not wait.
    pub is_admitted: bool,
}

/// A place in the gate; dropping it frees the place.
pub struct Permit {
    router: Arc<Router>,
    profile: ProfileName,
    workspace: WorkspaceName,
    started: Millis,
}

/// A request at the gate; dropped without an answer, it is forgotten.
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

/// Waits until a request may run.
///
/// # Errors
///
/// `Overloaded` if it was not run and will not be; it says when to come back.
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
        // The gate answers each request before it forgets it.
        Err(_) => Err(overloaded(Reason::Expired, RETRY_JITTER)),
    }
}

/// Looks for ever at what waits, so that nothing waits beyond its deadline.
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
    /// Takes one retry out of the budget of a profile, if there is one.
    pub fn spend_retry(&self, profile: &ProfileName) -> bool {
        let mut inner = self.lock();
        let budget = inner.budgets.entry(profile.clone(), RetryBudget::default);
        budget.spend()
    }

    /// The gate, for a state dump.
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
    /// Tells those who wait what was decided.
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
                // A request waits until it is answered, or its ticket takes it out of the gate.
                let _ = sender.send(decision);
            }
        }
    }
}

/// The answer to a request that was not run.
fn overloaded(reason: Reason, after: Millis) -> CallerError {
    let jitter = Millis(rand::random_range(0..RETRY_JITTER.0));
    let seconds = (after + jitter).0.div_ceil(1_000);
    let cause = match reason {
        Reason::QueueFull => "too many requests wait",
        Reason::TooLate => "no start within the deadline can be had",
        Reason::Expired => "no place was free before the deadline",
    };
    let message = format!("{cause}; repeat the request after {seconds} s");
    CallerError::not_run(Kind::Overloaded, message).retry_after(seconds)
}
