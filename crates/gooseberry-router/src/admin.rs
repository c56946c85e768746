//! HTTP interface of a router for operators: state dump, readiness and drain.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use telemetry::admin::{Readiness, answer, not_found, refusal};
use web::{Response, reply};

use crate::context::Router;

/// Answers one request of an operator.
pub async fn handle(router: Arc<Router>, request: Request<Incoming>) -> Response {
    if request.method() == Method::POST && request.uri().path() == "/v1/drain" {
        return drain(&router, &request);
    }
    let answered = answer(&request, || state(&router), || readiness(&router));
    answered.unwrap_or_else(|| not_found(&request))
}

/// Starts draining the host, if the request carries the operator key.
fn drain(router: &Router, request: &Request<Incoming>) -> Response {
    let settings = &router.settings;
    let digest = settings.operator_digest.as_deref();
    if let Some(refused) = refusal(&settings.host, digest, request) {
        return refused;
    }
    log::info!("drain requested by an operator host={}", settings.host);
    router.drain.cancel();
    let state = json!({
        "host": settings.host,
        "leaving": true,
        "in_flight": router.registry.len(),
    });
    reply::json(StatusCode::ACCEPTED, &state)
}

fn readiness(router: &Router) -> Readiness {
    let ready = router.ready();
    Readiness {
        ready: ready.is_ok(),
        reason: ready.err().unwrap_or_default().to_owned(),
        version: router.snapshot().document.version,
    }
}

/// State dump of the router.
fn state(router: &Router) -> Value {
    let snapshot = router.snapshot();
    let (journals, bytes) = router.journals.size();
    let backends: Vec<Value> = snapshot
        .backends
        .iter()
        .map(|b| json!({ "seen": b.view, "own": b.in_flight(), "health": b.health() }))
        .collect();
    json!({
        "host": router.settings.host,
        "data_centre": router.settings.data_centre,
        "incarnation": router.incarnation,
        "now_ms": router.timer.now(),
        "version": snapshot.document.version,
        "drain": snapshot.drain || router.drain.is_cancelled(),
        "agent": snapshot.agent,
        "hosts": snapshot.hosts,
        "backends": backends,
        "admission": router.admission.dump(),
        "requests": router.registry.dump(),
        "claims": router.claims.dump(),
        "journals": {
            "count": journals,
            "bytes": bytes,
            "held": router.journals.summaries(),
        },
    })
}
