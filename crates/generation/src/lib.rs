//! The life of one generation at its owner: which engine streams run, which tokens count, what is
//! delivered when.
//!
//! Pure: events and the time come in, actions go out. The crate knows nothing of the transport to
//! engines, witnesses or callers, nor of how a backend server is chosen.

pub mod event;
pub mod gaps;
pub mod machine;
pub mod policy;
mod stream;

pub use event::{Action, Event, Failure, OpenError, StreamError};
pub use machine::Generation;
pub use policy::Policy;
