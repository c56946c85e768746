//! Adapter to the platform: its table, object store and host list.
//!
//! This is the only crate that knows the platform's paths and JSON shapes.

pub mod client;
pub mod config;
pub mod wire;
