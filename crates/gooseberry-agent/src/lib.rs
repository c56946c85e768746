//! The agent of an entry host: keeps the configuration, the hosts and the loads of the backend
//! servers up to date and serves them to the host's router as a view.

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
