//! One version of the configuration.

use std::sync::Arc;

use base::prelude::*;
use strum::{Display, IntoStaticStr};

/// What may be done with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Answered by a stream of events that may be continued at another backend server.
    Resumable,
    /// Answered by a stream of events that runs at most once.
    Stream,
}

impl Kind {
    /// Whether a request may be sent again after it may have run.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other targets of the route.
    pub weight: u64,
}

/// Where the requests of one host name and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host name that callers use.
    pub host: String,
    /// The start of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be done with the requests.
    pub kind: Kind,
    /// The longest that a request may be kept waiting for the end of its answer.
    pub timeout: Millis,
    /// The time within which the answer, or its first event, is of full use.
    pub objective: Millis,
    /// The most backend servers that may run one request.
    pub attempts: u32,
    /// The rank of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// The services; at least one.
    pub targets: Vec<Target>,
}

/// What the engines of a service are able to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The requests that an engine runs at once.
    pub slots: u64,
    /// The tokens that its memory holds.
    pub kv_capacity: u64,
    /// The tokens in one event of a stream.
    pub stride: u64,
    /// Whether it copies the memory of a running request to another engine.
    pub has_backups: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// The path of its health check.
    pub health: String,
    /// The connections that each of its backend servers accepts from all hosts together.
    pub connections: u64,
    /// What its engines do; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// A workspace and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// The name.
    pub name: WorkspaceName,
    /// The rank of its requests, in place of that of the route.
    pub priority: Option<u32>,
    /// The keys.
    pub keys: Vec<String>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request in bytes.
    pub header_bytes: usize,
    /// The largest body of a request in bytes.
    pub body_bytes: usize,
    /// How long a caller's connection may stay without a request.
    pub idle: Millis,
}

/// One version of the configuration, indexed for the request path.
///
/// # Invariants
///
/// Routes are sorted by host and then by falling length of prefix; services by name; keys by text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The version; versions grow, in steps of any size.
    pub version: Version,
    /// Bounds on what callers may send.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    services: Vec<Service>,
    workspaces: Vec<Arc<Workspace>>,
    keys: Vec<(String, usize)>,
}

impl Snapshot {
    /// Indexes one version of the configuration.
    pub fn new(
        version: Version,
        limits: Limits,
        routes: Vec<Route>,
        mut services: Vec<Service>,
        workspaces: Vec<Workspace>,
    ) -> Self {
        let mut routes: Vec<Arc<Route>> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| {
            let longest = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(longest)
        });
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys: Vec<(String, usize)> = workspaces
            .iter()
            .enumerate()
            .flat_map(|(i, w)| w.keys.iter().map(move |k| (k.clone(), i)))
            .collect();
        keys.sort();
        Self {
            version,
            limits,
            routes,
            services,
            workspaces: workspaces.into_iter().map(Arc::new).collect(),
            keys,
        }
    }

    /// The route of the longest prefix that begins `path`, among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let first = self.routes.partition_point(|r| r.host.as_str() < host);
        self.routes[first..]
            .iter()
            .take_while(|r| r.host == host)
            .find(|r| path.starts_with(&r.prefix))
    }

    /// The workspace that holds `key`.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        let i = self
            .keys
            .binary_search_by(|(k, _)| k.as_str().cmp(key))
            .ok()?;
        self.workspaces.get(self.keys[i].1)
    }

    /// The service of that name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let i = self.services.binary_search_by(|s| s.name.cmp(name)).ok()?;
        Some(&self.services[i])
    }

    /// The service that has engines, if there is exactly one.
    pub fn sole_engine_service(&self) -> Option<&Service> {
        let mut engines = self.services.iter().filter(|s| s.engine.is_some());
        let first = engines.next()?;
        engines.next().is_none().then_some(first)
    }

    /// Whether callers need keys at all.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// How many routes there are.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}
