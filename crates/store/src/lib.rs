//! The adapter to the platform: table, object store, host list and weight store.
//!
//! This is the only crate that knows the platform's paths and JSON shapes.

pub mod client;
pub mod config;
pub mod wire;
