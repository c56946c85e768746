//! A caller of a plain service that repeats its call with its key while that helps.

use std::net::SocketAddr;
use std::time::Duration;

use gooseberry_standin::service::Receipt;
use hyper::Method;
use hyper::header::RETRY_AFTER;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};
use web::client;

use super::{BEARER, DEADLINE_MS, SERVICE};

/// The longest wait of a caller; beyond the deadline it allows for a paused router.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_500);

/// The wait before a caller comes back.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// One call that may not repeat.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The key; without one the router makes it.
    pub(crate) key: Option<String>,
    /// What the call says; no two keys say the same.
    pub(crate) text: String,
    /// The entry hosts.
    pub(crate) hosts: Vec<SocketAddr>,
    /// The host to begin with.
    pub(crate) first_host: usize,
    /// How often the call is repeated at most.
    pub(crate) max_retries: usize,
}

/// What came of one submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Submission {
    /// The whole answer to this call.
    Answered,
    /// An answer to another call.
    Crossed,
    /// It was not run and never will be.
    NotRun,
    /// It may have run; a repeat may tell.
    Unknown,
    /// It may have run; a repeat will not tell.
    Unresolvable,
    /// No answer at all: the router died, was paused, or takes no connections.
    NoAnswer,
}

/// All that a caller saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallResult {
    /// What came of each submission, in order.
    pub(crate) submissions: Vec<Submission>,
}

/// What a caller knows in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It has its answer.
    Answered,
    /// It knows that the call was not run.
    NotRun,
    /// It was told that this is not known.
    Unknown,
    /// It was told nothing.
    NoAnswer,
}

impl CallResult {
    /// What the caller knows in the end.
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
    /// Calls, and repeats the call while that may tell more.
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

    /// Whether an answer is the one to this call.
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

/// What an error says.
fn classify_error(body: &str, can_retry: bool) -> Submission {
    let error: Value = serde_json::from_str(body).unwrap_or_default();
    match error["ran"].as_str() {
        Some("not_run") => Submission::NotRun,
        Some("unknown" | "ran") if can_retry => Submission::Unknown,
        Some("unknown" | "ran") => Submission::Unresolvable,
        _ => Submission::NoAnswer,
    }
}
