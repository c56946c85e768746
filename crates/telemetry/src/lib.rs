//! Logs, metrics, operator endpoints and start-up code shared by the daemons.

pub mod admin;
pub mod daemon;
pub mod metrics;
pub mod signals;
pub mod stderr_log;
pub mod stdout_log;
