//! Claims of calls that may not repeat.
