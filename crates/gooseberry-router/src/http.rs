//! HTTP interface for callers.

use std::sync::Arc;

use cadence::prelude::*;
use hyper::body::Incoming;
use hyper::{Method, Request};
use web::Response;

use crate::completions;
use crate::context::Router;
use crate::errors::{CallerError, Kind};
use crate::services;

/// Answers one request of a caller.
pub async fn handle(router: Arc<Router>, request: Request<Incoming>) -> Response {
    let answered = match router.ready() {
        Ok(()) => route(&router, request).await,
        Err(reason) => Err(services::not_ready(&request, reason)),
    };
    match answered {
        Ok(response) => response,
        Err(error) => {
            let name = format!("refused.{}", error.kind);
            // A metric that cannot be sent must not affect the request.
            let _ = router.metrics.count(&name, 1);
            error.response()
        }
    }
}

async fn route(router: &Arc<Router>, request: Request<Incoming>) -> Result<Response, CallerError> {
    let path = request.uri().path();
    if path == "/v1/completions" {
        if request.method() != Method::POST {
            let message = "/v1/completions accepts only POST requests";
            return Err(CallerError::not_run(Kind::MethodNotAllowed, message));
        }
        return completions::handle(router, request).await;
    }
    if path.starts_with(services::PREFIX) {
        return services::handle(router, request).await;
    }
    let message = format!("no such path: {path}; use /v1/completions or /v1/services");
    Err(CallerError::not_run(Kind::NotFound, message))
}
