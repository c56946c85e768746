//! One request of an open load: asked once, never repeated.

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

/// The longest wait for the head of an answer.
const HEAD: Duration = Duration::from_secs(10);

/// The longest silence in an answer.
const SILENCE: Duration = Duration::from_secs(5);

/// What one request is.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    /// The entry host.
    pub(crate) host: SocketAddr,
    /// The bearer key.
    pub(crate) bearer: String,
    /// The service.
    pub(crate) service: String,
    /// The prompt.
    pub(crate) prompt: String,
    /// The most tokens.
    pub(crate) max_tokens: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole answer came.
    Served,
    /// Refused as not run, with a time to come back.
    Shed,
    /// Anything else.
    Failed,
}

/// What came of a request.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// When it was sent.
    pub(crate) sent: Instant,
    /// When tokens came, and how many.
    pub(crate) arrivals: Vec<(Instant, u64)>,
    /// How it ended.
    pub(crate) end: End,
    /// When it ended.
    pub(crate) ended: Instant,
}

impl Ask {
    /// Sends the request and reads the answer.
    pub(crate) async fn run(&self) -> Seen {
        let sent = Instant::now();
        let mut arrivals = Vec::new();
        let end = self.read(&mut arrivals, |_| ()).await;
        Seen {
            sent,
            arrivals,
            end,
            ended: Instant::now(),
        }
    }

    /// Reads the answer; `note` is told of each number of tokens as it comes.
    pub(crate) async fn read(&self, arrivals: &mut Vec<(Instant, u64)>, note: impl Fn(u64)) -> End {
        let answer = web::client::send(self.host, self.request(), HEAD).await;
        let Ok(response) = answer else {
            return End::Failed;
        };
        if !response.status().is_success() {
            let says_when = response.headers().contains_key(RETRY_AFTER);
            let body = web::client::read_whole(self.host, response).await;
            return refused(says_when, body.err());
        }
        let mut events = SseStream::new(response.into_body());
        let mut text = String::new();
        while let Ok(Some(Ok(event))) = timeout(SILENCE, events.next()).await {
            if event.event.is_some() {
                return End::Failed;
            }
            let data = event.data.as_deref().unwrap_or_default();
            if data == "[DONE]" {
                return self.whole(&text);
            }
            let body: Value = serde_json::from_str(data).unwrap_or_default();
            let piece = body["choices"][0]["text"].as_str().unwrap_or_default();
            let count = piece.split_whitespace().count() as u64;
            if count > 0 {
                arrivals.push((Instant::now(), count));
                note(count);
                text.push_str(piece);
            }
        }
        End::Failed
    }

    /// Whether a text is the whole answer.
    fn whole(&self, text: &str) -> End {
        let (length, _) = sequence::length(&self.prompt, self.max_tokens);
        match sequence::check(&self.prompt, text) {
            Ok(count) if count == length => End::Served,
            _ => End::Failed,
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

/// Whether an error says that the request was not run, and when to come back.
fn refused(says_when: bool, error: Option<CallError>) -> End {
    let Some(CallError::Status { body, .. }) = error else {
        return End::Failed;
    };
    let body: Value = serde_json::from_str(&body).unwrap_or_default();
    if says_when && body["ran"] == "not_run" {
        End::Shed
    } else {
        End::Failed
    }
}
