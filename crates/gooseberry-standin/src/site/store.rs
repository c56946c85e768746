//! The metadata store: rows in tables, paged reads, transactions and a long-polled feed of changes.

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
use crate::site::documents::SERVERS;
use crate::site::response;

/// The limit on a request body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The maximum number of rows in one page of a read.
const MAX_ROWS: usize = 500;

/// The settings of a store stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Further addresses to listen on, each for one host.
    pub views: Vec<View>,
}

/// An address of the store at which backend servers are listed with other ports, so that a host has paths to
/// them that no other one uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct View {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The number that is added to the port of each backend server.
    pub port_shift: u16,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            views: Vec::new(),
        }
    }
}

/// The body of `POST /standin/put`, by which tests write as the operator or a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Put {
    /// The table of the row.
    pub table: String,
    /// The key of the row.
    pub key: String,
    /// The new value; `None` removes the row.
    pub value: Option<Value>,
}

/// A row, or the tombstone of a removed one.
#[derive(Clone, Debug)]
struct Row {
    table: String,
    key: String,
    /// `None` for a tombstone.
    value: Option<Vec<u8>>,
    /// The revision of the store at the last write of this row.
    revision: u64,
}

#[derive(Debug, Default)]
struct Rows {
    rows: Vec<Row>,
    revision: u64,
    /// The feed answers 410 to readers that are behind this revision.
    compacted: u64,
    /// Rises by one when the store comes back from a copy.
    era: u64,
}

/// A copy of a store's rows.
#[derive(Clone, Debug)]
pub struct Copy {
    rows: Vec<Row>,
    revision: u64,
}

/// The state of a store.
#[derive(Debug, Default)]
pub struct Store {
    rows: Mutex<Rows>,
    /// Notified on every write, for the waiting feeds.
    changed: Notify,
    /// The faults in force.
    pub faults: Faults,
}

impl Store {
    /// Writes or removes a row as the operator or a backend server does.
    pub fn put(&self, put: &Put) {
        let value = put.value.as_ref().map(|v| v.to_string().into_bytes());
        self.write(&put.table, &put.key, value);
    }

    /// Compacts the change history: a feed from an earlier revision answers 410.
    pub fn compact(&self) {
        let mut rows = self.lock();
        rows.compacted = rows.revision;
    }

    /// The value of a row; `None` if it is absent or removed.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let rows = self.lock();
        let row = rows.rows.iter().find(|r| r.table == table && r.key == key);
        row.and_then(|r| r.value.clone())
    }

    /// Copies the rows.
    pub fn copy(&self) -> Copy {
        let rows = self.lock();
        Copy {
            rows: rows.rows.clone(),
            revision: rows.revision,
        }
    }

    /// Comes back from a copy: what was written since is gone, and its revisions are given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut rows = self.lock();
        rows.rows.clone_from(&copy.rows);
        rows.revision = copy.revision;
        rows.era += 1;
        drop(rows);
        self.changed.notify_waiters();
    }

    /// The keys of a table's rows.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.lock();
        let present = rows
            .rows
            .iter()
            .filter(|r| r.table == table && r.value.is_some());
        present.map(|r| r.key.clone()).collect()
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
    run_view(listener, store, 0, stop).await;
}

/// Runs a view of a store on `listener` until `stop` is cancelled, see [`View`].
pub async fn run_view(
    listener: TcpListener,
    store: Arc<Store>,
    port_shift: u16,
    stop: CancellationToken,
) {
    let handler = move |request| handle(Arc::clone(&store), port_shift, request);
    web::server::serve(listener, stop, handler).await;
}

async fn handle(store: Arc<Store>, port_shift: u16, request: Request<Incoming>) -> Response {
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
    let mut response = match (request.method(), path.as_str()) {
        (&Method::GET, "/rows-get") => read(&store, port_shift, &request),
        (&Method::GET, "/rows-feed") => feed(&store, port_shift, &request).await,
        (&Method::POST, "/rows-tx") => transact(&store, request).await,
        _ => response(StatusCode::NOT_FOUND, &[], ""),
    };
    let era = store.lock().era;
    response.headers_mut().insert("store-era", era.into());
    response
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

/// The raw value of a query parameter, without percent-decoding.
fn parameter<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    let mut fields = query.split('&').filter_map(|f| f.split_once('='));
    fields.find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// A query parameter as a number, or 0 if it is absent or malformed.
fn number(request: &Request<Incoming>, name: &str) -> u64 {
    parameter(request, name)
        .and_then(|v| v.parse().ok())
        .unwrap_or(0)
}

/// Answers `GET /rows-get`: the rows of a table by key, in pages of [`MAX_ROWS`].
fn read(store: &Store, port_shift: u16, request: &Request<Incoming>) -> Response {
    let table = parameter(request, "table").unwrap_or_default();
    let from = parameter(request, "from").unwrap_or_default();
    // The reader requests the next page from the last key with a zero byte appended, the smallest
    // key after it.
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
    answer(&found, rows.revision, is_partial, port_shift)
}

/// Answers `GET /rows-feed`: the changes after a revision; waits for one up to `wait-ms`.
async fn feed(store: &Store, port_shift: u16, request: &Request<Incoming>) -> Response {
    let table = parameter(request, "table").unwrap_or_default();
    let since = number(request, "since-rev");
    let wait = Duration::from_millis(number(request, "wait-ms"));
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let changed = store.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if let Some(answer) = changes(store, port_shift, table, since) {
            return answer;
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return answer(&[], store.lock().revision, false, port_shift);
        }
    }
}

/// The changes after revision `since`, or 410 if they were compacted; `None` if there are none.
fn changes(store: &Store, port_shift: u16, table: &str, since: u64) -> Option<Response> {
    let rows = store.lock();
    if since < rows.compacted || since > rows.revision {
        return Some(response(StatusCode::GONE, &[], ""));
    }
    let mut found: Vec<&Row> = rows
        .rows
        .iter()
        .filter(|r| r.table == table && r.revision > since)
        .collect();
    found.sort_by_key(|r| r.revision);
    (!found.is_empty()).then(|| answer(&found, rows.revision, false, port_shift))
}

/// Answers `POST /rows-tx`: applies the writes and deletions, without checking conditions.
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

/// The row of a backend server with its port raised; as it is if it has no address.
fn shift_port(row: &[u8], port_shift: u16) -> Vec<u8> {
    let mut row: Value = match serde_json::from_slice(row) {
        Ok(row) if port_shift > 0 => row,
        _ => return row.to_vec(),
    };
    if let Some(addr) = row["addr"].as_str().and_then(|a| a.parse().ok()) {
        let addr: SocketAddr = addr;
        let port = addr.port().wrapping_add(port_shift);
        row["addr"] = SocketAddr::new(addr.ip(), port).to_string().into();
    }
    row.to_string().into_bytes()
}

fn answer(rows: &[&Row], revision: u64, is_partial: bool, port_shift: u16) -> Response {
    let rows: Vec<Value> = rows
        .iter()
        .map(|r| {
            let value = r.value.as_ref().map(|v| match r.table.as_str() {
                SERVERS => STANDARD.encode(shift_port(v, port_shift)),
                _ => STANDARD.encode(v),
            });
            json!({
                "table": r.table, "part": "", "key": r.key, "ver": r.revision,
                "value": value.unwrap_or_default(), "deleted": r.value.is_none(),
            })
        })
        .collect();
    let body = json!({"rows": rows, "truncated": is_partial, "ver": revision, "now-ms": 0});
    reply::json(StatusCode::OK, &body)
}
