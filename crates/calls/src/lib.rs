//! Claims for non-idempotent calls, retries of idempotent ones, and batches of claim writes.
//!
//! The crate does no I/O: events and the time are passed in, actions are returned. The
//! router accesses the table that holds the claims and sends the calls to backend servers.

pub mod batch;
pub mod record;
pub mod retry;
pub mod submission;
