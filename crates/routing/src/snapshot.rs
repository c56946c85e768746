//! An immutable, indexed version of the configuration.

use std::sync::Arc;

use base::prelude::*;
use strum::{Display, IntoStaticStr};

/// Delivery semantics of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// May be executed more than once.
    Idempotent,
    /// Executed at most once.
    Once,
    /// Answered by an event stream that another backend server may resume.
    Resumable,
    /// Answered by an event stream, executed at most once.
    Stream,
}

impl Kind {
    /// Whether a request may be retried although it may already have been executed.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the receiving service.
    pub service: ServiceName,
    /// Relative weight among the targets of the route.
    pub weight: u64,
}

/// A rule that maps a host name and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name for logs only.
    pub name: String,
    /// Host name that requests must carry.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Delivery semantics of the requests.
    pub kind: Kind,
    /// Longest time until the response is complete.
    pub timeout: Millis,
    /// Latency objective: time to the complete response, or to the first event of a stream.
    pub objective: Millis,
    /// Maximum number of backend servers that may execute one request.
    pub attempts: u32,
    /// Priority class of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Services that share the requests by weight; at least one.
    pub targets: Vec<Target>,
}

/// Capacity and abilities of a service's engines, each value per engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Maximum number of concurrent requests.
    pub slots: u64,
    /// Size of the KV cache in tokens.
    pub kv_capacity: u64,
    /// Tokens per event of a stream.
    pub stride: u64,
    /// Whether engines can copy the KV cache of a running request to a backup server.
    pub has_backups: bool,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name by which routes refer to it.
    pub name: ServiceName,
    /// Path of its health check.
    pub health: String,
    /// Connections that each of its backend servers accepts, summed over all hosts.
    pub connections: u64,
    /// Capacity of its engines; `None` for a service without engines.
    pub engine: Option<Engine>,
}

/// A workspace and its callers' keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name that is sent along to backend servers.
    pub name: WorkspaceName,
    /// Priority class that overrides the route's; `None` keeps the route's.
    pub priority: Option<u32>,
    /// API keys of its callers.
    pub keys: Vec<String>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// How long a caller's connection may stay idle.
    pub idle: Millis,
}

/// One version of the configuration, indexed for the request path.
///
/// # Invariants
///
/// Routes are sorted by host name and then by descending prefix length, services by name and keys by
/// text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Version number; it increases, but not necessarily by one.
    pub version: Version,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    services: Vec<Service>,
    workspaces: Vec<Arc<Workspace>>,
    keys: Vec<(String, usize)>,
}

impl Snapshot {
    /// Builds the indexes for one version of the configuration.
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

    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let first = self.routes.partition_point(|r| r.host.as_str() < host);
        self.routes[first..]
            .iter()
            .take_while(|r| r.host == host)
            .find(|r| path.starts_with(&r.prefix))
    }

    /// The workspace to which `key` belongs.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        let i = self
            .keys
            .binary_search_by(|(k, _)| k.as_str().cmp(key))
            .ok()?;
        self.workspaces.get(self.keys[i].1)
    }

    /// The service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let i = self.services.binary_search_by(|s| s.name.cmp(name)).ok()?;
        Some(&self.services[i])
    }

    /// The service with engines; `None` unless there is exactly one.
    pub fn sole_engine_service(&self) -> Option<&Service> {
        let mut engines = self.services.iter().filter(|s| s.engine.is_some());
        let first = engines.next()?;
        engines.next().is_none().then_some(first)
    }

    /// Whether any workspace is configured; without one, no route requires a key.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Number of routes, for the log.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}
