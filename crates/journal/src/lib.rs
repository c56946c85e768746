//! Journals of generations: a store that fences and expires them, the replication of a journal from
//! its owner to a witness, and the choice of witnesses.
//!
//! The owner of a request writes its tokens to its own host and to one witness. A router that takes
//! the request over seals the journals it can reach, which fences the previous owner, and continues
//! from the latest one.
//!
//! Performs no I/O and reads no clock: takes calls and the current time, returns results and
//! actions. The transport between hosts is left to the router; of engines only the names in a
//! [`record::Header`] are known.

pub mod choice;
pub mod record;
pub mod replicator;
pub mod store;
