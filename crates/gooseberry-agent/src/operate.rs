//! What operators with a key may ask of an agent: the configuration and the hosts.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use futures_util::future::join_all;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use peer::agent::{About, HostView};
use peer::link::AgentLink;
use profiles::change::{Change, Proposal, Refusal, Revision, diff};
use profiles::commit::Outcome;
use profiles::document::Document;
use serde::{Deserialize, Serialize};
use telemetry::admin::{AdminError, refusal};
use web::{Response, reply};

use crate::commit::commit;
use crate::members::host_views;
use crate::shared::{Agent, SharedAgent};
use crate::spread::read_store;

/// The largest request body, in bytes.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// How long another agent may take to say which version it has.
const ABOUT: Duration = Duration::from_millis(1_000);

/// The revisions that a history shows.
const HISTORY: u64 = 50;

/// The answer to `GET /v1/config`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shown {
    /// The document.
    pub document: Document,
    /// Whether it is certainly the accepted one; else the platform is away.
    pub is_fresh: bool,
}

/// The answer to `POST /v1/config/diff`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Difference {
    /// The version that was compared.
    pub version: Version,
    /// The changes that make the document that was sent.
    pub changes: Vec<Change>,
}

/// An entry host in the answer to `GET /v1/hosts`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostState {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// What its agent says, if it answered.
    pub about: Option<About>,
}

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
    let settings = &agent.settings;
    let digest = settings.operator_digest.as_deref();
    if let Some(refused) = refusal(&settings.host, digest, &request) {
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

async fn show(agent: &Agent) -> Response {
    let is_fresh = read_store(agent).await.is_ok();
    let document = agent.read(|k| k.held.document().clone());
    reply::json(StatusCode::OK, &Shown { document, is_fresh })
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
    let known: Vec<(HostState, SocketAddr)> = agent.members(|members| {
        let one = |host: HostView| {
            let state = HostState {
                host: host.host,
                data_centre: host.data_centre,
                leaving: host.leaving,
                about: None,
            };
            (state, host.agent)
        };
        host_views(members).into_iter().map(one).collect()
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
