//! Leases and fencing numbers for orders to engines.
