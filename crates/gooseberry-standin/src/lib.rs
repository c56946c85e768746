//! Test stand-ins for the external systems that this project's programs talk to: model engines, a
//! plain service, the platform behind the `store` crate and the deployment's platform ([`site`]).
//!
//! They speak the wire formats of the adapter crates and accept fault switches by HTTP under
//! `/faults`. For tests and measurements only.

pub mod engine;
pub mod faults;
pub mod platform;
pub mod sequence;
pub mod service;
pub mod site;
