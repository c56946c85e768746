//! The router of an entry host: takes the requests of callers, runs them on backend servers and
//! keeps their output whole.
//!
//! The decisions are made in the pure crates; this one carries them out.

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
