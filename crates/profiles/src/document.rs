//! The shape of the configuration.

use balance::Rule;
use base::prelude::*;
use generation::Policy as Resume;
use journal::replica::Policy as Witness;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// The whole configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The version; 0 before the first accepted change.
    #[serde(default)]
    pub version: Version,
    /// The profiles, sorted by name.
    #[serde(default)]
    pub profiles: Vec<Profile>,
    /// The services, sorted by name.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The workspaces, sorted by name.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
}

/// The declared needs of a class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The name.
    pub name: ProfileName,
    /// How generations are resumed.
    #[serde(default)]
    pub resume: Resume,
    /// How journals are kept.
    #[serde(default)]
    pub witness: Witness,
    /// Higher goes first, here and at the engines.
    #[serde(default)]
    pub priority: u32,
    /// The longest from arrival to the first token or answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// The limits of the class.
    #[serde(default)]
    pub limits: Limits,
    /// The data centres to which work goes when the router's own is full, in order; those not named
    /// come last.
    #[serde(default)]
    pub spill: Vec<DataCentre>,
    /// How a backend server is chosen; all but the default are baselines for measurements only.
    #[serde(default)]
    pub choice: Rule,
    /// How calls that may repeat are retried.
    #[serde(default)]
    pub retry: Retry,
}

/// The default of [`Profile::deadline_ms`].
fn default_deadline_ms() -> u64 {
    10_000
}

/// Limits of a class of work in one data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The most requests that run at once; 0 for what the backend servers carry.
    pub running: u64,
    /// The most requests that wait.
    pub queued: u64,
    /// The most tokens in one output.
    pub tokens: u64,
    /// The largest request body, in bytes.
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

/// How calls that may repeat are retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// The most tries of one call.
    pub tries: u32,
    /// The retries allowed for each hundred calls.
    pub percent: u32,
    /// The time limit of one try, in milliseconds.
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

/// What a service consists of.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Model engines.
    Model,
    /// Plain servers.
    Plain,
}

/// A service that callers reach.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// What it consists of.
    pub kind: Kind,
    /// The profile under which it runs.
    pub profile: ProfileName,
    /// The models that its engines are to hold; the first is the default.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Whether its engines refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// The calls that may be repeated; all others run at most once.
    #[serde(default)]
    pub may_repeat: Vec<RetryRule>,
    /// How long the outcome of a call that may not repeat is kept, in milliseconds.
    #[serde(default = "default_retain_ms")]
    pub retain_ms: u64,
}

/// The default of [`Service::retain_ms`]: one day.
fn default_retain_ms() -> u64 {
    24 * 60 * 60 * 1_000
}

/// Calls of a plain service that may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryRule {
    /// The HTTP method, in capitals.
    pub method: String,
    /// What the path starts with, counted from behind the service's name.
    pub path: String,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name.
    pub name: WorkspaceName,
    /// The digests of its bearer keys, see [`base::hash::key_digest`].
    pub keys: Vec<String>,
    /// Its weight when work has to wait.
    #[serde(default = "default_share")]
    pub share: u32,
    /// The most requests that run at once in one data centre; 0 for no limit of its own.
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

    /// Sorts all lists by name, as lookups need them.
    pub fn sort(&mut self) {
        self.profiles.sort_by(|a, b| a.name.cmp(&b.name));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    }
}
