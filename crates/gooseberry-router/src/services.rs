//! Calls to plain services: `/v1/services/<service>/<path>`.
//!
//! Idempotent calls are retried ([`retry`]); all others are sent at most once per key ([`once`]).

pub mod clear;
pub mod job;
pub mod once;
pub mod outcome;
pub mod retry;
pub mod rules;

use std::sync::Arc;

use base::hash::stable;
use hyper::body::Incoming;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Uri};
use profiles::document::{Document, Kind as ServiceKind, Profile, Service};
use service::client::Call;
use web::{Response, reply};

use crate::auth;
use crate::caller::{self, KEY_HEADER};
use crate::completions::body_error;
use crate::context::Router;
use crate::errors::{CallerError, Kind, Ran};
use crate::services::job::Job;

/// Path prefix of calls.
pub const PREFIX: &str = "/v1/services/";

/// Response header with the version of the configuration that applied to the call.
const VERSION_HEADER: &str = "gooseberry-version";

/// Request header that names the workspace of a call to the backend server.
const WORKSPACE_HEADER: HeaderName = HeaderName::from_static("gooseberry-workspace");

/// Runs one call and returns its response.
///
/// # Errors
///
/// Any [`CallerError`].
pub async fn handle(
    router: &Arc<Router>,
    request: Request<Incoming>,
) -> Result<Response, CallerError> {
    let arrived = router.timer.now();
    let snapshot = router.snapshot();
    let document = &snapshot.document;
    let (parts, body) = request.into_parts();
    let workspace = auth::workspace(document, &parts.headers)?;
    let (service, profile, uri) = resolve(document, &parts.uri)?;
    let key = caller::key(&parts.headers)?;
    let body = reply::read_bytes(body, profile.limits.body_bytes)
        .await
        .map_err(body_error)?;
    let digest = stable(
        &[
            parts.method.as_str().as_bytes(),
            b" ",
            uri.to_string().as_bytes(),
            b"\n",
            &body,
        ]
        .concat(),
    );
    let call = Call {
        headers: forwarded_headers(&parts.headers, workspace.name.as_str()),
        method: parts.method,
        uri,
        body,
    };
    let job = Job::new(
        router,
        service,
        profile,
        &workspace.name,
        key,
        digest,
        call,
        arrived,
    );
    let key = job.key.clone();
    let mut response = if rules::is_idempotent(service, &job.call) {
        retry::run(router, &job, &profile.retry).await
    } else {
        once::run(router, job).await
    };
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&key) {
        headers.insert(KEY_HEADER, value);
    }
    headers.insert(VERSION_HEADER, HeaderValue::from(document.version.0));
    Ok(response)
}

/// Returns the error for a request that arrives while the host accepts none.
///
/// A call with a key may already have been run through another host, so its `ran` is unknown.
pub fn not_ready<T>(request: &Request<T>, reason: &str) -> CallerError {
    let error = CallerError::not_run(Kind::NotReady, reason).retry_after(1);
    let is_call = request.uri().path().starts_with(PREFIX);
    if is_call && request.headers().contains_key(KEY_HEADER) {
        return CallerError {
            ran: Ran::Unknown,
            ..error
        };
    }
    error
}

/// Resolves a call path to the service, its profile and the URI to request from the backend server.
fn resolve<'a>(
    document: &'a Document,
    uri: &Uri,
) -> Result<(&'a Service, &'a Profile, Uri), CallerError> {
    let path_query = uri.path_and_query().map_or("", |p| p.as_str());
    let rest = path_query.strip_prefix(PREFIX).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    let found = document.service(name);
    let service = found.filter(|s| s.kind == ServiceKind::Plain);
    let profile = service.and_then(|s| document.profile(&s.profile));
    match (service, profile, path.parse()) {
        (Some(service), Some(profile), Ok(path)) => Ok((service, profile, path)),
        _ => {
            let message = format!("there is no plain service `{name}`; correct the path");
            Err(CallerError::not_run(Kind::NotFound, message))
        }
    }
}

/// Returns the headers to forward to the backend server; [`Job::new`] adds the key.
fn forwarded_headers(headers: &HeaderMap, workspace: &str) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in [ACCEPT, CONTENT_TYPE] {
        if let Some(value) = headers.get(&name) {
            forwarded.insert(name, value.clone());
        }
    }
    if let Ok(value) = HeaderValue::from_str(workspace) {
        forwarded.insert(WORKSPACE_HEADER, value);
    }
    forwarded
}
