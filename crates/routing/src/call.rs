//! Requests as callers declare them, and their routing by one configuration version.

use std::sync::Arc;

use base::hash::stable;
use base::prelude::*;
use strum::IntoStaticStr;

use crate::snapshot::{Route, Snapshot, Workspace};

/// The size of a generation in tokens, as the caller declares it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub input: u64,
    /// Upper bound on the output tokens.
    pub output: u64,
    /// The caller's estimate of the output tokens; often far off. `None` if the caller gives none.
    pub output_estimate: Option<u64>,
    /// Hash of the prompt's last part, the one not shared with other requests; equal for all retries of
    /// a request. `None` if the caller does not describe the prompt's parts.
    pub content_hash: Option<u64>,
}

impl GenerationSize {
    /// KV cache that the generation needs at most, in tokens.
    pub fn kv_tokens(&self) -> u64 {
        self.input + self.output
    }
}

/// The parts of a caller's request head that routing and forwarding use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The caller's id of this attempt, unique per attempt.
    pub id: String,
    /// Requested host name, without the port.
    pub host: String,
    /// Request path, without the query.
    pub path: String,
    /// How long the caller waits for the complete response; `None` if it sets no limit.
    pub time_limit: Option<Millis>,
    /// The caller's API key; `None` if the request carries none.
    pub key: Option<String>,
    /// Number of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Declared size of the generation; `None` for any other request.
    pub size: Option<GenerationSize>,
    /// Hashes of the prompt's parts that other requests may share, in ascending order; all but the last part.
    pub shared_parts: Vec<u64>,
}

/// The reason why the configuration does not allow a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// No route matches the host name and path.
    NoRoute,
    /// The key is missing, or no workspace has it.
    UnknownKey,
}

/// The routing decision for a request, taken from a single configuration version.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The configuration version that the decision is based on.
    pub version: Version,
    /// The matching route.
    pub route: Arc<Route>,
    /// The target service, chosen by weight.
    pub service: ServiceName,
    /// The workspace of the caller; `None` on a public route.
    pub workspace: Option<Arc<Workspace>>,
}

impl Snapshot {
    /// Matches `call` to a route, its workspace and a target service.
    ///
    /// # Errors
    ///
    /// [`Denial`] if this version does not allow the request.
    pub fn plan(&self, call: &Call) -> Result<Plan, Denial> {
        let route = self.route(&call.host, &call.path).ok_or(Denial::NoRoute)?;
        let workspace = call.key.as_deref().and_then(|k| self.workspace(k));
        if workspace.is_none() && self.has_workspaces() && !route.is_public {
            return Err(Denial::UnknownKey);
        }
        Ok(Plan {
            version: self.version,
            service: pick_target(route, &call.id).clone(),
            route: Arc::clone(route),
            workspace: workspace.cloned(),
        })
    }
}

/// Chooses a target by weight, hashing the request id so that the choice is deterministic.
fn pick_target<'a>(route: &'a Route, id: &str) -> &'a ServiceName {
    let total: u64 = route.targets.iter().map(|t| t.weight).sum();
    let mut rest = stable(id.as_bytes()) % total.max(1);
    for target in &route.targets {
        if rest < target.weight {
            return &target.service;
        }
        rest -= target.weight;
    }
    &route.targets[0].service
}
