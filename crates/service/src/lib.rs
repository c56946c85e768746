//! HTTP client of plain services: one connection per call, and no request is sent twice.
//!
//! A connection carries one call and is closed after it, so that a late answer cannot be taken for
//! the answer to another call. Claims and retries are left to the callers of this crate.

pub mod client;
