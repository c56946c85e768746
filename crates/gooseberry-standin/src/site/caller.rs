//! A caller of the deployment's platform: builds requests, reads answers and computes the expected
//! ones.

use base::hash::stable;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};

use crate::site::documents::{HOST, KEY};
use crate::site::worker;

/// An answer with the part of its body that was received.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The bytes of the body received.
    pub body: Bytes,
    /// Whether the body was received to its end, without a connection error.
    pub is_whole: bool,
}

impl Answer {
    /// The body as text; empty if it is not UTF-8.
    pub fn text(&self) -> &str {
        str::from_utf8(&self.body).unwrap_or_default()
    }

    /// The value of a header; empty if it is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }

    /// Whether the status guarantees that the request has not run and will not run.
    pub fn is_refusal(&self) -> bool {
        matches!(self.status.as_u16(), 408 | 421 | 429 | 503)
    }
}

/// A request to `path` with a deadline of `deadline_ms`; its body is its id.
pub fn request(id: &str, path: &str, deadline_ms: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(id.to_owned())));
    *request.method_mut() = hyper::Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let fields = [
        ("host", HOST.to_owned()),
        ("attempt-id", id.to_owned()),
        ("deadline-ms", deadline_ms.to_string()),
        ("x-api-key", KEY.to_owned()),
    ];
    for (name, value) in fields {
        if let Ok(value) = value.parse() {
            request.headers_mut().insert(name, value);
        }
    }
    request
}

/// A request for a generation, answered with a stream of events.
pub fn generation(id: &str, path: &str, deadline_ms: u64) -> Request<Full<Bytes>> {
    let mut request = request(id, path, deadline_ms);
    if let Ok(tokens) = "1000,210".parse() {
        request.headers_mut().insert("token-count", tokens);
    }
    request
}

/// Makes a request resume its stream after the event `last`.
pub fn resume_after(request: &mut Request<Full<Bytes>>, last: u64) {
    if let Ok(value) = last.to_string().parse() {
        request.headers_mut().insert("last-event-id", value);
    }
}

/// Reads an answer until its body ends or breaks off.
pub async fn read(response: Response<Incoming>) -> Answer {
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut is_whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.data_ref().into_iter().flatten()),
            Err(_) => {
                is_whole = false;
                break;
            }
        }
    }
    Answer {
        status: parts.status,
        headers: parts.headers,
        body: bytes.into(),
        is_whole,
    }
}

/// The expected events after `from`, up to and including `last`, for the generation with this id.
pub fn events(id: &str, from: u64, last: u64) -> String {
    let content = stable(id.as_bytes());
    (from + 1..=last)
        .map(|n| worker::event(content, n))
        .collect()
}

/// The expected answer to the call with this id.
pub fn receipt(id: &str) -> String {
    worker::receipt(id.as_bytes())
}
