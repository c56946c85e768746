//! Adapter to model engines: wire types and an HTTP client.
//!
//! This is the only crate that knows an engine's paths and JSON shapes.

pub mod client;
pub mod wire;
