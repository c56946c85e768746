//! Runs a non-idempotent call: performs the actions of its [`Submission`] state machine.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use cadence::prelude::*;
use calls::batch::Verdict;
use calls::record::{Owner, Record};
use calls::submission::{Action, Answer, Event, Expected, Phase, Submission};
use serde_json::json;
use service::client::{Connection, Reply};
use tokio::sync::oneshot;
use web::Response;

use crate::backends::{Placement, place};
use crate::claims;
use crate::context::Router;
use crate::services::job::Job;
use crate::services::outcome;

/// Time limit for a connection; another server may be tried after it, as nothing was sent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Answer to the caller, with the reply of the server if this submission received one.
struct CallResult {
    answer: Answer,
    reply: Option<Reply>,
}

/// Result of one action.
struct StepResult {
    event: Event,
    /// The selected server and the connection to it, after [`Action::SelectServer`].
    target: Option<(Placement, Connection)>,
    /// The server to which no connection could be made.
    failed: Option<BackendId>,
    /// The reply of the server, after [`Action::Send`].
    reply: Option<Reply>,
}

impl From<Event> for StepResult {
    fn from(event: Event) -> Self {
        Self {
            event,
            target: None,
            failed: None,
            reply: None,
        }
    }
}

/// Results of earlier actions that an action needs.
#[derive(Default)]
struct StepInput {
    /// The selected server and the connection to send on.
    target: Option<(Placement, Connection)>,
    /// Servers to which no connection could be made.
    avoid: Vec<BackendId>,
    /// The reply to store.
    reply: Option<Reply>,
}

/// Data shared by all actions of one submission.
struct Context {
    router: Arc<Router>,
    job: Job,
    owner: Owner,
}

/// Runs one submission, which continues in its own task if the caller disconnects.
pub async fn run(router: &Arc<Router>, job: Job) -> Response {
    let (result_sender, result) = oneshot::channel();
    let deadline = job.times.deadline;
    let context = Arc::new(Context {
        owner: router.claims.owner(router.incarnation),
        router: router.clone(),
        job,
    });
    tokio::spawn(drive(context.clone(), result_sender));
    match result.await {
        Ok(result) => outcome::response(router, result.answer, result.reply, deadline).await,
        Err(_) => outcome::interrupted().response(),
    }
}

/// Feeds events to the state machine and performs its actions until it is over.
async fn drive(context: Arc<Context>, result_sender: oneshot::Sender<CallResult>) {
    let (router, job) = (&context.router, &context.job);
    let number = router.registry.insert(&job.name);
    let start = router.timer.now();
    let (mut submission, first) = Submission::new(context.owner, job.digest, job.origin, job.times);
    let mut result_sender = Some(result_sender);
    let mut input = StepInput::default();
    let mut work = Some(Box::pin(perform(
        context.clone(),
        first,
        StepInput::default(),
    )));
    while submission.phase() != Phase::Over {
        router
            .registry
            .update(number, || json!({ "call": submission }));
        let result = tokio::select! {
            result = finished(&mut work) => {
                work = None;
                result
            }
            () = router.timer.at(submission.due()) => StepResult::from(Event::TimerFired),
        };
        input.target = result.target;
        input.avoid.extend(result.failed);
        input.reply = result.reply.or(input.reply);
        let before = submission.phase();
        for action in submission.handle(router.timer.now(), result.event) {
            if let Action::Answer(answer) = action {
                log_answer(&context, &answer);
                let reply = input.reply.clone();
                if let Some(result_sender) = result_sender.take() {
                    // The caller may have disconnected; the outcome is stored nevertheless.
                    let _ = result_sender.send(CallResult { answer, reply });
                }
                continue;
            }
            let step_input = StepInput {
                target: input.target.take(),
                avoid: input.avoid.clone(),
                reply: input.reply.clone(),
            };
            work = Some(Box::pin(perform(context.clone(), action, step_input)));
        }
        if before == Phase::Claiming && submission.phase() == Phase::Holding {
            let took = router.timer.now().since(start).0;
            // A metric that cannot be sent must not affect the request.
            let _ = router.metrics.time("claims.claim", took);
        }
    }
    router.registry.remove(number);
}

