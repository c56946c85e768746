//! The adapter to plain services.
