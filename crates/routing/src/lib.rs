//! Routing of requests to services, authentication by workspace key and per-route retry rules.
//!
//! Performs no I/O: a [`Snapshot`] is one version of the configuration, immutable once built. The
//! crate is independent of the format in which a configuration is published.

pub mod call;
pub mod snapshot;

pub use call::{Call, Denial, GenerationSize, Plan};
pub use snapshot::{Engine, Kind, Limits, Route, Service, Snapshot, Target, Workspace};
