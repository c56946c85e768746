//! The metadata store: rows in tables, whole readings, and a feed of changes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use web::{Response, reply};

use crate::faults::Faults;
use crate::site::response;

/// The largest body of a call, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The most rows in one answer.
const MAX_ROWS: usize = 500;

/// The settings of a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Where it listens.
    pub listen: SocketAddr,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }
}

/// The body of `POST /standin/put`: what the operator and the backend servers write.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Put {
    /// The table.
    pub table: String,
    /// The key.
    pub key: String,
    /// The value; without one the row is removed.
    pub value: Option<Value>,
}

/// A row, also after its removal.
#[derive(Clone, Debug)]
struct Row {
    table: String,
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
}

#[derive(Debug, Default)]
struct Rows {
    rows: Vec<Row>,
    revision: u64,
    /// Changes up to this revision are no longer told.
    compacted: u64,
}

/// A store.
#[derive(Debug, Default)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Notify,
    /// The faults in force.
    pub faults: Faults,
}

impl Store {
    /// Writes a row as the operator or a backend server does, or removes it.
    pub fn put(&self, put: &Put) {
        let value = put.value.as_ref().map(|v| v.to_string().into_bytes());
        self.write(&put.table, &put.key, value);
    }

    /// Forgets the history: earlier changes are no longer told.
    pub fn compact(&self) {
        let mut rows = self.lock();
        rows.compacted = rows.revision;
    }

    /// The value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let rows = self.lock();
        let row = rows.rows.iter().find(|r| r.table == table && r.key == key);
        row.and_then(|r| r.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut rows = self.lock();
        rows.revision += 1;
        let revision = rows.revision;
        rows.rows.retain(|r| r.table != table || r.key != key);
        rows.rows.push(Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            revision,
        });
        drop(rows);
        self.changed.notify_waiters();
    }
}

/// Runs a store on `listener` until `stop` is cancelled.
pub async fn run(listener: TcpListener, store: Arc<Store>, stop: CancellationToken) {
    let handler = move |request| handle(Arc::clone(&store), request);
    web::server::serve(listener, stop, handler).await;
}

async fn handle(store: Arc<Store>, request: Request<Incoming>) -> Response {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/faults" => return store.faults.handle_request(request).await,
        "/standin/put" => return put(&store, request).await,
        "/standin/compact" => {
            store.compact();
            return response(StatusCode::OK, &[], "");
        }
        _ => {}
    }
    store.faults.inject_delay().await;
    if store.faults.state().outage {
        return response(StatusCode::SERVICE_UNAVAILABLE, &[], "");
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/rows-get") => read(&store, &request),
        (&Method::GET, "/rows-feed") => feed(&store, &request).await,
        (&Method::POST, "/rows-tx") => transact(&store, request).await,
        _ => response(StatusCode::NOT_FOUND, &[], ""),
    }
}

async fn put(store: &Store, request: Request<Incoming>) -> Response {
    match reply::read_json::<Put>(request, MAX_BODY_BYTES).await {
        Ok(body) => {
            store.put(&body);
            response(StatusCode::OK, &[], "")
        }
        Err(e) => response(StatusCode::BAD_REQUEST, &[], e.to_string()),
    }
}

/// The value of a query parameter.
fn parameter<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    let mut fields = query.split('&').filter_map(|f| f.split_once('='));
    fields.find(|(n, _)| *n == name).map(|(_, v)| v)
}

fn number(request: &Request<Incoming>, name: &str) -> u64 {
    parameter(request, name)
        .and_then(|v| v.parse().ok())
        .unwrap_or(0)
}

fn read(store: &Store, request: &Request<Incoming>) -> Response {
    let table = parameter(request, "table").unwrap_or_default();
    let from = parameter(request, "from").unwrap_or_default();
    // The system asks for the keys behind one by adding a zero byte to it.
    let after = from.strip_suffix("%00");
    let rows = store.lock();
    let mut found: Vec<&Row> = rows
        .rows
        .iter()
        .filter(|r| r.table == table && r.value.is_some())
        .filter(|r| after.is_none_or(|a| r.key.as_str() > a))
        .collect();
    found.sort_by(|a, b| a.key.cmp(&b.key));
    let is_partial = found.len() > MAX_ROWS;
    found.truncate(MAX_ROWS);
    answer(&found, rows.revision, is_partial)
}

async fn feed(store: &Store, request: &Request<Incoming>) -> Response {
    let table = parameter(request, "table").unwrap_or_default();
    let since = number(request, "since-rev");
    let wait = Duration::from_millis(number(request, "wait-ms"));
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let changed = store.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if let Some(answer) = changes(store, table, since) {
            return answer;
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return answer(&[], store.lock().revision, false);
        }
    }
}

/// The changes behind `since`, if there are any or they were forgotten.
fn changes(store: &Store, table: &str, since: u64) -> Option<Response> {
    let rows = store.lock();
    if since < rows.compacted {
        return Some(response(StatusCode::GONE, &[], ""));
    }
    let mut found: Vec<&Row> = rows
        .rows
        .iter()
        .filter(|r| r.table == table && r.revision > since)
        .collect();
    found.sort_by_key(|r| r.revision);
    (!found.is_empty()).then(|| answer(&found, rows.revision, false))
}

async fn transact(store: &Store, request: Request<Incoming>) -> Response {
    let body: Value = match reply::read_json(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(e) => return response(StatusCode::BAD_REQUEST, &[], e.to_string()),
    };
    let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    for put in entries("puts") {
        let value = put["value"].as_str().unwrap_or_default();
        let value = STANDARD.decode(value).unwrap_or_default();
        write(store, &put, Some(value));
    }
    for row in entries("delete") {
        write(store, &row, None);
    }
    let revision = store.lock().revision;
    reply::json(StatusCode::OK, &json!({"ver": revision, "now-ms": 0}))
}

fn write(store: &Store, row: &Value, value: Option<Vec<u8>>) {
    let text = |name: &str| row[name].as_str().unwrap_or_default();
    store.write(text("table"), text("key"), value);
}

fn answer(rows: &[&Row], revision: u64, is_partial: bool) -> Response {
    let rows: Vec<Value> = rows
        .iter()
        .map(|r| {
            let value = r.value.as_ref().map(|v| STANDARD.encode(v));
            json!({
                "table": r.table, "part": "", "key": r.key, "ver": r.revision,
                "value": value.unwrap_or_default(), "deleted": r.value.is_none(),
            })
        })
        .collect();
    let body = json!({"rows": rows, "truncated": is_partial, "ver": revision, "now-ms": 0});
    reply::json(StatusCode::OK, &body)
}
