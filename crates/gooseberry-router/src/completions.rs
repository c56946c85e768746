//! Handler of `POST /v1/completions`: checks, ownership, admission, and the start of the
//! generation.

use std::sync::Arc;

use base::hash::stable;
use base::prelude::*;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request};
use profiles::document::{Document, Kind as ServiceKind, Profile, Service};
use tokio::sync::mpsc;
use web::reply::{self, BodyError};
use web::{Response, StreamCut};

use crate::admit::{AdmissionRequest, Permit, admit};
use crate::auth;
use crate::caller::{self, Completion, KEY_HEADER, Position};
use crate::context::Router;
use crate::drive::{Job, drive};
use crate::errors::{CallerError, Kind, Ran};
use crate::output::{collect, write_events};
use crate::takeover::{self, Ownership};

/// Capacity of the channel from the driver to the writer of the response.
const MAX_OUTPUTS: usize = 4;

/// Response header with the version of the configuration in force when the request arrived.
const VERSION_HEADER: &str = "gooseberry-version";

/// Handles one request.
///
/// # Errors
///
/// A [`CallerError`] if the generation was not started.
pub async fn handle(
    router: &Arc<Router>,
    request: Request<Incoming>,
) -> Result<Response, CallerError> {
    let arrived = router.timer.now();
    let snapshot = router.snapshot();
    let document = &snapshot.document;
    let (parts, body) = request.into_parts();
    let workspace = auth::workspace(document, &parts.headers)?;
    let limit = largest_body(document);
    let body = reply::read_bytes(body, limit).await.map_err(body_error)?;
    let completion = parse(&body)?;
    let (service, profile) = find(document, &completion)?;
    check_limits(&completion, body.len(), profile)?;
    let identity = Identity::read(router, &parts.headers, workspace.name.as_str())?;
    let digest = digest(&completion);
    let ownership = identity.claim(router, digest).await?;
    let max_tokens = completion.max_tokens.min(profile.limits.tokens);
    let deadline = arrived + Millis(profile.deadline_ms);
    let admission = AdmissionRequest {
        profile,
        workspace,
        cost: max_tokens,
        deadline,
        is_admitted: !ownership.tokens.is_empty() || ownership.header.stream.is_some(),
    };
    let permit = admit(router, &admission).await?;
    let job = Job {
        key: identity.key,
        service: service.name.clone(),
        model: model(&ownership, service),
        profile: profile.clone(),
        prompt: Arc::from(completion.prompt.as_str()),
        max_tokens,
        deadline,
    };
    let mut ownership = ownership;
    ownership.header.model = job.model.clone();
    let mut response = run(router, permit, job, ownership, &completion).await;
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&identity.shown) {
        headers.insert(KEY_HEADER, value);
    }
    headers.insert(VERSION_HEADER, HeaderValue::from(document.version.0));
    Ok(response)
}

/// Starts the generation, and streams or collects its output.
async fn run(
    router: &Arc<Router>,
    permit: Permit,
    job: Job,
    ownership: Ownership,
    completion: &Completion,
) -> Response {
    let (sender, outputs) = mpsc::channel(MAX_OUTPUTS);
    let driver = drive(router.clone(), job, ownership, sender);
    tokio::spawn(async move {
        driver.await;
        drop(permit);
    });
    if completion.stream {
        let (body, response) = reply::events();
        tokio::spawn(write_events(outputs, completion.model.clone(), body));
        return response;
    }
    let response = collect(outputs, &completion.model).await;
    response.unwrap_or_else(|| interrupted().response())
}

/// Key of a request, and the position that its caller has reached.
struct Identity {
    /// The key, prefixed with its workspace.
    key: RequestKey,
    /// The key as shown to the caller.
    shown: String,
    /// Whether this router created the key, since the caller gave none.
    is_minted: bool,
    position: Option<Position>,
}

impl Identity {
    fn read(router: &Router, headers: &HeaderMap, workspace: &str) -> Result<Self, CallerError> {
        let given = caller::key(headers)?;
        let position = caller::position(headers)?;
        let is_minted = given.is_none();
        let shown = given.unwrap_or_else(|| mint(router));
        Ok(Self {
            key: RequestKey(format!("{workspace}/{shown}")),
            shown,
            is_minted,
            position,
        })
    }

    /// Takes ownership of the request; no other router can own one whose key was minted here.
    async fn claim(&self, router: &Arc<Router>, digest: u64) -> Result<Ownership, CallerError> {
        if self.is_minted {
            let epoch = Epoch::default().next_for(router.incarnation);
            return Ok(takeover::new_generation(epoch, digest));
        }
        takeover::claim(router, &self.key, digest, self.position).await
    }
}

/// Creates a unique key.
fn mint(router: &Router) -> String {
    format!(
        "{:016x}{:016x}",
        router.incarnation.0,
        rand::random::<u64>()
    )
}

/// Maximum body size of all profiles, in bytes.
fn largest_body(document: &Document) -> usize {
    let limits = document.profiles.iter().map(|p| p.limits.body_bytes);
    limits.max().unwrap_or(0)
}

fn parse(body: &[u8]) -> Result<Completion, CallerError> {
    serde_json::from_slice(body).map_err(|e| {
        let message = format!(
            "the body is not a valid completion request: {e}; correct it and send it again"
        );
        CallerError::not_run(Kind::Malformed, message)
    })
}

/// The service that a request names, and its profile.
fn find<'a>(
    document: &'a Document,
    completion: &Completion,
) -> Result<(&'a Service, &'a Profile), CallerError> {
    let found = document.service(&completion.model);
    let service = found.filter(|s| s.kind == ServiceKind::Model);
    let profile = service.and_then(|s| document.profile(&s.profile));
    service.zip(profile).ok_or_else(|| {
        let message = format!("there is no model service `{}`", completion.model);
        CallerError::not_run(Kind::NotFound, message)
    })
}

fn check_limits(
    completion: &Completion,
    bytes: usize,
    profile: &Profile,
) -> Result<(), CallerError> {
    let limits = &profile.limits;
    if bytes > limits.body_bytes {
        let message = format!(
            "the body is larger than {} bytes; shorten it",
            limits.body_bytes
        );
        return Err(CallerError::not_run(Kind::TooLarge, message));
    }
    if completion.max_tokens == 0 || completion.prompt.is_empty() {
        let message = "`max_tokens` must be above 0 and `prompt` not empty";
        return Err(CallerError::not_run(Kind::Malformed, message));
    }
    Ok(())
}

/// The model that generated the output so far, or the first model of the service.
fn model(ownership: &Ownership, service: &Service) -> Model {
    if ownership.tokens.is_empty() && ownership.header.stream.is_none() {
        return service.models.first().cloned().unwrap_or_default();
    }
    ownership.header.model.clone()
}

/// Digest of the fields in which a retry must equal the first request.
fn digest(completion: &Completion) -> u64 {
    let Completion {
        model,
        prompt,
        max_tokens,
        ..
    } = completion;
    stable(format!("{model}\n{max_tokens}\n{prompt}").as_bytes())
}

/// The error for a body that cannot be read.
pub fn body_error(error: BodyError) -> CallerError {
    let kind = match error {
        BodyError::TooLarge { .. } => Kind::TooLarge,
        BodyError::Broken | BodyError::Malformed { .. } => Kind::Malformed,
    };
    CallerError::not_run(kind, error.to_string())
}

/// The error for an output that was interrupted.
fn interrupted() -> CallerError {
    CallerError {
        kind: Kind::Lost,
        message: format!("{StreamCut}"),
        ran: Ran::Unknown,
        retry_after: Some(1),
    }
}
