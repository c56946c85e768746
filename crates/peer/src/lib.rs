//! The protocol between the system's own processes, by `tarpc` over TCP with MessagePack.
//!
//! This is the only crate that knows how messages travel between hosts.

pub mod agent;
pub mod host;
pub mod link;
pub mod operator;
pub mod router;
pub mod serve;
