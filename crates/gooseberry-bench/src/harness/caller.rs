//! A caller that retries its request until it has the complete answer, and the check of that
//! answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use gooseberry_standin::sequence;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde_json::{Value, json};
use sse_stream::{Sse, SseStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

/// Server-sent events of one connection, with an idle timeout.
struct EventStream {
    events: BoxStream<'static, Result<Sse, sse_stream::Error>>,
    /// Milliseconds from `opened` to the last body frame. Keep-alive comments count here although
    /// they yield no event.
    last_read: Arc<AtomicU64>,
    opened: Instant,
}

impl EventStream {
    fn new(body: Incoming) -> Self {
        let last_read = Arc::new(AtomicU64::new(0));
        let opened = Instant::now();
        let recorded = last_read.clone();
        let body = body.map_frame(move |frame| {
            let elapsed = opened.elapsed().as_millis();
            recorded.store(
                u64::try_from(elapsed).unwrap_or(u64::MAX),
                Ordering::Relaxed,
            );
            frame
        });
        Self {
            events: SseStream::new(body).boxed(),
            last_read,
            opened,
        }
    }

    /// The next event; `None` if the connection closes, fails, or receives no bytes for
    /// [`IDLE_TIMEOUT`].
    async fn next(&mut self) -> Option<Sse> {
        loop {
            let last_read = Duration::from_millis(self.last_read.load(Ordering::Relaxed));
            let until = self.opened + last_read + IDLE_TIMEOUT;
            match timeout_at(until, self.events.next()).await {
                Ok(event) => return event?.ok(),
                Err(_)
                    if self.last_read.load(Ordering::Relaxed) == last_read.as_millis() as u64 =>
                {
                    return None;
                }
                Err(_) => {}
            }
        }
    }
}

/// The longest wait for the response head of a stream.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time without any bytes, keep-alives included, after which a caller retries.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a superseded connection is read on after the caller has sent its request again.
const SUPERSEDED_LIMIT: Duration = Duration::from_secs(5);

/// The delay before each retry.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// One caller and its request.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// Idempotency key; every retry uses the same.
    pub(crate) key: String,
    /// API key, sent as the bearer token.
    pub(crate) bearer: String,
    /// Service name, sent as the `model` of the request.
    pub(crate) model: String,
    /// Prompt; it determines the expected length of the answer.
    pub(crate) prompt: String,
    /// `max_tokens` of the request.
    pub(crate) max_tokens: u64,
    /// Caller-side addresses of the entry hosts; each retry goes to the next one.
    pub(crate) hosts: Vec<SocketAddr>,
    /// Index of the host that gets the first attempt, modulo their number.
    pub(crate) first: usize,
    /// Time limit for the complete answer, over all attempts.
    pub(crate) limit: Duration,
}

/// What one caller received, over all attempts.
#[derive(Clone, Debug)]
pub(crate) struct Transcript {
    /// When the first attempt started.
    pub(crate) started: Instant,
    /// Arrival time and token count of each event with tokens.
    pub(crate) arrivals: Vec<(Instant, u64)>,
    /// Text of the answer so far, emptied by each `restart` event.
    pub(crate) text: String,
    /// Whether the answer ended with `[DONE]`, or came as one body.
    pub(crate) is_done: bool,
    /// Number of `restart` events, each of which discards the text.
    pub(crate) restarts: u64,
    /// Number of attempts that did not complete the answer.
    pub(crate) retries: u64,
    /// Attempts that were sent and got no response head, or whose stream ended without `[DONE]`.
    pub(crate) interruptions: u64,
    /// Events whose id is not the offset after the tokens received so far.
    pub(crate) id_gaps: u64,
    /// Superseded connections whose further tokens did not continue the text.
    pub(crate) divergences: u64,
    /// The last error received, as an event or as an error response.
    pub(crate) error: Option<Value>,
}

