//! Stand-ins for the systems outside: engines, a plain service, our own platform and the users'.
//!
//! They keep to the wire shapes of the adapter crates and add fault switches over HTTP under
//! `/faults`. For tests and measurements only.

pub mod engine;
pub mod faults;
pub mod platform;
pub mod sequence;
pub mod service;
pub mod site;
