//! The settings of each process: one JSON file, checked whole before anything starts.
//!
//! The crate knows nothing of the configuration that operators change while processes run.

pub mod agent;
pub mod common;
pub mod gateway;
pub mod load;
pub mod router;

pub use load::{SettingsError, Validate, load};
