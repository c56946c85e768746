//! What becomes of one request on its way to backend servers and back.
//!
//! Pure: outcomes of sends and bytes of answers come in, decisions go out. The crate knows nothing of
//! connections.

pub mod budget;
pub mod events;
pub mod outcome;
pub mod progress;

pub use budget::Budget;
pub use events::{Event, SplitError, Splitter};
pub use outcome::{Action, Outcome, SendHistory};
pub use progress::{EventAction, Progress};
