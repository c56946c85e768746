//! The operators' entry of a router.

use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};
use telemetry::admin::{Readiness, answer, not_found};
use web::Response;

use crate::context::Router;

/// Answers one request.
pub async fn handle(router: Arc<Router>, request: Request<Incoming>) -> Response {
    let answered = answer(&request, || state(&router), || readiness(&router));
    answered.unwrap_or_else(|| not_found(&request))
}

fn readiness(router: &Router) -> Readiness {
    let ready = router.ready();
    Readiness {
        ready: ready.is_ok(),
        reason: ready.err().unwrap_or_default().to_owned(),
        version: router.snapshot().document.version,
    }
}

/// All that the router believes.
fn state(router: &Router) -> Value {
    let snapshot = router.snapshot();
    let (journals, bytes) = router.shelf.size();
    let backends: Vec<Value> = snapshot
        .backends
        .iter()
        .map(|b| json!({ "seen": b.seen, "own": b.own(), "health": b.health() }))
        .collect();
    json!({
        "host": router.settings.host,
        "data_centre": router.settings.data_centre,
        "incarnation": router.incarnation,
        "now_ms": router.timer.now(),
        "version": snapshot.document.version,
        "drain": snapshot.drain || router.drain.is_cancelled(),
        "hosts": snapshot.hosts,
        "backends": backends,
        "admission": router.admission.dump(),
        "requests": router.registry.dump(),
        "claims": router.claims.dump(),
        "journals": {
            "count": journals,
            "bytes": bytes,
            "held": router.shelf.summaries(),
        },
    })
}
