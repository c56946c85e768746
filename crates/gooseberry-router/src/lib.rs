//! Router of an entry host: accepts requests of callers, runs them on backend servers and resumes
//! their output after failures.
//!
//! The decisions are made by state machines without I/O in other crates; this one performs the I/O.

pub mod admin;
pub mod admit;
pub mod auth;
pub mod backends;
pub mod caller;
pub mod claims;
pub mod completions;
pub mod config;
pub mod context;
pub mod drain;
pub mod drive;
pub mod errors;
pub mod http;
pub mod journals;
pub mod links;
pub mod output;
pub mod registry;
pub mod run;
pub mod services;
pub mod stream;
pub mod takeover;
