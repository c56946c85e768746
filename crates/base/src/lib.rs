//! Identifiers, units and the tokens that every other crate speaks of.
//!
//! The crate knows nothing of I/O, clocks or settings.

pub mod hash;
pub mod id;
pub mod model;
pub mod prelude;
pub mod sorted;
pub mod time;
pub mod token;
pub mod traffic;
