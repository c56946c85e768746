//! The HTTP interface of the platform.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde_json::Value;
use store::wire::{Host, Read, Scan, Transact};
use tokio::time::sleep;
use web::{Response, StreamCut, reply};

use super::Platform;

/// The limit on a request body.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Handles one request.
pub(super) async fn handle(platform: Arc<Platform>, request: Request<Incoming>) -> Response {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/faults" => return platform.faults.handle_request(request).await,
        "/stats" => return reply::json(StatusCode::OK, &platform.lock().stats),
        _ => platform.faults.inject_delay().await,
    }
    if platform.faults.state().outage {
        let message = "the platform is unavailable: fault switch `outage` is on; try again later";
        return reply::json(StatusCode::SERVICE_UNAVAILABLE, &message);
    }
    let is_write = is_write(request.method(), &path);
    if !platform.admit(is_write) {
        let message = "the rate limit of calls per second is exceeded; retry at a lower rate";
        return reply::json(StatusCode::TOO_MANY_REQUESTS, &message);
    }
    let settings = &platform.settings;
    let ms = if is_write {
        settings.write_ms
    } else {
        settings.read_ms
    };
    sleep(Duration::from_millis(ms)).await;
    let response = execute(&platform, request, &path).await;
    if is_write && platform.faults.loses_answer() {
        return truncated_response();
    }
    response
}

/// Whether a request counts against the rate limit on writes, and takes `write_ms`.
fn is_write(method: &Method, path: &str) -> bool {
    path == "/v1/table/transact" || method == Method::PUT || method == Method::DELETE
}

/// A response whose connection is aborted before the first byte of the body.
fn truncated_response() -> Response {
    let (sender, response) = reply::events();
    sender.abort(StreamCut);
    response
}

async fn execute(platform: &Platform, request: Request<Incoming>, path: &str) -> Response {
    let method = request.method().clone();
    if let Some(name) = path.strip_prefix("/v1/objects/") {
        return object(platform, request, name).await;
    }
    if let Some(name) = path.strip_prefix("/v1/hosts/") {
        platform.remove_host(name);
        return ok(&());
    }
    if path.starts_with("/v1/weights/") {
        return load_weights(platform).await;
    }
    match (method, path) {
        (Method::GET, "/v1/hosts") => {
            let list = platform.hosts();
            let unchanged = format!("after={}", list.revision);
            // A reader that has this revision receives `null` instead of the list.
            let is_unchanged = request.uri().query() == Some(unchanged.as_str());
            ok(&(!is_unchanged).then_some(list))
        }
        (Method::POST, "/v1/hosts") => {
            match reply::read_json::<Host>(request, MAX_BODY_BYTES).await {
                Ok(host) => {
                    platform.put_host(host);
                    ok(&())
                }
                Err(e) => bad_request(&e),
            }
        }
        (Method::POST, "/v1/table/transact") => {
            match reply::read_json::<Transact>(request, MAX_BODY_BYTES).await {
                Ok(body) => ok(&platform.lock().table.transact(&body.ops)),
                Err(e) => bad_request(&e),
            }
        }
        (Method::POST, "/v1/table/read") => {
            match reply::read_json::<Read>(request, MAX_BODY_BYTES).await {
                Ok(body) => {
                    let state = platform.lock();
                    let rows: Vec<_> = body.keys.iter().map(|k| state.table.read(k)).collect();
                    ok(&rows)
                }
                Err(e) => bad_request(&e),
            }
        }
        (Method::POST, "/v1/table/scan") => {
            match reply::read_json::<Scan>(request, MAX_BODY_BYTES).await {
                Ok(body) => ok(&platform.lock().table.scan(&body)),
                Err(e) => bad_request(&e),
            }
        }
        _ => reply::json(StatusCode::NOT_FOUND, &"no such path"),
    }
}

async fn object(platform: &Platform, request: Request<Incoming>, name: &str) -> Response {
    if request.method() == Method::GET {
        let state = platform.lock();
        return ok(&state.objects.get(&name.to_owned()));
    }
    if request.method() == Method::DELETE {
        platform.lock().objects.remove(&name.to_owned());
        return ok(&());
    }
    match reply::read_json::<Value>(request, MAX_BODY_BYTES).await {
        Ok(value) => {
            platform.lock().objects.insert(name.to_owned(), value);
            ok(&())
        }
        Err(e) => bad_request(&e),
    }
}

/// Simulates loading a model's weights; refuses the call if too many loads are in progress.
async fn load_weights(platform: &Platform) -> Response {
    {
        let mut state = platform.lock();
        if state.weight_loads >= platform.settings.weight_loads {
            let message = "too many concurrent weight loads; try again later";
            return reply::json(StatusCode::TOO_MANY_REQUESTS, &message);
        }
        state.weight_loads += 1;
    }
    sleep(Duration::from_millis(platform.settings.weights_ms)).await;
    platform.lock().weight_loads -= 1;
    ok(&())
}

fn ok<T: Serialize>(value: &T) -> Response {
    reply::json(StatusCode::OK, value)
}

fn bad_request(error: &reply::BodyError) -> Response {
    reply::json(StatusCode::BAD_REQUEST, &error.to_string())
}
