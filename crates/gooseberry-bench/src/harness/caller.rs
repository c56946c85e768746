//! A caller that keeps repeating its request until it has the whole answer.

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

/// One connection's events, and when its last bytes came.
struct EventStream {
    events: BoxStream<'static, Result<Sse, sse_stream::Error>>,
    /// The milliseconds from the opening to the last bytes; keep-alives make no event.
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

    /// The next event, if one comes before the connection closes or is silent for too long.
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

/// The longest wait for the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The longest silence, keep-alives included, after which a caller comes back.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long the old connection of a caller that repeated its request is still read.
const OLD_LIMIT: Duration = Duration::from_secs(5);

/// The wait before a caller comes back.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What one caller asks for.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
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
pub(crate) struct Transcript {
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
    pub(crate) retries: u64,
    /// Answers that began and did not end in order, and requests that were sent and not answered.
    pub(crate) interruptions: u64,
    /// Event ids that did not continue the one before.
    pub(crate) id_gaps: u64,
    /// Old connections that gave something other than the continuation of what was there.
    pub(crate) divergences: u64,
    /// The last error it was told.
    pub(crate) error: Option<Value>,
}

/// What a caller does besides waiting for its answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Behaviour {
    /// Once cancelled, the caller repeats its request while the old connection is still read.
    pub(crate) duplicate: CancellationToken,
    /// Once cancelled, the caller closes its connection and repeats its request elsewhere.
    pub(crate) switch_host: CancellationToken,
    /// Once cancelled, the caller goes away for good.
    pub(crate) abandon: CancellationToken,
    /// Whether the answer is asked for as one body.
    pub(crate) is_unary: bool,
}

/// The state of an answer's event ids.
#[derive(Clone, Debug, Default)]
struct Position {
    id: Option<String>,
    next: u64,
}

impl Caller {
    /// Asks until the answer is whole or the time is up.
    pub(crate) async fn run(&self) -> Transcript {
        self.run_with(&Behaviour::default()).await
    }

    /// As [`Self::run`], with a manner of its own.
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
        let mut old = JoinSet::new();
        tokio::select! {
            // A caller without its answer at the end is counted as lost by whoever asked.
            _ = timeout(self.limit, self.retry_until_done(&mut transcript, behaviour, &mut old)) => {}
            () = behaviour.abandon.cancelled() => {}
        }
        while let Some(continues) = old.join_next().await {
            transcript.divergences += u64::from(!continues.unwrap_or(false));
        }
        transcript
    }

    async fn retry_until_done(
        &self,
        transcript: &mut Transcript,
        behaviour: &Behaviour,
        old: &mut JoinSet<bool>,
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
                old.spawn(read_old(open_events, prompt, text));
            }
            if transcript.is_done {
                return;
            }
            transcript.retries += 1;
            host += 1;
            sleep(RETRY_DELAY).await;
        }
    }

    /// Asks one host for the answer as one body.
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

    /// Asks one host, from where the answer stands; returns the connection if it is left open.
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

    /// What is wrong with the answer, if anything.
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

/// Reads a connection that its caller no longer waits for; returns whether what it gives continues
/// `text` without a flaw.
async fn read_old(mut events: EventStream, prompt: String, mut text: String) -> bool {
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
    // A connection that stays open without giving anything is no flaw of the answer.
    let _ = timeout(OLD_LIMIT, read).await;
    sequence::check(&prompt, &text).is_ok()
}

/// Takes in one event; returns whether the connection has no more to give.
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
