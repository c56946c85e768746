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
struct Events {
    events: BoxStream<'static, Result<Sse, sse_stream::Error>>,
    /// The milliseconds from the opening to the last bytes; keep-alives make no event.
    heard: Arc<AtomicU64>,
    opened: Instant,
}

impl Events {
    fn new(body: Incoming) -> Self {
        let heard = Arc::new(AtomicU64::new(0));
        let opened = Instant::now();
        let noted = heard.clone();
        let body = body.map_frame(move |frame| {
            let elapsed = opened.elapsed().as_millis();
            noted.store(
                u64::try_from(elapsed).unwrap_or(u64::MAX),
                Ordering::Relaxed,
            );
            frame
        });
        Self {
            events: SseStream::new(body).boxed(),
            heard,
            opened,
        }
    }

    /// The next event, if one comes before the connection closes or is silent for too long.
    async fn next(&mut self) -> Option<Sse> {
        loop {
            let heard = Duration::from_millis(self.heard.load(Ordering::Relaxed));
            let until = self.opened + heard + SILENCE;
            match timeout_at(until, self.events.next()).await {
                Ok(event) => return event?.ok(),
                Err(_) if self.heard.load(Ordering::Relaxed) == heard.as_millis() as u64 => {
                    return None;
                }
                Err(_) => {}
            }
        }
    }
}

/// The longest wait for the head of an answer.
const HEAD: Duration = Duration::from_millis(1_500);

/// The longest silence, keep-alives included, after which a caller comes back.
const SILENCE: Duration = Duration::from_millis(1_500);

/// How long the old connection of a caller that repeated its request is still read.
const OLD: Duration = Duration::from_secs(5);

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
    /// Old connections that gave something other than the continuation of what was there.
    pub(crate) strays: u64,
    /// The last error it was told.
    pub(crate) error: Option<Value>,
}

/// What a caller does besides waiting for its answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Manner {
    /// Once cancelled, the caller repeats its request while the old connection is still read.
    pub(crate) cross: CancellationToken,
    /// Once cancelled, the caller closes its connection and repeats its request elsewhere.
    pub(crate) hop: CancellationToken,
    /// Once cancelled, the caller goes away for good.
    pub(crate) leave: CancellationToken,
    /// Whether the answer is asked for as one body.
    pub(crate) is_whole: bool,
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
        self.run_as(&Manner::default()).await
    }

    /// As [`Self::run`], with a manner of its own.
    pub(crate) async fn run_as(&self, manner: &Manner) -> Seen {
        let mut seen = Seen {
            started: Instant::now(),
            arrivals: Vec::new(),
            text: String::new(),
            is_done: false,
            restarts: 0,
            repeats: 0,
            jumps: 0,
            strays: 0,
            error: None,
        };
        let mut old = JoinSet::new();
        tokio::select! {
            // A caller without its answer at the end is counted as lost by whoever asked.
            _ = timeout(self.limit, self.repeat(&mut seen, manner, &mut old)) => {}
            () = manner.leave.cancelled() => {}
        }
        while let Some(is_sound) = old.join_next().await {
            seen.strays += u64::from(!is_sound.unwrap_or(false));
        }
        seen
    }

    async fn repeat(&self, seen: &mut Seen, manner: &Manner, old: &mut JoinSet<bool>) {
        let mut position = Position::default();
        let mut host = self.first;
        loop {
            if manner.is_whole {
                self.whole(host, seen).await;
            } else if let Some(left) = self.once(host, &mut position, seen, manner).await {
                let (prompt, text) = (self.prompt.clone(), seen.text.clone());
                old.spawn(read_old(left, prompt, text));
            }
            if seen.is_done {
                return;
            }
            seen.repeats += 1;
            host += 1;
            sleep(COME_BACK).await;
        }
    }

    /// Asks one host for the answer as one body.
    async fn whole(&self, host: usize, seen: &mut Seen) {
        let addr = self.hosts[host % self.hosts.len()];
        let mut body = self.body();
        body["stream"] = Value::Bool(false);
        let request = self.request(addr, &body, &Position::default());
        let Ok(response) = web::client::send(addr, request, self.limit).await else {
            return;
        };
        let read = web::client::read_whole(addr, response).await;
        let Ok(bytes) = read else {
            seen.error = read.err().map(|e| Value::String(e.to_string()));
            return;
        };
        let answer: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let text = answer["choices"][0]["text"].as_str().unwrap_or_default();
        text.clone_into(&mut seen.text);
        seen.is_done = true;
    }

    /// Asks one host, from where the answer stands; returns the connection if it is left open.
    async fn once(
        &self,
        host: usize,
        position: &mut Position,
        seen: &mut Seen,
        manner: &Manner,
    ) -> Option<Events> {
        let addr = self.hosts[host % self.hosts.len()];
        let request = self.request(addr, &self.body(), position);
        let (may_cross, may_hop) = (!manner.cross.is_cancelled(), !manner.hop.is_cancelled());
        let response = web::client::send(addr, request, HEAD).await.ok()?;
        if !response.status().is_success() {
            let body = web::client::read_whole(addr, response).await;
            seen.error = body.err().map(|e| Value::String(e.to_string()));
            return None;
        }
        let mut events = Events::new(response.into_body());
        loop {
            let event = tokio::select! {
                event = events.next() => event,
                () = manner.cross.cancelled(), if may_cross => return Some(events),
                () = manner.hop.cancelled(), if may_hop => return None,
            };
            let event = event?;
            if take(&event, position, seen) {
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

/// Reads a connection that its caller no longer waits for; returns whether what it gives continues
/// `text` without a flaw.
async fn read_old(mut events: Events, prompt: String, mut text: String) -> bool {
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
    let _ = timeout(OLD, read).await;
    sequence::check(&prompt, &text).is_ok()
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
