//! The agent of an entry host: watches the platform and the backend servers, and tells the host's
//! router what it needs.

pub mod admin;
pub mod caches;
pub mod commit;
pub mod distribution;
pub mod drain;
pub mod gauges;
pub mod heartbeats;
pub mod members;
pub mod operator;
pub mod run;
pub mod shared;
pub mod watch;