/// How a caller departs from reading one stream to its end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Behaviour {
    /// When cancelled, the caller sends its request again and reads on the old connection as well.
    pub(crate) duplicate: CancellationToken,
    /// When cancelled, the caller closes its connection and retries at the next host.
    pub(crate) switch_host: CancellationToken,
    /// When cancelled, the caller closes its connection and does not retry.
    pub(crate) abandon: CancellationToken,
    /// Whether the request has `stream: false`, so that the answer is one body.
    pub(crate) is_unary: bool,
}

/// Position in the stream: the last event id, and the offset of the next token.
#[derive(Clone, Debug, Default)]
struct Position {
    id: Option<String>,
    next: u64,
}

impl Caller {
    /// Sends the request and retries until the answer is complete or the time limit is over.
    pub(crate) async fn run(&self) -> Transcript {
        self.run_with(&Behaviour::default()).await
    }

    /// As [`Self::run`], with the given behaviour.
    pub(crate) async fn run_with(&self, behaviour: &Behaviour) -> Transcript {
        let mut transcript = Transcript {
            started: Instant::now(),
            arrivals: Vec::new(),
            text: String::new(),
            is_done: false,
            restarts: 0,
            retries: 0,
            interruptions: 0,
            id_gaps: 0,
            divergences: 0,
            error: None,
        };
        let mut superseded = JoinSet::new();
        tokio::select! {
            // An answer that is incomplete at the time limit is judged as `Verdict::Lost`.
            _ = timeout(
                self.limit,
                self.retry_until_done(&mut transcript, behaviour, &mut superseded),
            ) => {}
            () = behaviour.abandon.cancelled() => {}
        }
        while let Some(continues) = superseded.join_next().await {
            transcript.divergences += u64::from(!continues.unwrap_or(false));
        }
        transcript
    }

    async fn retry_until_done(
        &self,
        transcript: &mut Transcript,
        behaviour: &Behaviour,
        superseded: &mut JoinSet<bool>,
    ) {
        let mut position = Position::default();
        let mut host = self.first;
        loop {
            if behaviour.is_unary {
                self.request_unary(host, transcript).await;
            } else if let Some(open_events) = self
                .request_stream(host, &mut position, transcript, behaviour)
                .await
            {
                let (prompt, text) = (self.prompt.clone(), transcript.text.clone());
                superseded.spawn(read_superseded(open_events, prompt, text));
            }
            if transcript.is_done {
                return;
            }
            transcript.retries += 1;
            host += 1;
            sleep(RETRY_DELAY).await;
        }
    }

    /// Sends the request with `stream: false` to one host.
    async fn request_unary(&self, host: usize, transcript: &mut Transcript) {
        let addr = self.hosts[host % self.hosts.len()];
        let mut body = self.body();
        body["stream"] = Value::Bool(false);
        let request = self.request(addr, &body, &Position::default());
        let Ok(response) = web::client::send(addr, request, self.limit).await else {
            return;
        };
        let read = web::client::read_whole(addr, response).await;
        let Ok(bytes) = read else {
            transcript.error = read.err().map(|e| Value::String(e.to_string()));
            return;
        };
        let answer: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let text = answer["choices"][0]["text"].as_str().unwrap_or_default();
        text.clone_into(&mut transcript.text);
        transcript.is_done = true;
    }

    /// Sends the request to one host, resuming after the last event, and reads the stream. Returns
    /// the connection if the caller is to duplicate its request while this one stays open.
    async fn request_stream(
        &self,
        host: usize,
        position: &mut Position,
        transcript: &mut Transcript,
        behaviour: &Behaviour,
    ) -> Option<EventStream> {
        let addr = self.hosts[host % self.hosts.len()];
        let request = self.request(addr, &self.body(), position);
        let (may_duplicate, may_switch) = (
            !behaviour.duplicate.is_cancelled(),
            !behaviour.switch_host.is_cancelled(),
        );
        let response = match web::client::send(addr, request, HEAD_TIMEOUT).await {
            Ok(response) => response,
            Err(e) => {
                transcript.interruptions += u64::from(!e.is_unsent());
                return None;
            }
        };
        if !response.status().is_success() {
            let body = web::client::read_whole(addr, response).await;
            transcript.error = body.err().map(|e| Value::String(e.to_string()));
            return None;
        }
        let mut events = EventStream::new(response.into_body());
        loop {
            let event = tokio::select! {
                event = events.next() => event,
                () = behaviour.duplicate.cancelled(), if may_duplicate => return Some(events),
                () = behaviour.switch_host.cancelled(), if may_switch => return None,
            };
            let Some(event) = event else {
                transcript.interruptions += 1;
                return None;
            };
            if apply_event(&event, position, transcript) {
                transcript.interruptions += u64::from(!transcript.is_done);
                return None;
            }
        }
    }

