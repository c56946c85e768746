//! Logs, metrics and the operators' view of a process.

pub mod admin;
pub mod daemon;
pub mod metrics;
pub mod signals;
pub mod stderr_log;
pub mod stdout_log;
