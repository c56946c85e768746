//! The gateway of an entry host on the users' platform.
//!
//! Takes callers' requests, runs each on a backend server and passes the answer on. The decisions are
//! in `routing`, `relay`, `balance` and `membership`; the names on the wire are in `platform`.

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
pub mod polling;
pub mod reply;
pub mod run;
pub mod send;
pub mod serve;
pub mod store;
pub mod streams;
pub mod sync;
