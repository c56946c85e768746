//! Identifiers, time, tokens, hashes and a sorted map, shared by all other crates.
//!
//! Nothing here performs I/O, reads a clock or depends on settings.

pub mod hash;
pub mod id;
pub mod model;
pub mod prelude;
pub mod sorted;
pub mod time;
pub mod token;
pub mod traffic;
