//! Decisions on one request while it is forwarded: whether to retry it, and which stream events to pass on.
//!
//! No I/O: the outcomes of sends and the bytes of answers come in, decisions go out.

pub mod answer_pool;
pub mod budget;
pub mod events;
pub mod grace_period;
pub mod outcome;
pub mod progress;
pub mod quarantine;
pub mod suspicion;

pub use answer_pool::AnswerPool;
pub use budget::Budget;
pub use events::{Event, SplitError, Splitter};
pub use grace_period::GracePeriod;
pub use outcome::{Action, Outcome, SendHistory};
pub use progress::{EventAction, Progress};
pub use quarantine::{Admission, Quarantine, Subject};
pub use suspicion::Suspicion;
