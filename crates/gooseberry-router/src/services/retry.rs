//! Runs an idempotent call: sends it to one server after another until one answers.

use std::sync::Mutex;

use base::prelude::*;
use base::sorted::Sorted;
use cadence::prelude::*;
use calls::retry::{Attempt, Attempts, Failure, RetryBudget};
use hyper::StatusCode;
use peer::agent::BackendView;
use profiles::document::Retry;
use service::client::{Connection, Reply};
use web::Response;
use web::client::CallError;

use crate::backends::{NoBackend, place};
use crate::context::Router;
use crate::errors::{CallerError, Kind, Ran};
use crate::services::job::Job;
use crate::services::outcome;

/// Value of `retry-after`, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Retry budget of each service.
#[derive(Debug, Default)]
pub struct Budgets {
    services: Mutex<Sorted<ServiceName, RetryBudget>>,
}

impl Budgets {
    fn with<T>(&self, service: &ServiceName, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut services = self.services.lock().unwrap_or_else(|e| e.into_inner());
        change(services.entry(service.clone(), RetryBudget::default))
    }
}

/// Reason why an attempt failed.
enum AttemptError {
    /// Nothing was sent; names the server, if one was selected.
    NotSent(Option<BackendId>),
    /// The call was sent and may have run.
    Sent(BackendId, Failure),
}

/// Makes attempts until one succeeds, the attempts or the retry budget are used up, or the deadline
/// passes.
pub async fn run(router: &Router, job: &Job, retry: &Retry) -> Response {
    let number = router.registry.insert(&job.name);
    let time_limit = Millis(retry.try_ms.max(1));
    let mut call = Attempts::new(retry.tries, time_limit, job.times.deadline);
    let mut ran = Ran::NotRun;
    let mut response = None;
    router
        .budgets
        .with(&job.service, |budget| budget.earn(retry.percent));
    while let Some(next) = next(router, job, &mut call) {
        match attempt(router, job, &next).await {
            Ok(reply) => {
                response = Some(outcome::reply_response(reply));
                break;
            }
            Err(AttemptError::NotSent(backend)) => {
                call.record_failure(backend.unwrap_or_default(), Failure::Error);
            }
            Err(AttemptError::Sent(backend, failure)) => {
                ran = Ran::Unknown;
                call.record_failure(backend, failure);
            }
        }
        log::warn!(
            "attempt failed key={} host={} tries={}",
            job.name,
            router.settings.host,
            call.count()
        );
        // A metric that cannot be sent must not affect the request.
        let _ = router.metrics.count("calls.try_failed", 1);
    }
    router.registry.remove(number);
    response.unwrap_or_else(|| no_answer(ran).response())
}

/// Returns the next attempt, if one is allowed.
fn next(router: &Router, job: &Job, call: &mut Attempts) -> Option<Attempt> {
    let now = router.timer.now();
    router
        .budgets
        .with(&job.service, |budget| call.next(now, budget))
}

/// Selects a server and makes one attempt.
async fn attempt(router: &Router, job: &Job, next: &Attempt) -> Result<Reply, AttemptError> {
    let mut placed = place(router, &job.want(&next.avoid))
        .map_err(|_: NoBackend| AttemptError::NotSent(None))?;
    let answered = attempt_at(router, job, next, &placed.backend.view).await;
    let now = router.timer.now();
    match answered {
        Ok(_) => placed.first_token(now),
        Err(_) => placed.failed(now),
    }
    answered
}

/// Makes one attempt at the given server.
async fn attempt_at(
    router: &Router,
    job: &Job,
    next: &Attempt,
    view: &BackendView,
) -> Result<Reply, AttemptError> {
    let backend = || view.backend.clone();
    let remaining = || next.deadline.since(router.timer.now()).duration();
    // Each attempt opens its own connection, so an unresponsive one is never reused.
    let connection = Connection::open(view.addr, remaining())
        .await
        .map_err(|_| AttemptError::NotSent(Some(backend())))?;
    match connection.call(job.call.clone(), remaining()).await {
        Ok(reply) if is_unavailable(&reply) => Err(AttemptError::Sent(backend(), Failure::Error)),
        Ok(reply) => Ok(reply),
        Err(CallError::Timeout { .. }) => Err(AttemptError::Sent(backend(), Failure::Timeout)),
        Err(_) => Err(AttemptError::Sent(backend(), Failure::Error)),
    }
}

/// Whether the status is a gateway or availability error, after which another server may succeed.
fn is_unavailable(reply: &Reply) -> bool {
    let statuses = [
        StatusCode::BAD_GATEWAY,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::GATEWAY_TIMEOUT,
    ];
    statuses
        .iter()
        .any(|status| status.as_u16() == reply.status)
}

/// Returns the error for a call that no server answered.
fn no_answer(ran: Ran) -> CallerError {
    CallerError {
        kind: Kind::BadGateway,
        message: "no backend server answered in time; retry the call".to_owned(),
        ran,
        retry_after: Some(RETRY_AFTER_S),
    }
}
