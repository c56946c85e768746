//! A backend server of the deployment's platform: a model engine that answers with event streams,
//! or a plain service.
//!
//! The last segment of a request's path may name a fault for this request, see [`Quirk`].

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base::hash::stable;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use strum::EnumString;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use web::{BodySender, Response, StreamCut, reply};

use crate::faults::Faults;
use crate::service::append_key;
use crate::site::response;

/// The limit on a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The value of the `response-seal` header; the gateway does not accept a success without one.
const SEAL: &str = "3e1b.07.5a2";

/// A prompt part on which an engine fails once it has begun to answer: it ends the connection between the head of
/// the response and the first event.
pub const FATAL_PART: &str = "fa7a1";

/// Pause of [`Quirk::Slow`]; a gateway checks a silent server within it, and does not give it up yet.
const SLOW_PAUSE: Duration = Duration::from_millis(800);

/// The settings of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Its instance id; requests that expect another one are answered with 421.
    pub id: String,
    /// Whether it is a model engine; otherwise a plain service.
    pub engine: bool,
    /// The time that a call takes, or a stream before its first event, in milliseconds.
    pub work_ms: u64,
    /// The time between two events, in milliseconds.
    pub event_ms: u64,
    /// The number of events in a complete stream.
    pub events: u64,
    /// The maximum number of concurrent requests; more are rejected as not executed.
    pub slots: usize,
    /// The time of its start in Unix milliseconds, which an engine reports.
    pub born: u64,
    /// The file to which the id of each request is appended before it runs; `None` for no record.
    pub record: Option<PathBuf>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            id: "i-1".to_owned(),
            engine: false,
            work_ms: 5,
            event_ms: 5,
            events: 30,
            slots: 64,
            born: 1,
            record: None,
        }
    }
}

/// A fault that a request selects by the last segment of its path.
///
/// Engines ignore the faults of plain answers, and plain services those of streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Quirk {
    /// Succeeds without a seal.
    NoSeal,
    /// Sends an unknown content encoding.
    Encoded,
    /// Sends the attempt id of another request.
    Foreign,
    /// Breaks off within the body.
    Cut,
    /// Answers 500 on the first run of the request.
    FailFirst,
    /// Answers 500, as an engine as well.
    Fail,
    /// Rejects the request as not executed, if it is the first such request of the test.
    RejectFirst,
    /// Rejects the request as not executed, always.
    Reject,
    /// Ends the server, for all requests and for good.
    Crash,
    /// Never answers.
    Hang,
    /// Breaks off the stream within an event, on the first run of the request.
    BreakFirst,
    /// Stalls the stream, on the first run of the request.
    SilentFirst,
    /// Sends nothing for some hundred milliseconds in the middle of the stream.
    Slow,
}

/// A request that a backend server has run, as received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Its `attempt-id`; empty if it had none.
    pub id: String,
    /// Its path and query.
    pub path: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A header of all answers of a server: the server's id, the name and the value.
type ServerHeader = (String, &'static str, String);

/// State shared by the backend servers of one test.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    /// The requests that ran, in order of arrival.
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// Ids of the requests whose answer did not complete, and of those rejected by
    /// [`Quirk::RejectFirst`].
    abandoned: Arc<Mutex<Vec<String>>>,
    /// KV caches of running streams that are held by a backup server: its address, and the id of
    /// the request.
    backups: Arc<Mutex<Vec<(SocketAddr, String)>>>,
    /// Headers that backend servers add to all their answers: server id, name and value.
    headers: Arc<Mutex<Vec<ServerHeader>>>,
    /// Ids of the servers that reject all requests as not executed.
    rejecting: Arc<Mutex<Vec<String>>>,
    /// Requests that were rejected: the id of the server of each.
    rejected: Arc<Mutex<Vec<String>>>,
}

impl Shared {
    /// The runs of the request with this id, in order.
    pub fn runs(&self, id: &str) -> Vec<ReceivedRequest> {
        let received = lock(&self.received);
        received.iter().filter(|s| s.id == id).cloned().collect()
    }

    /// Sets a header that a server adds to all its answers; `None` removes it.
    pub fn set_header(&self, server: &str, name: &'static str, value: Option<&str>) {
        let mut headers = lock(&self.headers);
        headers.retain(|(id, n, _)| id != server || *n != name);
        headers.extend(value.map(|v| (server.to_owned(), name, v.to_owned())));
    }

    /// Makes a server reject all requests as not executed.
    pub fn reject_all(&self, server: &str) {
        lock(&self.rejecting).push(server.to_owned());
    }

