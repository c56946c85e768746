//! Load balancing: chooses the backend server for a request.
//!
//! No I/O: load, cache and health of the servers come in, a choice goes out. Load reports and cache events
//! are received elsewhere.

pub mod choice;
pub mod health;
pub mod place;
pub mod rule;
pub mod turns;

pub use choice::{ChoiceRequest, Server, choose};
pub use health::Health;
pub use rule::Rule;
