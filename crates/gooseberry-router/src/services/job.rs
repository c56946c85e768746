//! One submission of a call: what is sent, under which key, and until when.

use std::time::{SystemTime, UNIX_EPOCH};

use base::prelude::*;
use calls::record::{GENERATED_PREFIX, row_key};
use calls::submission::{KeyOrigin, Times};
use hyper::header::{HeaderName, HeaderValue};
use profiles::document::{Profile, Service};
use service::client::Call;

use crate::backends::Want;
use crate::caller::KEY_HEADER;
use crate::context::Router;

/// The part of the deadline that is kept for making sure that a call is not sent: one in so many.
const RESERVE_DIVISOR: u64 = 4;

/// The most that is kept, in milliseconds.
const MAX_RESERVE_MS: u64 = 1_000;

/// A row is kept for at least so many deadlines, so that no submission outlives it.
const MIN_RETAIN_DEADLINES: u64 = 2;

/// One submission of a call.
#[derive(Clone, Debug)]
pub struct Job {
    /// The service.
    pub service: ServiceName,
    /// The profile under which it runs.
    pub profile: Profile,
    /// The key as the caller knows it.
    pub key: String,
    /// The name of the call in logs and dumps.
    pub name: RequestKey,
    /// The row that keeps the claim and the outcome.
    pub row: String,
    /// Where the key comes from.
    pub origin: KeyOrigin,
    /// What makes two submissions of a key the same.
    pub digest: u64,
    /// What is sent.
    pub call: Call,
    /// Until when.
    pub times: Times,
    /// How long the row is kept, in milliseconds.
    pub retain_ms: u64,
}

impl Job {
    /// A submission that arrived at `arrived`; without a key it gets one.
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

    /// What a backend server must be to get the call.
    pub fn want<'a>(&'a self, avoid: &'a [BackendId]) -> Want<'a> {
        Want {
            service: &self.service,
            profile: &self.profile,
            model: None,
            blocks: &[],
            avoid,
            is_resume: false,
        }
    }

    /// The time after which the row may be cleared, in milliseconds since 1970.
    pub fn until_ms(&self) -> u64 {
        wall_ms().saturating_add(self.retain_ms)
    }
}

/// The time of day, in milliseconds since 1970.
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

/// A key that no other submission has.
fn generate_key(router: &Router) -> String {
    let number: u64 = rand::random();
    format!(
        "{GENERATED_PREFIX}{:016x}{number:016x}",
        router.incarnation.0
    )
}
