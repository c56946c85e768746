//! The gateway of an entry host.
//!
//! Accepts callers' requests, runs each on a backend server and forwards the answer. This crate does the
//! input and output. Its decisions are made in `routing`, `relay`, `balance` and `membership`; the wire
//! formats of the platform are in `platform`.

pub mod backoff;
pub mod backups;
pub mod calls;
pub mod context;
pub mod feed;
pub mod fleet;
pub mod gossip;
pub mod hosts;
pub mod link;
pub mod liveness;
pub mod metrics;
pub mod notices;
pub mod paths;
pub mod polling;
pub mod quarantine;
pub mod reply;
pub mod run;
pub mod send;
pub mod serve;
pub mod store;
pub mod streams;
pub mod sync;
pub mod tunnel;
