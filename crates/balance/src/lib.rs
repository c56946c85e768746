//! The choice of a backend server.
//!
//! Pure: what is known of the servers comes in, a choice goes out. The crate knows nothing of how
//! load reports and cache events arrive.

pub mod choice;
pub mod health;
pub mod place;
pub mod rule;

pub use choice::{ChoiceRequest, Server, choose};
pub use health::Health;
pub use rule::Rule;