/// Waits for the action in progress, or forever if there is none.
async fn finished<F: Future<Output = StepResult>>(work: &mut Option<Pin<Box<F>>>) -> StepResult {
    match work {
        Some(work) => work.await,
        None => std::future::pending().await,
    }
}

/// Logs and counts the answer to the caller.
fn log_answer(context: &Context, answer: &Answer) {
    let (router, job) = (&context.router, &context.job);
    let (name, is_failure) = match answer {
        Answer::Fresh => ("fresh", false),
        Answer::Stored(_) => ("stored", false),
        Answer::Reused => ("reused", false),
        Answer::NotRun => ("not_run", true),
        Answer::Unknown(reason) => (reason.into(), true),
    };
    // A metric that cannot be sent must not affect the request.
    let _ = router.metrics.count(&format!("calls.{name}"), 1);
    let level = if is_failure {
        log::Level::Warn
    } else {
        log::Level::Debug
    };
    log::log!(
        level,
        "call answered key={} host={} answer={name} owner={}",
        job.name,
        router.settings.host,
        context.owner
    );
}

/// Performs one action.
async fn perform(context: Arc<Context>, action: Action, input: StepInput) -> StepResult {
    let (router, job) = (&context.router, &context.job);
    match action {
        Action::Write(expected, state) => {
            if !outcome::store_body(router, &state, input.reply.as_ref()).await {
                return Event::Unconfirmed.into();
            }
            let record = Record {
                owner: context.owner,
                digest: job.digest,
                until_ms: job.until_ms(),
                state,
            };
            let row = job.row.clone();
            verdict_event(router.claims.put(row, expected, Some(record)).await).into()
        }
        Action::Delete(version) => {
            let row = job.row.clone();
            let expected = Expected::Version(version);
            verdict_event(router.claims.put(row, expected, None).await).into()
        }
        Action::Read => verdict_event(claims::read_row(router, &job.row).await).into(),
        Action::SelectServer => select_server(router, job, &input.avoid).await,
        Action::Send => send(&context, input.target).await,
        Action::Answer(_) => Event::TimerFired.into(),
    }
}

/// Selects a server and connects to it.
///
/// The connection is opened before the final check of the time limit, so that only the call itself
/// remains to be sent after it.
async fn select_server(router: &Router, job: &Job, avoid: &[BackendId]) -> StepResult {
    let Ok(mut placed) = place(router, &job.want(avoid)) else {
        return Event::NoServer.into();
    };
    let view = &placed.backend.view;
    match Connection::open(view.addr, CONNECT_TIMEOUT).await {
        Ok(connection) => StepResult {
            target: Some((placed, connection)),
            ..Event::ServerReady.into()
        },
        Err(cause) => {
            log::warn!(
                "cannot connect to backend server key={} host={} backend={} cause=\"{cause}\"",
                job.name,
                router.settings.host,
                view.backend
            );
            let failed = Some(view.backend.clone());
            placed.failed(router.timer.now());
            StepResult {
                failed,
                ..Event::NoServer.into()
            }
        }
    }
}

/// Sends the call and waits for the reply until the deadline.
async fn send(context: &Context, target: Option<(Placement, Connection)>) -> StepResult {
    let (router, job) = (&context.router, &context.job);
    let Some((mut placed, connection)) = target else {
        return Event::NotSent.into();
    };
    let limit = job.times.deadline.since(router.timer.now()).duration();
    match connection.call(job.call.clone(), limit).await {
        Ok(reply) => {
            placed.first_token(router.timer.now());
            StepResult {
                event: Event::Answered(outcome::outcome(job, &reply)),
                reply: Some(reply),
                ..Event::TimerFired.into()
            }
        }
        Err(cause) => {
            placed.failed(router.timer.now());
            log::warn!(
                "no usable answer to call key={} host={} backend={} cause=\"{cause}\"",
                job.name,
                router.settings.host,
                placed.backend.view.backend
            );
            Event::NoAnswer.into()
        }
    }
}

/// Converts the result of a table access to an event.
fn verdict_event(verdict: Verdict) -> Event {
    match verdict {
        Verdict::Committed(version) => Event::Committed(version),
        Verdict::Found(held) => Event::Found(held),
        Verdict::Unconfirmed => Event::Unconfirmed,
    }
}
