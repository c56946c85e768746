//! Start-up settings of the daemons: one JSON file per process, validated completely at start-up.
//!
//! The configuration that operators change at run time is not part of this crate.

pub mod agent;
pub mod common;
pub mod gateway;
pub mod load;
pub mod router;

pub use load::{SettingsError, Validate, load};
