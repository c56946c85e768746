//! The schema of the configuration document.

use balance::Rule;
use base::prelude::*;
use generation::Policy as Resume;
use journal::replicator::Policy as Witness;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// The complete configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version number; 0 before the first accepted change.
    #[serde(default)]
    pub version: Version,
    /// Profiles, sorted by name.
    #[serde(default)]
    pub profiles: Vec<Profile>,
    /// Services, sorted by name.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Workspaces, sorted by name.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
}

/// Quality-of-service settings shared by services with the same needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Name by which services refer to it.
    pub name: ProfileName,
    /// How generations are resumed after a backend server fails.
    #[serde(default)]
    pub resume: Resume,
    /// How journals are replicated to a witness.
    #[serde(default)]
    pub witness: Witness,
    /// Scheduling priority at the router and at the engines; higher values go first.
    #[serde(default)]
    pub priority: u32,
    /// Longest time from arrival to the first token or the response, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Limits per data centre.
    #[serde(default)]
    pub limits: Limits,
    /// Data centres that receive requests when the router's own is full, in order of preference;
    /// those not listed come last.
    #[serde(default)]
    pub spill: Vec<DataCentre>,
    /// Load-balancing rule; all but the default are baselines for measurements only.
    #[serde(default)]
    pub choice: Rule,
    /// How retryable calls are retried.
    #[serde(default)]
    pub retry: Retry,
}

/// The default of [`Profile::deadline_ms`].
fn default_deadline_ms() -> u64 {
    10_000
}

/// Limits of a profile in one data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of running requests; 0 for the capacity of the backend servers.
    pub running: u64,
    /// Maximum number of queued requests.
    pub queued: u64,
    /// Maximum number of tokens in one output.
    pub tokens: u64,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            running: 0,
            queued: 1_000,
            tokens: 16_384,
            body_bytes: 4 * 1024 * 1024,
        }
    }
}

/// How retryable calls are retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Maximum number of attempts per call, the first included.
    pub tries: u32,
    /// Retry budget, as retries per hundred calls.
    pub percent: u32,
    /// Time limit of one attempt in milliseconds.
    pub try_ms: u64,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            tries: 3,
            percent: 10,
            try_ms: 2_000,
        }
    }
}

/// The kind of backend servers of a service.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Model engines.
    Model,
    /// Servers without models.
    Plain,
}

/// A service that callers reach.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name in the request path.
    pub name: ServiceName,
    /// Kind of its backend servers.
    pub kind: Kind,
    /// Profile that applies to its requests.
    pub profile: ProfileName,
    /// Models that its engines load; the first is the default.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Whether its engines reject requests with an outdated fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Calls that may be retried; all others are executed at most once.
    #[serde(default)]
    pub may_repeat: Vec<RetryRule>,
    /// How long the outcome of a non-retryable call is kept, in milliseconds.
    #[serde(default = "default_retain_ms")]
    pub retain_ms: u64,
}

/// The default of [`Service::retain_ms`]: one day.
fn default_retain_ms() -> u64 {
    24 * 60 * 60 * 1_000
}

/// Calls of a plain service that may be retried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryRule {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path prefix, relative to the service's name in the path.
    pub path: String,
}

/// A group of callers with keys and limits of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Unique name, which may be used in paths and storage keys.
    pub name: WorkspaceName,
    /// Digests of its bearer keys, see [`base::hash::key_digest`].
    pub keys: Vec<String>,
    /// Weight in fair queueing, used while requests are queued.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Maximum number of running requests in one data centre; 0 for no limit.
    #[serde(default)]
    pub running: u64,
}

/// The default of [`Workspace::share`].
fn default_share() -> u32 {
    1
}

impl Document {
    /// The profile called `name`.
    pub fn profile(&self, name: &ProfileName) -> Option<&Profile> {
        let i = self.profiles.binary_search_by(|p| p.name.cmp(name)).ok()?;
        self.profiles.get(i)
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let i = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name))
            .ok()?;
        self.services.get(i)
    }

    /// The workspace with a bearer key of this digest.
    pub fn workspace(&self, digest: &str) -> Option<&Workspace> {
        let holds = |w: &&Workspace| w.keys.iter().any(|k| k == digest);
        self.workspaces.iter().find(holds)
    }

    /// The workspace called `name`.
    pub fn workspace_named(&self, name: &WorkspaceName) -> Option<&Workspace> {
        let i = self
            .workspaces
            .binary_search_by(|w| w.name.cmp(name))
            .ok()?;
        self.workspaces.get(i)
    }

    /// Sorts all lists by name, which lookups rely on.
    pub fn sort(&mut self) {
        self.profiles.sort_by(|a, b| a.name.cmp(&b.name));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    }
}
