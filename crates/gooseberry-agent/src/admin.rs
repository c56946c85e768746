//! Operator HTTP endpoints of an agent.

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use telemetry::admin::{Readiness, answer, not_found, refusal};
use web::{Response, reply};

use membership::Members;

use crate::operator;
use crate::shared::{Agent, SharedAgent};

/// Answers one request: configuration and hosts, drain, state or readiness.
pub async fn handle(agent: SharedAgent, request: Request<Incoming>) -> Response {
    let request = match operator::handle(&agent, request).await {
        Ok(response) => return response,
        Err(other) => other,
    };
    if request.method() == Method::POST && request.uri().path() == "/v1/drain" {
        return drain(&agent, &request);
    }
    let answered = answer(&request, || state(&agent), || readiness(&agent));
    answered.unwrap_or_else(|| not_found(&request))
}

/// Marks the host as leaving, so that it accepts no new work, if the operator key is correct.
fn drain(agent: &Agent, request: &Request<Incoming>) -> Response {
    let settings = &agent.settings;
    let digest = settings.operator_digest.as_deref();
    if let Some(refused) = refusal(&settings.host, digest, request) {
        return refused;
    }
    log::info!("drain requested by an operator host={}", settings.host);
    agent.members(Members::leave);
    reply::json(
        StatusCode::ACCEPTED,
        &json!({ "host": settings.host, "leaving": true }),
    )
}

/// Readiness: the agent has a configuration and its host is not leaving.
fn readiness(agent: &Agent) -> Readiness {
    let version = agent.version();
    let is_leaving = agent.is_leaving();
    let ready = version.0 > 0 && !is_leaving;
    let reason = if ready {
        String::new()
    } else if is_leaving {
        "the host is leaving; use another".to_owned()
    } else {
        format!("no configuration: {}", agent.distribution.missing_reason())
    };
    Readiness {
        ready,
        reason,
        version,
    }
}

/// State dump of the agent.
fn state(agent: &Agent) -> Value {
    let view = agent.view(base::id::Version(0));
    json!({
        "host": agent.settings.host,
        "data_centre": agent.settings.data_centre,
        "incarnation": agent.incarnation,
        "now_ms": agent.timer.now(),
        "view": view,
        "is_fresh": agent.distribution.is_fresh(),
        "adoptions": agent.distribution.adoptions(),
        "traffic": base::traffic::total(),
        "members": agent.members(|m| json!(m)),
    })
}
