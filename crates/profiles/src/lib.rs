//! The configuration: its documents, their checks and their versions.
//!
//! Pure: documents and changes come in, new documents, conflicts and errors go out. The crate knows
//! nothing of where documents are kept or how they travel.

pub mod cache;
pub mod change;
pub mod check;
pub mod commit;
pub mod document;
pub mod topology;