    fn body(&self) -> Value {
        json!({
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": true,
        })
    }

    fn request(&self, addr: SocketAddr, body: &Value, position: &Position) -> Request<Full<Bytes>> {
        let mut request = web::client::json_request(addr, Method::POST, "/v1/completions", body);
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

    /// Compares the answer with the expected token sequence and length.
    pub(crate) fn judge(&self, transcript: &Transcript) -> Verdict {
        let (length, _) = sequence::length(&self.prompt, self.max_tokens);
        if !transcript.is_done {
            return Verdict::Lost;
        }
        match sequence::check(&self.prompt, &transcript.text) {
            Ok(count) if count == length && transcript.id_gaps == 0 => Verdict::Exact,
            Ok(count) if count > length => Verdict::Repeated,
            Ok(_) => Verdict::Missing,
            Err(_) => Verdict::Mixed,
        }
    }
}

/// The result of checking an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Every token once, in order and from one generation, with contiguous event ids.
    Exact,
    /// Tokens are missing, or the event ids are not contiguous.
    Missing,
    /// There are more tokens than expected.
    Repeated,
    /// A token is not the successor of the one before it.
    Mixed,
    /// The answer was not complete at the time limit.
    Lost,
}

/// Reads a connection that a newer request of the same caller supersedes; returns whether `text`
/// with its further tokens is still a valid sequence.
async fn read_superseded(mut events: EventStream, prompt: String, mut text: String) -> bool {
    let read = async {
        while let Some(event) = events.next().await {
            let data = event.data.as_deref().unwrap_or_default();
            if event.event.as_deref() == Some("restart") {
                text.clear();
            }
            if let Ok(body) = serde_json::from_str::<Value>(data) {
                text.push_str(body["choices"][0]["text"].as_str().unwrap_or_default());
            }
        }
    };
    // A connection that stays open without sending anything does not make the answer wrong.
    let _ = timeout(SUPERSEDED_LIMIT, read).await;
    sequence::check(&prompt, &text).is_ok()
}

/// Applies one event to the transcript; returns whether it ends the stream.
fn apply_event(event: &Sse, position: &mut Position, transcript: &mut Transcript) -> bool {
    let data = event.data.as_deref().unwrap_or_default();
    match event.event.as_deref() {
        Some("restart") => {
            transcript.restarts += 1;
            transcript.text.clear();
            position.next = 0;
            position.id.clone_from(&event.id);
            return false;
        }
        Some("error") => {
            transcript.error = serde_json::from_str(data).ok();
            return true;
        }
        _ => {}
    }
    if data == "[DONE]" {
        transcript.is_done = true;
        return true;
    }
    let Ok(body) = serde_json::from_str::<Value>(data) else {
        return false;
    };
    let text = body["choices"][0]["text"].as_str().unwrap_or_default();
    let count = text.split_whitespace().count() as u64;
    let reported = event.id.as_deref().and_then(|id| id.split_once(':'));
    let reported = reported.and_then(|(_, offset)| offset.parse::<u64>().ok());
    position.next += count;
    if reported != Some(position.next) {
        transcript.id_gaps += 1;
    }
    position.id.clone_from(&event.id);
    if count > 0 {
        transcript.arrivals.push((Instant::now(), count));
        transcript.text.push_str(text);
    }
    false
}
