//! State machine of one generation at its owner: opens, probes and resumes engine streams, orders
//! their tokens and decides when tokens are delivered to the caller.
//!
//! Performs no I/O and reads no clock: takes events and the current time, returns actions. The
//! transport to engines, witnesses and callers and the choice of a backend server are left to the
//! router.

pub mod event;
pub mod gaps;
pub mod machine;
pub mod policy;
mod stream;

pub use event::{Action, Event, Failure, OpenError, StreamError};
pub use machine::Generation;
pub use policy::Policy;
