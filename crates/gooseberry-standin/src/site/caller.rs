//! A caller of the users' platform: its requests, and how it reads answers.

use base::hash::stable;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};

use crate::site::documents::{HOST, KEY};
use crate::site::worker;

/// An answer, read to its end.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// What came of the body.
    pub body: Bytes,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Answer {
    /// The body as text.
    pub fn text(&self) -> &str {
        str::from_utf8(&self.body).unwrap_or_default()
    }

    /// A header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }

    /// Whether the answer promises that the request has not run and never will.
    pub fn is_refusal(&self) -> bool {
        matches!(self.status.as_u16(), 408 | 421 | 429 | 503)
    }
}

/// A request to `path`, which waits for `patience_ms`; its body is its id.
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

/// A request for a stream.
pub fn generation(id: &str, path: &str, deadline_ms: u64) -> Request<Full<Bytes>> {
    let mut request = request(id, path, deadline_ms);
    if let Ok(tokens) = "1000,210".parse() {
        request.headers_mut().insert("token-count", tokens);
    }
    request
}

/// Has the stream of a request go on behind the event `last`.
pub fn resume_after(request: &mut Request<Full<Bytes>>, last: u64) {
    if let Ok(value) = last.to_string().parse() {
        request.headers_mut().insert("last-event-id", value);
    }
}

/// Reads an answer.
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

/// The events behind `from`, up to `last`, of the answer to the generation of this id.
pub fn events(id: &str, from: u64, last: u64) -> String {
    let content = stable(id.as_bytes());
    (from + 1..=last)
        .map(|n| worker::event(content, n))
        .collect()
}

/// The answer to the call of this id.
pub fn receipt(id: &str) -> String {
    worker::receipt(id.as_bytes())
}
