//! Parameters of one submission of a call: the request, its key and its time limits.

use std::time::{SystemTime, UNIX_EPOCH};

use base::prelude::*;
use calls::record::{GENERATED_PREFIX, row_key};
use calls::submission::{KeyOrigin, Times};
use hyper::header::{HeaderName, HeaderValue};
use profiles::document::{Profile, Service};
use service::client::Call;

use crate::backends::PlacementRequest;
use crate::caller::KEY_HEADER;
use crate::context::Router;

/// Divisor of the deadline that gives the time reserved for cancelling a call that was not sent.
const RESERVE_DIVISOR: u64 = 4;

/// Maximum time reserved for the cancellation, in milliseconds.
const MAX_RESERVE_MS: u64 = 1_000;

/// Minimum retention of a row, in deadlines, so that no submission outlives its row.
const MIN_RETAIN_DEADLINES: u64 = 2;

/// One submission of a call.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name of the called service.
    pub service: ServiceName,
    /// Profile of the service.
    pub profile: Profile,
    /// Idempotency key, as supplied by or returned to the caller.
    pub key: String,
    /// Identifies the call in logs and dumps: `<service>/<workspace>/<key>`.
    pub name: RequestKey,
    /// Key of the table row that stores the claim and the outcome.
    pub row: String,
    /// Origin of the key.
    pub origin: KeyOrigin,
    /// Hash of the method, URI and body; submissions of one key must agree on it.
    pub digest: u64,
    /// Request to the backend server.
    pub call: Call,
    /// Time limits.
    pub times: Times,
    /// Retention period of the row, in milliseconds.
    pub retain_ms: u64,
}

impl Job {
    /// Creates a submission that arrived at `arrived`; generates a key if the caller supplied none.
    #[expect(
        clippy::too_many_arguments,
        reason = "each comes from another part of the request or configuration"
    )]
    pub fn new(
        router: &Router,
        service: &Service,
        profile: &Profile,
        workspace: &WorkspaceName,
        caller_key: Option<String>,
        digest: u64,
        mut call: Call,
        arrived: Millis,
    ) -> Self {
        let origin = origin(caller_key.as_deref());
        let key = caller_key.unwrap_or_else(|| generate_key(router));
        if let Ok(value) = HeaderValue::from_str(&key) {
            call.headers
                .insert(HeaderName::from_static(KEY_HEADER), value);
        }
        let reserve = (profile.deadline_ms / RESERVE_DIVISOR).min(MAX_RESERVE_MS);
        let deadline = arrived + Millis(profile.deadline_ms);
        Self {
            row: row_key(&service.name, workspace, &key),
            name: RequestKey(format!("{}/{workspace}/{key}", service.name)),
            service: service.name.clone(),
            profile: profile.clone(),
            key,
            origin,
            digest,
            call,
            times: Times {
                send_by: deadline - Millis(reserve),
                deadline,
            },
            retain_ms: service
                .retain_ms
                .max(profile.deadline_ms * MIN_RETAIN_DEADLINES),
        }
    }

    /// Requirements on the backend server; those in `avoid` are selected only if there is no other.
    pub fn want<'a>(&'a self, avoid: &'a [BackendId]) -> PlacementRequest<'a> {
        PlacementRequest {
            service: &self.service,
            profile: &self.profile,
            model: None,
            blocks: &[],
            avoid,
            is_resume: false,
        }
    }

    /// Time after which the row may be deleted, in milliseconds since the Unix epoch.
    pub fn until_ms(&self) -> u64 {
        wall_ms().saturating_add(self.retain_ms)
    }
}

/// Wall-clock time, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

fn origin(caller_key: Option<&str>) -> KeyOrigin {
    match caller_key {
        None => KeyOrigin::Generated,
        Some(key) if key.starts_with(GENERATED_PREFIX) => KeyOrigin::Foreign,
        Some(_) => KeyOrigin::Caller,
    }
}

/// Generates a key that no other submission uses.
fn generate_key(router: &Router) -> String {
    let number: u64 = rand::random();
    format!(
        "{GENERATED_PREFIX}{:016x}{number:016x}",
        router.incarnation.0
    )
}
