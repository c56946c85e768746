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
const WAIT: Duration = Duration::from_millis(DEADLINE_MS + 1_500);

/// The wait before a caller comes back.
const COME_BACK: Duration = Duration::from_millis(300);

/// One call that may not repeat.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    /// The key; without one the router makes it.
    pub(crate) key: Option<String>,
    /// What the call says; no two keys say the same.
    pub(crate) text: String,
    /// The entry hosts.
    pub(crate) hosts: Vec<SocketAddr>,
    /// The host to begin with.
    pub(crate) first: usize,
    /// How often the call is repeated at most.
    pub(crate) repeats: usize,
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
    Unsure,
    /// It may have run; a repeat will not tell.
    Lost,
    /// No answer at all: the router died, was paused, or takes no connections.
    Silent,
}

/// All that a caller saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seen {
    /// What came of each submission, in order.
    pub(crate) submissions: Vec<Submission>,
}

/// What a caller knows in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// It has its answer.
    Answered,
    /// It knows that the call was not run.
    NotRun,
    /// It was told that this is not known.
    Unknown,
    /// It was told nothing.
    Untold,
}

impl Seen {
    /// What the caller knows in the end.
    pub(crate) fn end(&self) -> End {
        let has = |one: Submission| self.submissions.contains(&one);
        if has(Submission::Answered) {
            End::Answered
        } else if has(Submission::NotRun) {
            End::NotRun
        } else if has(Submission::Unsure) || has(Submission::Lost) {
            End::Unknown
        } else {
            End::Untold
        }
    }
}

impl Ask {
    /// Calls, and repeats the call while that may tell more.
    pub(crate) async fn run(&self) -> Seen {
        let mut seen = Seen::default();
        for i in 0..=self.repeats {
            let host = self.hosts[(self.first + i) % self.hosts.len()];
            let one = timeout(WAIT, self.once(host)).await;
            let one = one.unwrap_or(Submission::Silent);
            seen.submissions.push(one);
            if !matches!(one, Submission::Unsure | Submission::Silent) {
                break;
            }
            sleep(COME_BACK).await;
        }
        seen
    }

    async fn once(&self, host: SocketAddr) -> Submission {
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
        let Ok(response) = client::send(host, request, WAIT).await else {
            return Submission::Silent;
        };
        let helps = response.headers().contains_key(RETRY_AFTER);
        match client::read_whole(host, response).await {
            Ok(bytes) => self.judge(&bytes, &body.to_string()),
            Err(client::CallError::Status { body, .. }) => told(&body, helps),
            Err(_) => Submission::Silent,
        }
    }

    /// Whether an answer is the one to this call.
    fn judge(&self, bytes: &[u8], body: &str) -> Submission {
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
fn told(body: &str, helps: bool) -> Submission {
    let error: Value = serde_json::from_str(body).unwrap_or_default();
    match error["ran"].as_str() {
        Some("not_run") => Submission::NotRun,
        Some("unknown" | "ran") if helps => Submission::Unsure,
        Some("unknown" | "ran") => Submission::Lost,
        _ => Submission::Silent,
    }
}
