//! One request of an open-loop load, sent once without retries.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use gooseberry_standin::sequence;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request};
use serde_json::{Value, json};
use sse_stream::SseStream;
use tokio::time::{Instant, timeout};
use web::client::CallError;

/// Time limit for the response headers.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit between two events of an answer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// One streaming completion request.
#[derive(Clone, Debug)]
pub(crate) struct LoadRequest {
    /// Caller address of the entry host.
    pub(crate) host: SocketAddr,
    /// Bearer key of the workspace.
    pub(crate) bearer: String,
    /// Name of the service, sent as the model.
    pub(crate) service: String,
    pub(crate) prompt: String,
    /// Maximum number of tokens of the answer.
    pub(crate) max_tokens: u64,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The complete and exact answer was received.
    Served,
    /// Refused as not executed, with a `Retry-After` header.
    Shed,
    /// Any other outcome: no answer, an incomplete or wrong one, or another error.
    Failed,
}

/// The outcome and timing of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestResult {
    /// When the request was sent.
    pub(crate) sent: Instant,
    /// Arrival time and number of tokens of each event that carried tokens.
    pub(crate) arrivals: Vec<(Instant, u64)>,
    /// How the request ended.
    pub(crate) outcome: Outcome,
    /// When the request ended.
    pub(crate) ended: Instant,
}

impl LoadRequest {
    /// Sends the request and reads the whole answer.
    pub(crate) async fn run(&self) -> RequestResult {
        let sent = Instant::now();
        let mut arrivals = Vec::new();
        let outcome = self.read(&mut arrivals, |_| ()).await;
        RequestResult {
            sent,
            arrivals,
            outcome,
            ended: Instant::now(),
        }
    }

    /// Sends the request and reads the answer, appending to `arrivals`; `on_tokens` is called with
    /// the token count of each event as it arrives.
    pub(crate) async fn read(
        &self,
        arrivals: &mut Vec<(Instant, u64)>,
        on_tokens: impl Fn(u64),
    ) -> Outcome {
        let answer = web::client::send(self.host, self.request(), HEADERS_TIMEOUT).await;
        let Ok(response) = answer else {
            return Outcome::Failed;
        };
        if !response.status().is_success() {
            let has_retry_after = response.headers().contains_key(RETRY_AFTER);
            let body = web::client::read_whole(self.host, response).await;
            return classify_refusal(has_retry_after, body.err());
        }
        let mut events = SseStream::new(response.into_body());
        let mut text = String::new();
        while let Ok(Some(Ok(event))) = timeout(IDLE_TIMEOUT, events.next()).await {
            if event.event.is_some() {
                return Outcome::Failed;
            }
            let data = event.data.as_deref().unwrap_or_default();
            if data == "[DONE]" {
                return self.check_text(&text);
            }
            let body: Value = serde_json::from_str(data).unwrap_or_default();
            let piece = body["choices"][0]["text"].as_str().unwrap_or_default();
            let count = piece.split_whitespace().count() as u64;
            if count > 0 {
                arrivals.push((Instant::now(), count));
                on_tokens(count);
                text.push_str(piece);
            }
        }
        Outcome::Failed
    }

    /// Checks that a text has the expected tokens and length.
    fn check_text(&self, text: &str) -> Outcome {
        let (length, _) = sequence::length(&self.prompt, self.max_tokens);
        match sequence::check(&self.prompt, text) {
            Ok(count) if count == length => Outcome::Served,
            _ => Outcome::Failed,
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let body = json!({
            "model": self.service,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": true,
        });
        let mut request =
            web::client::json_request(self.host, Method::POST, "/v1/completions", &body);
        if let Ok(value) = HeaderValue::from_str(&format!("Bearer {}", self.bearer)) {
            request.headers_mut().insert(AUTHORIZATION, value);
        }
        request
    }
}

/// Classifies an error response: shed if it says `not_run` and has a `Retry-After` header.
fn classify_refusal(has_retry_after: bool, error: Option<CallError>) -> Outcome {
    let Some(CallError::Status { body, .. }) = error else {
        return Outcome::Failed;
    };
    let body: Value = serde_json::from_str(&body).unwrap_or_default();
    if has_retry_after && body["ran"] == "not_run" {
        Outcome::Shed
    } else {
        Outcome::Failed
    }
}
