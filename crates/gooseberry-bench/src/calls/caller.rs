//! A caller of a plain service that retries with the same idempotency key until the outcome is
//! known.

use std::net::SocketAddr;
use std::time::Duration;

use gooseberry_standin::service::Receipt;
use hyper::Method;
use hyper::header::RETRY_AFTER;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};
use web::client;

use super::{BEARER, DEADLINE_MS, SERVICE};

/// Time limit of one submission; 1.5 s above the deadline to allow for a paused router.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_500);

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// One call to a non-idempotent service.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Idempotency key; if `None`, the router generates one.
    pub(crate) key: Option<String>,
    /// Text of the request body; unique per key, so that answers can be matched to calls.
    pub(crate) text: String,
    /// Caller addresses of the entry hosts, used in turn.
    pub(crate) hosts: Vec<SocketAddr>,
    /// Index in `hosts` of the first submission, modulo the number of hosts.
    pub(crate) first_host: usize,
    /// Maximum number of retries after the first submission.
    pub(crate) max_retries: usize,
}

/// The outcome of one submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Submission {
    /// The complete answer to this call.
    Answered,
    /// An answer that belongs to another call.
    Crossed,
    /// The router reports that the call was not executed and never will be.
    NotRun,
    /// The call may have been executed; a retry may return the outcome.
    Unknown,
    /// The call may have been executed, and a retry will not return the outcome.
    Unresolvable,
    /// No usable answer: the router failed, is paused, or refuses connections.
    NoAnswer,
}

/// The submissions of one call.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallResult {
    /// Outcome of each submission, in order.
    pub(crate) submissions: Vec<Submission>,
}

/// The final outcome of a call, as known to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The answer was received.
    Answered,
    /// The call was reported as not executed.
    NotRun,
    /// Whether the call was executed is reported as unknown.
    Unknown,
    /// No submission got a usable answer.
    NoAnswer,
}

impl CallResult {
    /// The most definite outcome among the submissions.
    pub(crate) fn outcome(&self) -> Outcome {
        let has = |submission: Submission| self.submissions.contains(&submission);
        if has(Submission::Answered) {
            Outcome::Answered
        } else if has(Submission::NotRun) {
            Outcome::NotRun
        } else if has(Submission::Unknown) || has(Submission::Unresolvable) {
            Outcome::Unknown
        } else {
            Outcome::NoAnswer
        }
    }
}

impl Call {
    /// Submits the call, and retries while a retry may still return the outcome.
    pub(crate) async fn run(&self) -> CallResult {
        let mut result = CallResult::default();
        for i in 0..=self.max_retries {
            let host = self.hosts[(self.first_host + i) % self.hosts.len()];
            let submission = timeout(RESPONSE_TIMEOUT, self.send_once(host)).await;
            let submission = submission.unwrap_or(Submission::NoAnswer);
            result.submissions.push(submission);
            if !matches!(submission, Submission::Unknown | Submission::NoAnswer) {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        result
    }

    async fn send_once(&self, host: SocketAddr) -> Submission {
        let path = format!("/v1/services/{SERVICE}/confirm");
        let body = json!({ "text": self.text });
        let mut request = client::json_request(host, Method::POST, &path, &body);
        let headers = request.headers_mut();
        let mut put = |name: &'static str, value: String| {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        };
        put("authorization", format!("Bearer {BEARER}"));
        if let Some(key) = &self.key {
            put("idempotency-key", key.clone());
        }
        let Ok(response) = client::send(host, request, RESPONSE_TIMEOUT).await else {
            return Submission::NoAnswer;
        };
        let can_retry = response.headers().contains_key(RETRY_AFTER);
        match client::read_whole(host, response).await {
            Ok(bytes) => self.check_answer(&bytes, &body.to_string()),
            Err(client::CallError::Status { body, .. }) => classify_error(&body, can_retry),
            Err(_) => Submission::NoAnswer,
        }
    }

    /// Checks by key and body that a success is the answer to this call.
    fn check_answer(&self, bytes: &[u8], body: &str) -> Submission {
        let Ok(receipt) = serde_json::from_slice::<Receipt>(bytes) else {
            return Submission::Crossed;
        };
        let is_key = self.key.as_ref().is_none_or(|k| *k == receipt.key);
        if is_key && receipt.body == body {
            Submission::Answered
        } else {
            Submission::Crossed
        }
    }
}

/// Classifies an error body; `can_retry` is set if the response had a `Retry-After` header.
fn classify_error(body: &str, can_retry: bool) -> Submission {
    let error: Value = serde_json::from_str(body).unwrap_or_default();
    match error["ran"].as_str() {
        Some("not_run") => Submission::NotRun,
        Some("unknown" | "ran") if can_retry => Submission::Unknown,
        Some("unknown" | "ran") => Submission::Unresolvable,
        _ => Submission::NoAnswer,
    }
}
