//! Stored replies of backend servers, and the responses to callers.

use base::hash::stable;
use base::prelude::*;
use calls::record::{Body, Outcome, State};
use calls::submission::{Answer, UnknownReason};
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::{Deserialize, Serialize};
use service::client::Reply;
use web::{Response, reply};

use crate::claims::platform;
use crate::context::Router;
use crate::errors::{CallerError, Kind, Ran};
use crate::services::job::Job;

/// Largest text body stored in a row, in bytes; larger and binary ones go to the object store.
const MAX_ROW_BYTES: usize = 8 * 1024;

/// Delay before a failed read of an object is retried.
const READ_RETRY: Millis = Millis(100);

/// Value of `retry-after`, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// A body in the object store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Object {
    /// A body in UTF-8.
    Text(String),
    /// Any other body.
    Bytes(Vec<u8>),
}

/// Returns the outcome to store in the row of a call.
pub fn outcome(job: &Job, reply: &Reply) -> Outcome {
    let text = std::str::from_utf8(&reply.body).ok();
    let body = match text.filter(|t| t.len() <= MAX_ROW_BYTES) {
        Some(text) => Body::Text(text.to_owned()),
        None => Body::Object(format!(
            "call-{:016x}-{:016x}",
            stable(job.row.as_bytes()),
            job.digest
        )),
    };
    Outcome {
        status: reply.status,
        content: reply.content.clone(),
        body,
    }
}

/// Stores the body that a row is to refer to; returns whether the row may be written.
pub async fn store_body(router: &Router, state: &State, reply: Option<&Reply>) -> bool {
    let State::Done(Outcome {
        body: Body::Object(name),
        ..
    }) = state
    else {
        return true;
    };
    let Some(reply) = reply else { return false };
    let object = match std::str::from_utf8(&reply.body) {
        Ok(text) => Object::Text(text.to_owned()),
        Err(_) => Object::Bytes(reply.body.to_vec()),
    };
    let value = serde_json::to_value(object).unwrap_or_default();
    platform(router).put_object(name, &value).await.is_ok()
}

/// Builds the response to a caller; `reply` is the one that this submission received, if any.
pub async fn response(
    router: &Router,
    answer: Answer,
    reply: Option<Reply>,
    deadline: Millis,
) -> Response {
    let error = match (answer, reply) {
        (Answer::Fresh, Some(reply)) => return reply_response(reply),
        (Answer::Fresh, None) => interrupted(),
        (Answer::Stored(outcome), _) => match read_stored(router, outcome, deadline).await {
            Some(reply) => return reply_response(reply),
            None => outcome_unavailable(),
        },
        (Answer::NotRun, _) => not_sent(),
        (Answer::Reused, _) => reused(),
        (Answer::Unknown(reason), _) => unknown(reason),
    };
    error.response()
}

/// Converts the reply of a backend server to a response.
pub fn reply_response(answer: Reply) -> Response {
    let mut response = Response::new(reply::full(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content = answer.content.and_then(|c| HeaderValue::from_str(&c).ok());
    if let Some(content) = content {
        response.headers_mut().insert(CONTENT_TYPE, content);
    }
    response
}

/// Reads a stored reply; `None` if its body cannot be read before the deadline.
async fn read_stored(router: &Router, outcome: Outcome, deadline: Millis) -> Option<Reply> {
    let body = match outcome.body {
        Body::Text(text) => text.into_bytes(),
        Body::Object(name) => read_object(router, &name, deadline).await?,
    };
    Some(Reply {
        status: outcome.status,
        content: outcome.content,
        body: body.into(),
    })
}

/// Reads a body from the object store, with retries until the deadline.
async fn read_object(router: &Router, name: &str, deadline: Millis) -> Option<Vec<u8>> {
    loop {
        let value = platform(router).object(name).await.ok().flatten();
        match value.map(serde_json::from_value) {
            Some(Ok(Object::Text(text))) => return Some(text.into_bytes()),
            Some(Ok(Object::Bytes(bytes))) => return Some(bytes),
            _ if router.timer.now() >= deadline => return None,
            _ => router.timer.after(READ_RETRY).await,
        }
    }
}

/// Returns the error for a submission whose task ended without an answer.
pub fn interrupted() -> CallerError {
    CallerError {
        kind: Kind::OutcomeUnknown,
        message:
            "the task that ran the call ended without a result; retry the call with the same key"
                .to_owned(),
        ran: Ran::Unknown,
        retry_after: Some(RETRY_AFTER_S),
    }
}

fn not_sent() -> CallerError {
    let message = "the call was not sent in time and will never be sent under this key; \
                   retry it under a new key";
    CallerError::not_run(Kind::NotSent, message).retry_after(RETRY_AFTER_S)
}

fn reused() -> CallerError {
    let message = "the key was already used for a different call; use a new key for this one";
    CallerError::not_run(Kind::KeyReused, message)
}

fn outcome_unavailable() -> CallerError {
    CallerError {
        kind: Kind::OutcomeAway,
        message: "the call ran and its answer is stored, but cannot be read now; \
                  retry the call with the same key"
            .to_owned(),
        ran: Ran::Ran,
        retry_after: Some(RETRY_AFTER_S),
    }
}

fn unknown(reason: UnknownReason) -> CallerError {
    let (kind, message, retry_after) = match reason {
        UnknownReason::Lost => (
            Kind::OutcomeUnknown,
            "the call was sent, but no usable answer was received; \
             check with the service whether it ran",
            None,
        ),
        UnknownReason::Busy => (
            Kind::OutcomeUnknown,
            "another submission with this key has not finished; \
             retry the call with the same key",
            Some(RETRY_AFTER_S),
        ),
        UnknownReason::Store => (
            Kind::StoreAway,
            "this host did not send the call, but cannot read whether another host did; \
             retry the call with the same key",
            Some(RETRY_AFTER_S),
        ),
    };
    CallerError {
        kind,
        message: message.to_owned(),
        ran: Ran::Unknown,
        retry_after,
    }
}
