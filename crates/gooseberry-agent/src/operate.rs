//! What operators with a key may ask of an agent: the configuration and the hosts.

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
use crate::shared::{Agent, SharedAgent};
use crate::spread::read_store;

/// The largest request body, in bytes.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// How long another agent may take to say which version it has.
const ABOUT: Duration = Duration::from_millis(1_000);

/// The revisions that a history shows.
const HISTORY: u64 = 50;

/// Answers an operator's request; `None` if this is not one.
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

/// The refusal of a request whose operator's key is missing or wrong.
pub fn refusal(agent: &Agent, request: &Request<Incoming>) -> Option<Response> {
    let bearer = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    let message = match (&agent.settings.operator_digest, bearer) {
        (None, _) => {
            "this agent has no `operator_digest` in its settings; write one to admit operators"
        }
        (_, None) => "no operator's key; send `Authorization: Bearer KEY`",
        (Some(digest), Some(key)) if key_digest(key) == *digest => return None,
        _ => "the operator's key is wrong; use the one whose digest stands in the agent's settings",
    };
    let host = &agent.settings.host;
    let path = request.uri().path();
    log::warn!("operator refused host={host} path={path} cause=\"{message}\"");
    Some(error(StatusCode::UNAUTHORIZED, "unauthorized", message))
}

async fn show(agent: &Agent) -> Response {
    let is_fresh = read_store(agent).await.is_ok();
    let document = agent.read(|k| k.held.document().clone());
    reply::json(StatusCode::OK, &CurrentConfig { document, is_fresh })
}

async fn history(agent: &Agent) -> Response {
    let is_read = read_store(agent).await;
    let last = agent.version().0;
    let first = (last + 1).saturating_sub(HISTORY).max(1);
    let revisions: Result<Vec<Revision>, String> = match is_read {
        Ok(()) => {
            let read = agent.platform.revisions(first, last).await;
            read.map_err(|e| e.to_string())
        }
        Err(cause) => Err(cause),
    };
    match revisions {
        Ok(revisions) => reply::json(StatusCode::OK, &revisions),
        Err(cause) => {
            let message = format!("the platform gives no history: {cause}; try again later");
            error(StatusCode::SERVICE_UNAVAILABLE, "unavailable", &message)
        }
    }
}

async fn difference(agent: &Agent, request: Request<Incoming>) -> Response {
    let mut wanted: Document = match reply::read_json(request, MAX_BYTES).await {
        Ok(wanted) => wanted,
        Err(e) => return error(StatusCode::BAD_REQUEST, "malformed", &e.to_string()),
    };
    wanted.sort();
    // Without the platform the answer is for the version that is in force here, and says so.
    let _ = read_store(agent).await;
    let answer = agent.read(|k| Difference {
        version: k.held.version(),
        changes: diff(k.held.document(), &wanted),
    });
    reply::json(StatusCode::OK, &answer)
}

async fn apply(agent: &SharedAgent, request: Request<Incoming>) -> Response {
    let proposal: Proposal = match reply::read_json(request, MAX_BYTES).await {
        Ok(proposal) => proposal,
        Err(e) => return error(StatusCode::BAD_REQUEST, "malformed", &e.to_string()),
    };
    let (host, operation) = (&agent.settings.host, proposal.operation.clone());
    let outcome = commit(agent, proposal).await;
    log::info!("proposal ended host={host} operation={operation} outcome={outcome:?}");
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

/// All known entry hosts, each with what its agent says now.
async fn hosts(agent: &Agent) -> Vec<HostState> {
    let known: Vec<(HostState, SocketAddr)> = agent.read(|known| {
        let list = known.hosts.hosts.iter();
        list.filter_map(|host| match host.kind {
            HostKind::Entry { agent, .. } => {
                let state = HostState {
                    host: HostId(host.name.clone()),
                    data_centre: host.data_centre.clone(),
                    leaving: host.leaving,
                    about: None,
                };
                Some((state, agent))
            }
            HostKind::Backend { .. } => None,
        })
        .collect()
    });
    let asked = known.into_iter().map(|(mut state, addr)| async move {
        state.about = AgentLink::new(addr).about(ABOUT).await.ok();
        state
    });
    join_all(asked).await
}

fn error(status: StatusCode, kind: &'static str, message: &str) -> Response {
    let message = message.to_owned();
    reply::json(status, &AdminError { kind, message })
}
