//! Operator endpoints of an agent that require the operator key: configuration and hosts.

use std::net::SocketAddr;
use std::time::Duration;

use base::hash::key_digest;
use base::prelude::*;
use futures_util::future::join_all;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, StatusCode};
use peer::link::AgentLink;
use peer::operator::{CurrentConfig, Difference, HostState};
use profiles::change::{Proposal, Refusal, Revision, diff};
use profiles::commit::Outcome;
use profiles::document::Document;
use store::wire::HostKind;
use telemetry::admin::AdminError;
use web::{Response, reply};

use crate::commit::commit;
use crate::distribution::sync_platform;
use crate::shared::{Agent, SharedAgent};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Time limit for another agent's response about its version.
const ABOUT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of latest revisions in the history.
const HISTORY_LENGTH: u64 = 50;

/// Answers an operator's request.
///
/// # Errors
///
/// Returns the request if its path or method is not one of these endpoints.
pub async fn handle(
    agent: &SharedAgent,
    request: Request<Incoming>,
) -> Result<Response, Request<Incoming>> {
    let path = request.uri().path().to_owned();
    let is_known = path.starts_with("/v1/config") || path == "/v1/hosts";
    if !is_known {
        return Err(request);
    }
    if let Some(refused) = refusal(agent, &request) {
        return Ok(refused);
    }
    let method = request.method().clone();
    match (method, path.as_str()) {
        (Method::GET, "/v1/config") => Ok(show(agent).await),
        (Method::GET, "/v1/config/history") => Ok(history(agent).await),
        (Method::POST, "/v1/config/diff") => Ok(difference(agent, request).await),
        (Method::POST, "/v1/config/apply") => Ok(apply(agent, request).await),
        (Method::GET, "/v1/hosts") => Ok(reply::json(StatusCode::OK, &hosts(agent).await)),
        _ => Err(request),
    }
}

/// Checks the operator key of a request; returns `None` if it is correct.
///
/// Otherwise logs the refusal and returns the response.
pub fn refusal(agent: &Agent, request: &Request<Incoming>) -> Option<Response> {
    let bearer = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    let message = match (&agent.settings.operator_digest, bearer) {
        (None, _) => {
            "`operator_digest` is not set in the agent's settings; set it to admit operators"
        }
        (_, None) => "no operator's key; send `Authorization: Bearer KEY`",
        (Some(digest), Some(key)) if key_digest(key) == *digest => return None,
        _ => "the operator's key is wrong; use the one whose digest is in the agent's settings",
    };
    let host = &agent.settings.host;
    let path = request.uri().path();
    log::warn!("operator request refused host={host} path={path} cause=\"{message}\"");
    Some(error(StatusCode::UNAUTHORIZED, "unauthorized", message))
}

async fn show(agent: &Agent) -> Response {
    let is_fresh = sync_platform(agent).await.is_ok();
    let document = agent.read(|s| s.config.document().clone());
    reply::json(StatusCode::OK, &CurrentConfig { document, is_fresh })
}

async fn history(agent: &Agent) -> Response {
    let synced = sync_platform(agent).await;
    let last = agent.version().0;
    let first = (last + 1).saturating_sub(HISTORY_LENGTH).max(1);
    let revisions: Result<Vec<Revision>, String> = match synced {
        Ok(()) => {
            let read = agent.platform.revisions(first, last).await;
            read.map_err(|e| e.to_string())
        }
        Err(cause) => Err(cause),
    };
    match revisions {
        Ok(revisions) => reply::json(StatusCode::OK, &revisions),
        Err(cause) => {
            let message = format!(
                "configuration history not read from the platform: {cause}; try again later"
            );
            error(StatusCode::SERVICE_UNAVAILABLE, "unavailable", &message)
        }
    }
}

async fn difference(agent: &Agent, request: Request<Incoming>) -> Response {
    let mut desired: Document = match reply::read_json(request, MAX_BODY_BYTES).await {
        Ok(desired) => desired,
        Err(e) => return error(StatusCode::BAD_REQUEST, "malformed", &e.to_string()),
    };
    desired.sort();
    // If the platform is unavailable, the difference is to the version in force at this agent, which
    // the response names.
    let _ = sync_platform(agent).await;
    let answer = agent.read(|s| Difference {
        version: s.config.version(),
        changes: diff(s.config.document(), &desired),
    });
    reply::json(StatusCode::OK, &answer)
}

async fn apply(agent: &SharedAgent, request: Request<Incoming>) -> Response {
    let proposal: Proposal = match reply::read_json(request, MAX_BODY_BYTES).await {
        Ok(proposal) => proposal,
        Err(e) => return error(StatusCode::BAD_REQUEST, "malformed", &e.to_string()),
    };
    let (host, operation) = (&agent.settings.host, proposal.operation.clone());
    let outcome = commit(agent, proposal).await;
    log::info!(
        "configuration proposal finished host={host} operation={operation} outcome={outcome:?}"
    );
    reply::json(status(&outcome), &outcome)
}

fn status(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Accepted { .. } => StatusCode::OK,
        Outcome::Refused {
            refusal: Refusal::Conflict { .. },
        } => StatusCode::CONFLICT,
        Outcome::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        Outcome::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// All listed entry hosts, each with its agent's response; `about` is `None` if there was none.
async fn hosts(agent: &Agent) -> Vec<HostState> {
    let listed: Vec<(HostState, SocketAddr)> = agent.read(|state| {
        let list = state.hosts.hosts.iter();
        list.filter_map(|host| match host.kind {
            HostKind::Entry { agent, .. } => {
                let shown = HostState {
                    host: HostId(host.name.clone()),
                    data_centre: host.data_centre.clone(),
                    leaving: host.leaving,
                    about: None,
                };
                Some((shown, agent))
            }
            HostKind::Backend { .. } => None,
        })
        .collect()
    });
    let calls = listed.into_iter().map(|(mut shown, addr)| async move {
        shown.about = AgentLink::new(addr).about(ABOUT_TIMEOUT).await.ok();
        shown
    });
    join_all(calls).await
}

fn error(status: StatusCode, kind: &'static str, message: &str) -> Response {
    let message = message.to_owned();
    reply::json(status, &AdminError { kind, message })
}
