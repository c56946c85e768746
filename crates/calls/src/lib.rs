//! Claims of calls that may not repeat, retries of those that may, and batches of claims.
//!
//! Pure: events and the time come in, actions go out. The crate knows nothing of the table that
//! keeps the claims or of the connections over which calls are sent.

pub mod batch;
pub mod record;
pub mod retry;
pub mod submission;
