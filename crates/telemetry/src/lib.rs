//! Logs, metrics and the operators' view of a process.

pub mod admin;
pub mod daemon;
pub mod lines;
pub mod logs;
pub mod metrics;
pub mod signals;
