//! Carries out the decisions on a call that may not repeat.

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

use crate::backends::{Placed, place};
use crate::claims;
use crate::context::Router;
use crate::services::job::Job;
use crate::services::outcome;

/// The longest wait for a connection; it may be tried again, as nothing was sent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What the caller is told, with the answer that was just received.
struct CallResult {
    answer: Answer,
    reply: Option<Reply>,
}

/// What came of one action.
struct StepResult {
    event: Event,
    /// The server and the connection, after [`Action::SelectServer`].
    target: Option<(Placed, Connection)>,
    /// A server that could not be reached.
    failed: Option<BackendId>,
    /// The answer of the server, after [`Action::Send`].
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

/// What one action needs of those before it.
#[derive(Default)]
struct StepInput {
    /// The server and the connection to send on.
    target: Option<(Placed, Connection)>,
    /// The servers that could not be reached.
    avoid: Vec<BackendId>,
    /// The answer that is to be kept.
    reply: Option<Reply>,
}

/// What all actions of one submission need.
struct Context {
    router: Arc<Router>,
    job: Job,
    owner: Owner,
}

/// Runs one submission; it goes on if its caller leaves.
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

/// Feeds the state machine and carries out what it decides.
async fn drive(context: Arc<Context>, result_sender: oneshot::Sender<CallResult>) {
    let (router, job) = (&context.router, &context.job);
    let number = router.registry.enter(&job.name);
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
            .note(number, || json!({ "call": submission }));
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
                    // The caller may have left; its outcome is stored all the same.
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
            // Metrics that cannot be sent are no concern of the caller.
            let _ = router.metrics.time("claims.claim", took);
        }
    }
    router.registry.leave(number);
}

/// Waits for the work under way, or for ever if there is none.
async fn finished<F: Future<Output = StepResult>>(work: &mut Option<Pin<Box<F>>>) -> StepResult {
    match work {
        Some(work) => work.await,
        None => std::future::pending().await,
    }
}

/// Logs and counts what a caller is told.
fn log_answer(context: &Context, answer: &Answer) {
    let (router, job) = (&context.router, &context.job);
    let (name, is_failure) = match answer {
        Answer::Fresh => ("fresh", false),
        Answer::Stored(_) => ("stored", false),
        Answer::Reused => ("reused", false),
        Answer::NotRun => ("not_run", true),
        Answer::Unknown(reason) => (reason.into(), true),
    };
    // Metrics that cannot be sent are no concern of the caller.
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

/// Carries out one action.
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

/// Chooses a server and connects to it, so that nothing but the call itself follows the check.
async fn select_server(router: &Router, job: &Job, avoid: &[BackendId]) -> StepResult {
    let Ok(mut placed) = place(router, &job.want(avoid)) else {
        return Event::NoServer.into();
    };
    let view = &placed.backend.seen;
    match Connection::open(view.addr, CONNECT_TIMEOUT).await {
        Ok(connection) => StepResult {
            target: Some((placed, connection)),
            ..Event::ServerReady.into()
        },
        Err(cause) => {
            log::warn!(
                "backend server not reached key={} host={} backend={} cause=\"{cause}\"",
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

/// Sends the call.
async fn send(context: &Context, target: Option<(Placed, Connection)>) -> StepResult {
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
                "call lost key={} host={} backend={} cause=\"{cause}\"",
                job.name,
                router.settings.host,
                placed.backend.seen.backend
            );
            Event::NoAnswer.into()
        }
    }
}

/// The event of a verdict.
fn verdict_event(verdict: Verdict) -> Event {
    match verdict {
        Verdict::Committed(version) => Event::Committed(version),
        Verdict::Found(held) => Event::Found(held),
        Verdict::Unconfirmed => Event::Unconfirmed,
    }
}
