//! The operators' entry of an agent.

use hyper::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};
use telemetry::admin::{Readiness, answer, not_found};
use web::Response;

use crate::operate;
use crate::shared::{Agent, SharedAgent};

/// Answers one request.
pub async fn handle(agent: SharedAgent, request: Request<Incoming>) -> Response {
    let request = match operate::handle(&agent, request).await {
        Ok(response) => return response,
        Err(other) => other,
    };
    let answered = answer(&request, || state(&agent), || readiness(&agent));
    answered.unwrap_or_else(|| not_found(&request))
}

/// Whether the agent can serve a router.
fn readiness(agent: &Agent) -> Readiness {
    let version = agent.version();
    let ready = version.0 > 0;
    let reason = if ready {
        String::new()
    } else {
        format!("no configuration: {}", agent.spread.lack())
    };
    Readiness {
        ready,
        reason,
        version,
    }
}

/// All that the agent believes.
fn state(agent: &Agent) -> Value {
    let view = agent.view(base::id::Version(0));
    json!({
        "host": agent.settings.host,
        "data_centre": agent.settings.data_centre,
        "incarnation": agent.incarnation,
        "now_ms": agent.timer.now(),
        "view": view,
        "is_fresh": agent.spread.is_fresh(),
        "adoptions": agent.spread.adoptions(),
        "traffic": base::traffic::total(),
    })
}
