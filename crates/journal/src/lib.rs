//! The witness log of generations, its seals, and the owner's side of the protocol.
//!
//! Pure: calls and the time come in, results and actions go out. The crate knows nothing of the
//! transport between hosts, nor of engines beyond the names in a [`record::Header`].

pub mod choice;
pub mod record;
pub mod replicator;
pub mod store;
