//! The users' platform: its store, its backend servers and its callers.
//!
//! Written from the published protocol, for tests of what speaks it. Only what the system uses is
//! here; faults are switched over HTTP as with the other stand-ins.

pub mod caller;
pub mod documents;
pub mod store;
pub mod worker;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use web::{Response, reply};

/// A response with headers.
pub(crate) fn response(
    status: StatusCode,
    headers: &[(&'static str, &str)],
    body: impl Into<Bytes>,
) -> Response {
    let mut response = Response::new(reply::full(body));
    *response.status_mut() = status;
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            let name = HeaderName::from_static(name);
            response.headers_mut().insert(name, value);
        }
    }
    response
}
