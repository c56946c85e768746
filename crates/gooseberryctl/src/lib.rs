//! The operators' command line: checks declarations, applies them and looks at hosts.

pub mod client;
pub mod commands;
pub mod declarations;
pub mod options;
pub mod outcome;
pub mod wait;
