//! Operator command line: checks and applies declarations and inspects hosts.

pub mod client;
pub mod commands;
pub mod declarations;
pub mod options;
pub mod outcome;
pub mod wait;
