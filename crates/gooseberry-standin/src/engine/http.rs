//! The HTTP interface of an engine.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use engine::wire::{CacheEvents, Frame, Generate, Order, Refusal, RefusalKind, StreamName};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use web::{BodySender, Response, StreamCut, reply};

use super::batch::Batch;
use super::stream::Stream;

/// The limit on a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Handles one request.
pub(super) async fn handle(batch: Arc<Batch>, request: Request<Incoming>) -> Response {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    if path == "/faults" {
        return batch.faults.handle_request(request).await;
    }
    batch.faults.inject_delay().await;
    if batch.faults.state().outage {
        return refuse(&refusal(
            RefusalKind::NotReady,
            "the engine is unavailable: fault switch `outage` is on",
        ));
    }
    let method = request.method().clone();
    match (&method, path.as_str()) {
        (&Method::POST, "/v1/generate") => generate(batch, request).await,
        (&Method::GET, "/v1/load") => ok(&batch.load()),
        (&Method::GET, "/v1/cache/events") => ok(&CacheEvents {
            incarnation: batch.incarnation,
            events: batch.events(query_number(&query, "after")),
        }),
        (&Method::GET, "/v1/orders") => ok(&batch.order_state()),
        (&Method::POST, "/v1/orders") => order(&batch, request).await,
        (&Method::GET, "/stats") => ok(&batch.stats()),
        _ => stream(batch, &method, &path, query_number(&query, "offset")),
    }
}

/// Handles a request for one stream: cancels it, or returns its tokens from `offset` on.
fn stream(batch: Arc<Batch>, method: &Method, path: &str, offset: u64) -> Response {
    let Some(name) = path.strip_prefix("/v1/streams/") else {
        return refuse(&refusal(RefusalKind::Invalid, "no such path"));
    };
    let name = StreamName(name.to_owned());
    let unknown = refusal(RefusalKind::NoStream, "no such stream");
    if *method == Method::DELETE {
        let was_known = batch.cancel(&name);
        return if was_known { ok(&()) } else { refuse(&unknown) };
    }
    match batch.stream(&name) {
        Some(found) if offset >= found.start => stream_tokens(batch, found, offset),
        _ => refuse(&unknown),
    }
}

async fn generate(batch: Arc<Batch>, request: Request<Incoming>) -> Response {
    let body: Generate = match reply::read_json(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(e) => return refuse(&refusal(RefusalKind::Invalid, &e.to_string())),
    };
    match batch.generate(body) {
        Ok(stream) => {
            let start = stream.start;
            stream_tokens(batch, stream, start)
        }
        Err(refusal) => refuse(&refusal),
    }
}

async fn order(batch: &Arc<Batch>, request: Request<Incoming>) -> Response {
    let body: Order = match reply::read_json(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(e) => return refuse(&refusal(RefusalKind::Invalid, &e.to_string())),
    };
    match batch.order(body) {
        Ok(state) => ok(&state),
        Err(refusal) => refuse(&refusal),
    }
}

/// Returns a response whose body is the stream's tokens from `offset` on.
fn stream_tokens(batch: Arc<Batch>, stream: Arc<Stream>, offset: u64) -> Response {
    let (sender, response) = reply::events();
    stream.add_reader();
    tokio::spawn(async move {
        // An error means that the reader has disconnected; removing it below is all there is to do.
        let _ = write(&batch, &stream, offset, sender).await;
        stream.remove_reader();
    });
    response
}

/// Sends tokens as they are generated, until the stream ends or is cancelled.
async fn write(
    batch: &Batch,
    stream: &Stream,
    offset: u64,
    mut sender: BodySender,
) -> Result<(), StreamCut> {
    let number = batch.faults.open_stream();
    let mut updates = stream.subscribe();
    let mut offset = offset;
    let start = Frame::Start {
        offset: Offset(offset),
        incarnation: batch.incarnation,
        cached: stream.cached,
        prefill: stream.prefill,
    };
    send(&mut sender, &[start]).await?;
    loop {
        let tokens = stream.tokens(offset);
        if batch.faults.is_silent(number) {
            return std::future::pending().await;
        }
        if stream.is_cancelled() {
            sender.abort(StreamCut);
            return Ok(());
        }
        let (length, finish) = stream.end();
        let mut frames = Vec::with_capacity(tokens.len() + 1);
        for token in tokens {
            frames.push(Frame::Token {
                offset: Offset(offset),
                token,
            });
            offset += 1;
        }
        if offset >= length {
            frames.push(Frame::End { length, finish });
            return send(&mut sender, &frames).await;
        }
        if !frames.is_empty() {
            send(&mut sender, &frames).await?;
        }
        // Cannot fail: the stream holds the sender and lives as long as this borrow of it.
        let _ = updates.changed().await;
        batch.faults.wait_paused().await;
    }
}

/// Sends frames as server-sent events in one chunk.
async fn send(sender: &mut BodySender, frames: &[Frame]) -> Result<(), StreamCut> {
    let mut buffer = Vec::new();
    for frame in frames {
        buffer.extend_from_slice(b"data: ");
        serde_json::to_writer(&mut buffer, frame).map_err(|_| StreamCut)?;
        buffer.extend_from_slice(b"\n\n");
    }
    let sent = sender.send_data(Bytes::from(buffer)).await;
    sent.map_err(|_| StreamCut)
}

fn ok<T: Serialize>(value: &T) -> Response {
    reply::json(StatusCode::OK, value)
}

fn refuse(refusal: &Refusal) -> Response {
    let status = match refusal.kind {
        RefusalKind::Busy => StatusCode::TOO_MANY_REQUESTS,
        RefusalKind::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        RefusalKind::NoModel | RefusalKind::NoStream => StatusCode::NOT_FOUND,
        RefusalKind::Fenced => StatusCode::CONFLICT,
        RefusalKind::Invalid => StatusCode::BAD_REQUEST,
    };
    reply::json(status, refusal)
}

fn refusal(kind: RefusalKind, message: &str) -> Refusal {
    Refusal {
        kind,
        message: message.to_owned(),
    }
}

/// The query parameter `name` as a number, or 0 if it is absent or malformed.
fn query_number(query: &str, name: &str) -> u64 {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}