    /// The number of requests that a server has rejected.
    pub fn rejections_at(&self, server: &str) -> usize {
        let rejected = lock(&self.rejected);
        rejected.iter().filter(|id| *id == server).count()
    }

    fn headers(&self, server: &str) -> Vec<(&'static str, String)> {
        let headers = lock(&self.headers);
        let own = headers.iter().filter(|(id, _, _)| id == server);
        own.map(|(_, name, value)| (*name, value.clone())).collect()
    }

    /// The number of runs at a server.
    pub fn runs_at(&self, server: &str) -> usize {
        let received = lock(&self.received);
        let at = |r: &&ReceivedRequest| header(&r.headers, "expect-instance") == server;
        received.iter().filter(at).count()
    }

    /// The number of runs whose prompt has the part with this id.
    pub fn runs_with_part(&self, part: &str) -> usize {
        let received = lock(&self.received);
        let parts = received
            .iter()
            .map(|r| header(&r.headers, "prompt-prefix").split(','));
        parts
            .filter(|parts| parts.clone().any(|p| p.split(':').next() == Some(part)))
            .count()
    }

    /// The number of runs of requests with this path.
    pub fn runs_of_path(&self, path: &str) -> usize {
        let received = lock(&self.received);
        received.iter().filter(|r| r.path == path).count()
    }

    /// Whether the caller disconnected before the answer was complete.
    pub fn has_left(&self, id: &str) -> bool {
        lock(&self.abandoned).iter().any(|l| l == id)
    }
}

/// The state of a backend server.
struct Worker {
    settings: Settings,
    /// Cancelled when the server ends.
    process: CancellationToken,
    addr: SocketAddr,
    faults: Faults,
    shared: Shared,
    running: Mutex<usize>,
    /// Ids of the prompt parts in the KV cache; nothing is evicted.
    cached: Mutex<Vec<String>>,
}

/// A guard that counts a request as running, and on drop records it as abandoned unless its answer
/// was complete.
struct InFlight {
    worker: Arc<Worker>,
    id: String,
    is_complete: bool,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        *lock(&self.worker.running) -= 1;
        if !self.is_complete {
            lock(&self.worker.shared.abandoned).push(self.id.clone());
        }
    }
}

/// Runs a backend server on `listener` until `stop` is cancelled.
pub async fn run(
    listener: TcpListener,
    settings: Settings,
    shared: Shared,
    stop: CancellationToken,
) {
    let addr = listener.local_addr().unwrap_or(settings.listen);
    let process = stop.child_token();
    let worker = Arc::new(Worker {
        settings,
        process: process.clone(),
        addr,
        faults: Faults::default(),
        shared,
        running: Mutex::default(),
        cached: Mutex::default(),
    });
    let handler = move |request| handle(Arc::clone(&worker), request);
    tokio::select! {
        () = web::server::serve(listener, process.clone(), handler) => {}
        // Refuses connections at once, and not only when all requests have ended.
        () = process.cancelled() => {}
    }
}

