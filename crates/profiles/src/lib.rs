//! The versioned configuration: documents, validation, changes and their distribution.
//!
//! Performs no I/O: it maps documents and changes to new documents, conflicts and errors. Storage and
//! transport are up to the callers.

pub mod cache;
pub mod change;
pub mod check;
pub mod commit;
pub mod document;
pub mod topology;
