//! The deployment's platform, as the gateway uses it: metadata store, backend servers and callers.
//!
//! Implements the published protocol independently of the `platform` crate, so that tests check
//! the gateway against the protocol and not against itself. Covers only the calls that the gateway
//! makes; faults are switched by HTTP as for the other stand-ins.

pub mod caller;
pub mod documents;
pub mod path;
pub mod store;
pub mod worker;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use web::{Response, reply};

/// A response with these headers; those with an invalid value are left out.
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
