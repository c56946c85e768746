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

use crate::backends::{Placement, place};
use crate::claims;
use crate::context::Router;
use crate::services::job::Job;
use crate::services::outcome;

/// The longest wait for a connection; it may be tried again, as nothing was sent.
const CONNECT: Duration = Duration::from_millis(500);

/// What the caller is told, with the answer that was just received.
struct Told {
    answer: Answer,
    reply: Option<Reply>,
}

/// What came of one action.
struct Done {
    event: Event,
    /// The server and the connection, after [`Action::SelectServer`].
    ready: Option<(Placement, Connection)>,
    /// A server that could not be reached.
    failed: Option<BackendId>,
    /// The answer of the server, after [`Action::Send`].
    reply: Option<Reply>,
}

impl From<Event> for Done {
    fn from(event: Event) -> Self {
        Self {
            event,
            ready: None,
            failed: None,
            reply: None,
        }
    }
}

/// What one action needs of those before it.
#[derive(Default)]
struct With {
    /// The server and the connection to send on.
    ready: Option<(Placement, Connection)>,
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
    let (tell, told) = oneshot::channel();
    let deadline = job.times.deadline;
    let context = Arc::new(Context {
        owner: router.claims.owner(router.incarnation),
        router: router.clone(),
        job,
    });
    tokio::spawn(drive(context.clone(), tell));
    match told.await {
        Ok(told) => outcome::response(router, told.answer, told.reply, deadline).await,
        Err(_) => outcome::interrupted().response(),
    }
}

/// Feeds the state machine and carries out what it decides.
async fn drive(context: Arc<Context>, tell: oneshot::Sender<Told>) {
    let (router, job) = (&context.router, &context.job);
    let number = router.registry.insert(&job.name);
    let start = router.timer.now();
    let (mut once, first) = Submission::new(context.owner, job.digest, job.origin, job.times);
    let mut tell = Some(tell);
    let mut with = With::default();
    let mut work = Some(Box::pin(perform(context.clone(), first, With::default())));
    while once.phase() != Phase::Over {
        router.registry.update(number, || json!({ "call": once }));
        let done = tokio::select! {
            done = finished(&mut work) => {
                work = None;
                done
            }
            () = router.timer.at(once.due()) => Done::from(Event::TimerFired),
        };
        with.ready = done.ready;
        with.avoid.extend(done.failed);
        with.reply = done.reply.or(with.reply);
        let before = once.phase();
        for action in once.handle(router.timer.now(), done.event) {
            if let Action::Answer(answer) = action {
                note(&context, &answer);
                let reply = with.reply.clone();
                if let Some(tell) = tell.take() {
                    // The caller may have left; its outcome is stored all the same.
                    let _ = tell.send(Told { answer, reply });
                }
                continue;
            }
            let next = With {
                ready: with.ready.take(),
                avoid: with.avoid.clone(),
                reply: with.reply.clone(),
            };
            work = Some(Box::pin(perform(context.clone(), action, next)));
        }
        if before == Phase::Claiming && once.phase() == Phase::Holding {
            let took = router.timer.now().since(start).0;
            // Metrics that cannot be sent are no concern of the caller.
            let _ = router.metrics.time("claims.claim", took);
        }
    }
    router.registry.remove(number);
}

/// Waits for the work under way, or for ever if there is none.
async fn finished<F: Future<Output = Done>>(work: &mut Option<Pin<Box<F>>>) -> Done {
    match work {
        Some(work) => work.await,
        None => std::future::pending().await,
    }
}

/// Logs and counts what a caller is told.
fn note(context: &Context, answer: &Answer) {
    let (router, job) = (&context.router, &context.job);
    let (name, is_loss) = match answer {
        Answer::Fresh => ("fresh", false),
        Answer::Stored(_) => ("stored", false),
        Answer::Reused => ("reused", false),
        Answer::NotRun => ("not_run", true),
        Answer::Unknown(doubt) => (doubt.into(), true),
    };
    // Metrics that cannot be sent are no concern of the caller.
    let _ = router.metrics.count(&format!("calls.{name}"), 1);
    let level = if is_loss {
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
async fn perform(context: Arc<Context>, action: Action, with: With) -> Done {
    let (router, job) = (&context.router, &context.job);
    match action {
        Action::Write(expected, state) => {
            if !outcome::keep_body(router, &state, with.reply.as_ref()).await {
                return Event::Unconfirmed.into();
            }
            let record = Record {
                owner: context.owner,
                digest: job.digest,
                until_ms: job.until_ms(),
                state,
            };
            let row = job.row.clone();
            event(router.claims.put(row, expected, Some(record)).await).into()
        }
        Action::Delete(version) => {
            let row = job.row.clone();
            let expected = Expected::Version(version);
            event(router.claims.put(row, expected, None).await).into()
        }
        Action::Read => event(claims::look(router, &job.row).await).into(),
        Action::SelectServer => pick(router, job, &with.avoid).await,
        Action::Send => send(&context, with.ready).await,
        Action::Answer(_) => Event::TimerFired.into(),
    }
}

/// Chooses a server and connects to it, so that nothing but the call itself follows the check.
async fn pick(router: &Router, job: &Job, avoid: &[BackendId]) -> Done {
    let Ok(mut placed) = place(router, &job.want(avoid)) else {
        return Event::NoServer.into();
    };
    let seen = &placed.backend.view;
    match Connection::open(seen.addr, CONNECT).await {
        Ok(connection) => Done {
            ready: Some((placed, connection)),
            ..Event::ServerReady.into()
        },
        Err(cause) => {
            log::warn!(
                "backend server not reached key={} host={} backend={} cause=\"{cause}\"",
                job.name,
                router.settings.host,
                seen.backend
            );
            let failed = Some(seen.backend.clone());
            placed.failed(router.timer.now());
            Done {
                failed,
                ..Event::NoServer.into()
            }
        }
    }
}

/// Sends the call.
async fn send(context: &Context, ready: Option<(Placement, Connection)>) -> Done {
    let (router, job) = (&context.router, &context.job);
    let Some((mut placed, connection)) = ready else {
        return Event::NotSent.into();
    };
    let limit = job.times.deadline.since(router.timer.now()).duration();
    match connection.call(job.call.clone(), limit).await {
        Ok(reply) => {
            placed.first_token(router.timer.now());
            Done {
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
                placed.backend.view.backend
            );
            Event::NoAnswer.into()
        }
    }
}

/// The event of a verdict.
fn event(verdict: Verdict) -> Event {
    match verdict {
        Verdict::Committed(version) => Event::Committed(version),
        Verdict::Found(held) => Event::Found(held),
        Verdict::Unconfirmed => Event::Unconfirmed,
    }
}