async fn handle(worker: Arc<Worker>, request: Request<Incoming>) -> Response {
    let headers = worker.shared.headers(&worker.settings.id);
    let mut response = answer(worker, request).await;
    for (name, value) in headers {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

async fn answer(worker: Arc<Worker>, request: Request<Incoming>) -> Response {
    match request.uri().path() {
        "/faults" => return worker.faults.handle_request(request).await,
        "/report" if worker.settings.engine => return report(&worker),
        "/healthz" => {
            let headers = [("instance-id", worker.settings.id.as_str())];
            return response(StatusCode::OK, &headers, "");
        }
        "/kv-list" if worker.settings.engine => return list_cached(&worker),
        "/kv-move" if worker.settings.engine => return move_kv(&worker, request).await,
        _ => {}
    }
    let expected = header(request.headers(), "expect-instance");
    if !expected.is_empty() && expected != worker.settings.id {
        let headers = [("instance-id", worker.settings.id.as_str())];
        return response(StatusCode::MISDIRECTED_REQUEST, &headers, "");
    }
    run_request(worker, request).await
}

async fn run_request(worker: Arc<Worker>, request: Request<Incoming>) -> Response {
    let (head, body) = request.into_parts();
    let id = header(&head.headers, "attempt-id").to_owned();
    let path = head.uri.path().to_owned();
    let quirk = path.rsplit('/').next().and_then(|q| q.parse().ok());
    let body = match reply::read_bytes(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(e) => return response(StatusCode::BAD_REQUEST, &[], e.to_string()),
    };
    let is_first = worker.shared.runs(&id).is_empty();
    let is_rejected = match quirk {
        Some(Quirk::RejectFirst) => is_first && lock(&worker.shared.abandoned).is_empty(),
        Some(Quirk::Reject) => true,
        _ => false,
    };
    let server = &worker.settings.id;
    let is_rejected = is_rejected || lock(&worker.shared.rejecting).contains(server);
    let source = header(&head.headers, "kv-from");
    let is_full = *lock(&worker.running) >= worker.settings.slots;
    if is_rejected || is_full || !has_backup(&worker, source, &id) {
        lock(&worker.shared.rejected).push(server.clone());
        if quirk == Some(Quirk::RejectFirst) {
            lock(&worker.shared.abandoned).push(id);
        }
        return response(
            StatusCode::SERVICE_UNAVAILABLE,
            &[("not-executed", "1")],
            "",
        );
    }
    if let Some(file) = &worker.settings.record {
        append_key(file, &id);
    }
    let backup = header(&head.headers, "kv-backup").parse();
    if let Ok(backup) = backup {
        lock(&worker.shared.backups).push((backup, id.clone()));
    }
    let from = header(&head.headers, "last-event-id").parse().unwrap_or(0);
    let parts = header(&head.headers, "prompt-prefix").split(',');
    let parts: Vec<String> = parts
        .filter_map(|p| p.split(':').next().map(str::to_owned))
        .collect();
    let is_fatal = parts.iter().any(|p| p == FATAL_PART);
    lock(&worker.cached).extend(parts);
    lock(&worker.shared.received).push(ReceivedRequest {
        id: id.clone(),
        path: head.uri.to_string(),
        headers: head.headers,
        body: body.clone(),
    });
    *lock(&worker.running) += 1;
    let running = InFlight {
        worker: Arc::clone(&worker),
        id,
        is_complete: false,
    };
    let quirk = quirk.filter(|q| is_first || !is_first_only(*q));
    sleep(Duration::from_millis(worker.settings.work_ms)).await;
    worker.faults.inject_delay().await;
    if worker.settings.engine && matches!(quirk, Some(Quirk::Crash | Quirk::Fail)) {
        respond(running, &body, quirk).await
    } else if worker.settings.engine && is_fatal {
        begin_and_fail(&running)
    } else if worker.settings.engine {
        stream(running, &body, from, quirk)
    } else {
        respond(running, &body, quirk).await
    }
}

/// Whether a fault applies only to the first run of a request.
fn is_first_only(quirk: Quirk) -> bool {
    matches!(
        quirk,
        Quirk::FailFirst | Quirk::BreakFirst | Quirk::SilentFirst
    )
}

/// Whether this server is a backup for the request; true if the request refers to no backup.
fn has_backup(worker: &Worker, reference: &str, id: &str) -> bool {
    reference.is_empty()
        || lock(&worker.shared.backups)
            .iter()
            .any(|(backup, of)| *backup == worker.addr && of == id)
}

/// Answers a call to a plain service, fails a request, or ends the server.
async fn respond(mut running: InFlight, body: &Bytes, quirk: Option<Quirk>) -> Response {
    if quirk == Some(Quirk::Hang) {
        std::future::pending::<()>().await;
    }
    if quirk == Some(Quirk::Crash) {
        running.worker.process.cancel();
    }
    let id = running.id.clone();
    let status = match quirk {
        Some(Quirk::FailFirst | Quirk::Fail) => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::OK,
    };
    let mut headers = vec![("attempt-id", id.as_str()), ("server-load", "1,0,4")];
    match quirk {
        Some(Quirk::NoSeal) => {}
        Some(Quirk::Encoded) => {
            headers.extend([("response-seal", SEAL), ("content-encoding", "x")])
        }
        Some(Quirk::Foreign) => {
            headers[0].1 = "another";
            headers.push(("response-seal", SEAL));
        }
        _ => headers.push(("response-seal", SEAL)),
    }
    if matches!(quirk, Some(Quirk::Cut | Quirk::Crash)) {
        let (sender, mut cut) = reply::events();
        for (name, value) in response(status, &headers, "").headers() {
            cut.headers_mut().insert(name.clone(), value.clone());
        }
        tokio::spawn(send_truncated(sender, Bytes::from_static(b"half of")));
        return cut;
    }
    running.is_complete = true;
    response(status, &headers, receipt(body))
}

/// The body of the answer to a call with this body.
pub fn receipt(body: &[u8]) -> String {
    format!("{:x}", stable(body))
}

/// Sends a part of a body and aborts the connection.
async fn send_truncated(mut sender: BodySender, piece: Bytes) {
    if sender.send_data(piece).await.is_ok() {
        // Lets the part be flushed before the connection is aborted.
        sleep(Duration::from_millis(20)).await;
    }
    sender.abort(StreamCut);
}

/// Answers with the head of an event stream and then fails.
fn begin_and_fail(running: &InFlight) -> Response {
    let (sender, response) = open_stream(&running.id);
    tokio::spawn(send_truncated(sender, Bytes::new()));
    response
}

/// The head of an event stream for the request `id`, and the sender of its body.
fn open_stream(id: &str) -> (BodySender, Response) {
    let (sender, mut response) = reply::events();
    let sealed = super::response(
        StatusCode::OK,
        &[("attempt-id", id), ("response-seal", SEAL)],
        "",
    );
    for (name, value) in sealed.headers() {
        response.headers_mut().insert(name.clone(), value.clone());
    }
    (sender, response)
}

/// Answers with an event stream that starts after the event `from`.
fn stream(running: InFlight, body: &Bytes, from: u64, quirk: Option<Quirk>) -> Response {
    let (sender, response) = open_stream(&running.id);
    tokio::spawn(events(running, sender, stable(body), from, quirk));
    response
}

/// Sends the events after `from`, and applies the faults of streams.
async fn events(
    mut running: InFlight,
    mut sender: BodySender,
    body_hash: u64,
    from: u64,
    quirk: Option<Quirk>,
) {
    let worker = Arc::clone(&running.worker);
    let stream = worker.faults.open_stream();
    let middle = from + (worker.settings.events - from.min(worker.settings.events)) / 2;
    for number in from + 1..=worker.settings.events {
        worker.faults.inject_delay().await;
        if worker.faults.is_silent(stream) {
            return std::future::pending().await;
        }
        if number == middle && quirk == Some(Quirk::SilentFirst) {
            // If the caller closes the connection during the stall, the send below fails.
            sleep(Duration::from_secs(600)).await;
        }
        if number == middle && quirk == Some(Quirk::Slow) {
            sleep(SLOW_PAUSE).await;
        }
        let event = event(body_hash, number);
        if number == middle && quirk == Some(Quirk::BreakFirst) {
            return send_truncated(sender, Bytes::from(event[..event.len() / 2].to_owned())).await;
        }
        if sender.send_data(Bytes::from(event)).await.is_err() {
            return;
        }
        sleep(Duration::from_millis(worker.settings.event_ms)).await;
    }
    running.is_complete = true;
}

/// The event with this number in the answer to a request whose body has this hash.
pub fn event(body_hash: u64, number: u64) -> String {
    format!("id: {number}\ndata: {body_hash:x}-{number}\n\n")
}

/// Answers `/report` of an engine: its load.
fn report(worker: &Worker) -> Response {
    let running = *lock(&worker.running);
    let body = json!({
        "stage": "mixed", "busy": false, "seq": 0, "queued": 0, "running": running,
        "kv-used": running * 6_000, "kv-total": 55_000, "handles": 0, "born": worker.settings.born,
    });
    reply::json(StatusCode::OK, &body)
}

/// Answers `/kv-list` of an engine: the prompt parts in its KV cache.
fn list_cached(worker: &Worker) -> Response {
    let cached = lock(&worker.cached);
    let held: Vec<_> = cached
        .iter()
        .map(|id| json!(["", id, 1_000, "m"]))
        .collect();
    let body = json!({"epoch": 1, "next": 1, "held": held});
    reply::json(StatusCode::OK, &body)
}

/// Answers `/kv-move` of an engine: registers the server `to` as the backup of a request.
async fn move_kv(worker: &Worker, request: Request<Incoming>) -> Response {
    let body: serde_json::Value = match reply::read_json(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(e) => return response(StatusCode::BAD_REQUEST, &[], e.to_string()),
    };
    let id = body["id"].as_str().unwrap_or_default().to_owned();
    match body["to"].as_str().unwrap_or_default().parse() {
        Ok(backup) => {
            lock(&worker.shared.backups).push((backup, id));
            reply::json(StatusCode::OK, &json!({"handle": "h-1", "created": 0}))
        }
        Err(_) => response(StatusCode::SERVICE_UNAVAILABLE, &[], ""),
    }
}

/// The value of a header; empty if it is absent or not text.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(|e| e.into_inner())
}
