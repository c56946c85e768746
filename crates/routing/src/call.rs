//! What a caller asks for, and what the configuration makes of it.

use std::sync::Arc;

use base::hash::stable;
use base::prelude::*;
use strum::IntoStaticStr;

use crate::snapshot::{Route, Snapshot, Workspace};

/// The size of a generation, as the caller declares it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// The tokens of the prompt.
    pub input: u64,
    /// The most tokens of output.
    pub output: u64,
    /// The caller's estimate of the output in tokens; often far off.
    pub output_estimate: Option<u64>,
    /// A hash of the part of the prompt that is the request's own; a repeat of the request has the same.
    pub content_hash: Option<u64>,
}

impl GenerationSize {
    /// The tokens of memory that the generation is expected to need.
    pub fn kv_tokens(&self) -> u64 {
        self.input + self.output
    }
}

/// The head of a request, as the product sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The caller's id of this attempt; each attempt has its own.
    pub id: String,
    /// The host name, without a port.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// How long the caller waits for the whole answer.
    pub time_limit: Option<Millis>,
    /// The key of the caller.
    pub key: Option<String>,
    /// The number of the last event that the caller holds, if it continues a stream.
    pub last_event: Option<u64>,
    /// The size of the generation, if it is one.
    pub size: Option<GenerationSize>,
}

/// Why the configuration does not allow a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// No route has this host and path.
    NoRoute,
    /// The key is missing or belongs to no workspace.
    UnknownKey,
}

/// What the configuration makes of a request; all of it comes from one version.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The version.
    pub version: Version,
    /// The route.
    pub route: Arc<Route>,
    /// The service that is to run the request.
    pub service: ServiceName,
    /// The workspace of the caller; `None` on a public route.
    pub workspace: Option<Arc<Workspace>>,
}

impl Snapshot {
    /// What is to be done with `call`.
    ///
    /// # Errors
    ///
    /// [`Denial`] if this version does not allow the request.
    pub fn plan(&self, call: &Call) -> Result<Plan, Denial> {
        let route = self.route(&call.host, &call.path).ok_or(Denial::NoRoute)?;
        let holder = call.key.as_deref().and_then(|k| self.workspace(k));
        if holder.is_none() && self.has_workspaces() && !route.is_public {
            return Err(Denial::UnknownKey);
        }
        Ok(Plan {
            version: self.version,
            service: target(route, &call.id).clone(),
            route: Arc::clone(route),
            workspace: holder.cloned(),
        })
    }
}

/// The target that takes the request of this id, by weight.
fn target<'a>(route: &'a Route, id: &str) -> &'a ServiceName {
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
