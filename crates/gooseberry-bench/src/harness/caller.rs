//! A caller that keeps repeating its request until it has the whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use gooseberry_standin::sequence;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::{Value, json};
use sse_stream::{Sse, SseStream};
use tokio::time::{Instant, sleep, timeout};

/// The longest wait for the head of an answer.
const HEAD: Duration = Duration::from_secs(5);

/// The longest silence, keep-alives included, after which a caller comes back.
const SILENCE: Duration = Duration::from_secs(3);

/// The wait before a caller comes back.
const COME_BACK: Duration = Duration::from_millis(100);

/// What one caller asks for.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    /// The idempotency key.
    pub(crate) key: String,
    /// The bearer key.
    pub(crate) bearer: String,
    /// The service.
    pub(crate) model: String,
    /// The prompt.
    pub(crate) prompt: String,
    /// The most tokens.
    pub(crate) max_tokens: u64,
    /// The entry hosts to use, in turn.
    pub(crate) hosts: Vec<SocketAddr>,
    /// The host to begin with.
    pub(crate) first: usize,
    /// The longest time for the whole answer.
    pub(crate) limit: Duration,
}

/// What one caller saw.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// When it first asked.
    pub(crate) started: Instant,
    /// When each event with tokens came, and how many tokens it held.
    pub(crate) arrivals: Vec<(Instant, u64)>,
    /// The text.
    pub(crate) text: String,
    /// Whether the answer ended in order.
    pub(crate) is_done: bool,
    /// How often it was told to drop what it had.
    pub(crate) restarts: u64,
    /// How often it came back.
    pub(crate) repeats: u64,
    /// Event ids that did not continue the one before.
    pub(crate) jumps: u64,
    /// The last error it was told.
    pub(crate) error: Option<Value>,
}

/// The state of an answer's event ids.
#[derive(Clone, Debug, Default)]
struct Position {
    id: Option<String>,
    next: u64,
}

impl Ask {
    /// Asks until the answer is whole or the time is up.
    pub(crate) async fn run(&self) -> Seen {
        let mut seen = Seen {
            started: Instant::now(),
            arrivals: Vec::new(),
            text: String::new(),
            is_done: false,
            restarts: 0,
            repeats: 0,
            jumps: 0,
            error: None,
        };
        // A caller without its answer at the end is counted as lost by whoever asked.
        let _ = timeout(self.limit, self.repeat(&mut seen)).await;
        seen
    }

    async fn repeat(&self, seen: &mut Seen) {
        let mut position = Position::default();
        let mut host = self.first;
        loop {
            self.once(host, &mut position, seen).await;
            if seen.is_done {
                return;
            }
            seen.repeats += 1;
            host += 1;
            sleep(COME_BACK).await;
        }
    }

    /// Asks one host, from where the answer stands.
    async fn once(&self, host: usize, position: &mut Position, seen: &mut Seen) {
        let addr = self.hosts[host % self.hosts.len()];
        let request = self.request(addr, position);
        let Ok(response) = web::client::send(addr, request, HEAD).await else {
            return;
        };
        if !response.status().is_success() {
            let body = web::client::read_whole(addr, response).await;
            seen.error = body.err().map(|e| Value::String(e.to_string()));
            return;
        }
        let mut events = SseStream::new(response.into_body());
        while let Ok(Some(Ok(event))) = timeout(SILENCE, events.next()).await {
            if take(&event, position, seen) {
                return;
            }
        }
    }

    fn request(&self, addr: SocketAddr, position: &Position) -> Request<Full<Bytes>> {
        let body = json!({
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": true,
        });
        let mut request = web::client::json_request(addr, Method::POST, "/v1/completions", &body);
        let headers = request.headers_mut();
        let mut put = |name: &'static str, value: String| {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        };
        put("authorization", format!("Bearer {}", self.bearer));
        put("idempotency-key", self.key.clone());
        if let Some(id) = &position.id {
            put("last-event-id", id.clone());
        }
        request
    }

    /// What is wrong with the answer, if anything.
    pub(crate) fn judge(&self, seen: &Seen) -> Verdict {
        let (length, _) = sequence::length(&self.prompt, self.max_tokens);
        if !seen.is_done {
            return Verdict::Lost;
        }
        match sequence::check(&self.prompt, &seen.text) {
            Ok(count) if count == length && seen.jumps == 0 => Verdict::Exact,
            Ok(count) if count > length => Verdict::Repeated,
            Ok(_) => Verdict::Missing,
            Err(_) => Verdict::Mixed,
        }
    }
}

/// What an answer turned out to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Each token once, in order, of one generation.
    Exact,
    /// Tokens are missing.
    Missing,
    /// There are more tokens than the answer has.
    Repeated,
    /// A token does not follow the one before it.
    Mixed,
    /// The answer never became whole.
    Lost,
}

/// Takes in one event; returns whether the connection has no more to give.
fn take(event: &Sse, position: &mut Position, seen: &mut Seen) -> bool {
    let data = event.data.as_deref().unwrap_or_default();
    match event.event.as_deref() {
        Some("restart") => {
            seen.restarts += 1;
            seen.text.clear();
            position.next = 0;
            position.id.clone_from(&event.id);
            return false;
        }
        Some("error") => {
            seen.error = serde_json::from_str(data).ok();
            return true;
        }
        _ => {}
    }
    if data == "[DONE]" {
        seen.is_done = true;
        return true;
    }
    let Ok(body) = serde_json::from_str::<Value>(data) else {
        return false;
    };
    let text = body["choices"][0]["text"].as_str().unwrap_or_default();
    let count = text.split_whitespace().count() as u64;
    let told = event.id.as_deref().and_then(|id| id.split_once(':'));
    let told = told.and_then(|(_, offset)| offset.parse::<u64>().ok());
    position.next += count;
    if told != Some(position.next) {
        seen.jumps += 1;
    }
    position.id.clone_from(&event.id);
    if count > 0 {
        seen.arrivals.push((Instant::now(), count));
        seen.text.push_str(text);
    }
    false
}
