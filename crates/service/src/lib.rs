//! The client of plain services: one connection a call, nothing is sent twice.
//!
//! A connection carries one call and is closed with it, so that a late answer has no other call to
//! meet. The crate knows nothing of claims and retries.

pub mod client;
