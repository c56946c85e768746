//! Which service a request goes to, for which workspace, and what may be done with it.
//!
//! Pure: a [`Snapshot`] is one version of the configuration, immutable once built. The crate knows
//! nothing of the format in which a configuration is published.

pub mod call;
pub mod snapshot;

pub use call::{Call, Denial, GenerationSize, Plan};
pub use snapshot::{Engine, Kind, Limits, Route, Service, Snapshot, Target, Workspace};
