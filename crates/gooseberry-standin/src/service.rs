//! The plain service stand-in: counts how often the call of each idempotency key was run.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::prelude::*;
use base::sorted::Sorted;
use engine::wire::Load;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use web::{Response, reply};

use crate::faults::Faults;

/// The limit on a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The header with the idempotency key of a call.
const KEY_HEADER: &str = "idempotency-key";

/// The settings of a plain service stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// The time that one call takes, in milliseconds.
    pub work_ms: u64,
    /// The number of slots in its load report; it is not enforced.
    pub slots: u64,
    /// The file to which the key of each call is appended before it runs, so that the record
    /// survives the process; `None` for no record.
    pub record: Option<PathBuf>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            work_ms: 5,
            slots: 64,
            record: None,
        }
    }
}

/// How often the call of a key was run; `GET /runs` returns a list of these.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// The idempotency key; empty for calls without one.
    pub key: String,
    /// The number of runs.
    pub count: u64,
}

/// The body of each answer of the service, for the caller to verify.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The idempotency key as received; empty if the call had none.
    pub key: String,
    /// The number of the run, counted from 1 over all keys.
    pub run: u64,
    /// The path of the call.
    pub path: String,
    /// The body of the call.
    pub body: String,
}

/// The state of a plain service.
struct Service {
    settings: Settings,
    faults: Faults,
    incarnation: Incarnation,
    runs: Mutex<Sorted<String, u64>>,
    total: Mutex<u64>,
    running: Mutex<u64>,
}

/// Runs a plain service on `listener` until `stop` is cancelled.
pub async fn run(listener: TcpListener, settings: Settings, stop: CancellationToken) {
    let service = Arc::new(Service {
        settings,
        faults: Faults::default(),
        incarnation: Incarnation(rand::random()),
        runs: Mutex::default(),
        total: Mutex::default(),
        running: Mutex::default(),
    });
    let handler = move |request| handle(service.clone(), request);
    web::server::serve(listener, stop, handler).await;
}

async fn handle(service: Arc<Service>, request: Request<Incoming>) -> Response {
    match (request.method(), request.uri().path()) {
        (_, "/faults") => return service.faults.handle_request(request).await,
        (&Method::GET, "/runs") => return reply::json(StatusCode::OK, &service.run_counts()),
        (&Method::GET, "/v1/load") => return reply::json(StatusCode::OK, &service.load()),
        // Only engines have this path; without this arm the request would count as a call.
        (&Method::GET, "/v1/cache/events") => {
            return reply::json(StatusCode::NOT_FOUND, &"no such path");
        }
        _ => {}
    }
    if service.faults.state().leaving {
        let message = "the server is leaving; nothing was run";
        return reply::json(StatusCode::SERVICE_UNAVAILABLE, &message);
    }
    run_call(&service, request).await
}

/// Runs one call.
async fn run_call(service: &Service, request: Request<Incoming>) -> Response {
    let path = request.uri().path().to_owned();
    let key = request.headers().get(KEY_HEADER);
    let key = key
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let body = match reply::read_bytes(request.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(e) => return reply::json(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let run = service.count(&key);
    adjust(&service.running, 1);
    sleep(Duration::from_millis(service.settings.work_ms)).await;
    service.faults.count_call();
    service.faults.inject_delay().await;
    adjust(&service.running, -1);
    let receipt = Receipt {
        key,
        run,
        path,
        body,
    };
    reply::json(StatusCode::OK, &receipt)
}

impl Service {
    /// Counts a run of `key`, appends it to the record and returns its number over all keys.
    fn count(&self, key: &str) -> u64 {
        if let Some(file) = &self.settings.record {
            append_key(file, key);
        }
        let mut runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
        *runs.entry(key.to_owned(), || 0) += 1;
        let mut total = self.total.lock().unwrap_or_else(|e| e.into_inner());
        *total += 1;
        *total
    }

    fn run_counts(&self) -> Vec<RunCount> {
        let runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
        let run_count = |(key, count): (&String, &u64)| RunCount {
            key: key.clone(),
            count: *count,
        };
        runs.iter().map(run_count).collect()
    }

    fn load(&self) -> Load {
        Load {
            incarnation: self.incarnation,
            running: *self.running.lock().unwrap_or_else(|e| e.into_inner()),
            slots: self.settings.slots,
            leaving: self.faults.state().leaving,
            ..Load::default()
        }
    }
}

/// Appends a key to the file, unbuffered, so that it is kept if the process is killed.
pub(crate) fn append_key(file: &PathBuf, key: &str) {
    let opened = std::fs::File::options()
        .create(true)
        .append(true)
        .open(file);
    let result = opened.and_then(|mut f| f.write_all(format!("{key}\n").as_bytes()));
    if let Err(e) = result {
        // A run that is not recorded would invalidate the measurement.
        eprintln!(
            "cannot append to {}: {e}; set `record` to a writable file",
            file.display()
        );
        std::process::abort();
    }
}

fn adjust(count: &Mutex<u64>, by: i64) {
    let mut count = count.lock().unwrap_or_else(|e| e.into_inner());
    *count = count.saturating_add_signed(by);
}
